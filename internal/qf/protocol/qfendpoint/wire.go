// Package qfendpoint speaks the contracts of endpoints over HTTP: model engines
// and plain services.
package qfendpoint

import (
	"quetzalfront/internal/qf"
	"quetzalfront/pkg/qfapi"
)

// The paths of a model engine besides chat completions, and of a plain service.
const (
	PathLoad        = "/qf/load"
	PathCacheEvents = "/qf/cache-events"
	PathOrder       = "/qf/order"
	PathKV          = "/qf/kv"
	// PathStatus is followed by an attempt's identifier.
	PathStatus = "/qf/status/"
)

// The headers between a node and an endpoint.
const (
	// HeaderAttempt carries the attempt's identifier and is echoed.
	HeaderAttempt = "X-Request-Id"
	// HeaderNotRun is "true" on an answer which proves that nothing ran.
	HeaderNotRun = "Qf-Not-Run"
	// HeaderStillRunning is "true" on a status answer for an attempt that runs.
	HeaderStillRunning = "Qf-Still-Running"
)

// ChatRequest is the usual chat completion request with the fields by which an
// answer is resumed.
type ChatRequest struct {
	qfapi.ChatRequest
	Extension Extension `json:"quetzalfront"`
}

// Extension holds what the usual shape has no field for.
type Extension struct {
	Request      qf.RequestID    `json:"request"`
	Organisation qf.Organisation `json:"organisation"`
	Priority     int             `json:"priority"`
	ResumeText   string          `json:"resume_text,omitempty"`
	ResumeTokens int             `json:"resume_tokens,omitempty"`
	KVHandle     string          `json:"kv_handle,omitempty"`
}

// ChatChunk is a streamed piece with its place in the answer. Its ID echoes the
// attempt's identifier.
type ChatChunk struct {
	qfapi.ChatChunk
	Offset         int `json:"offset"`
	CachedTokens   int `json:"cached_tokens,omitempty"`
	ComputedTokens int `json:"computed_tokens,omitempty"`
}
