// Package qfendpoint implements the clients of endpoints over HTTP: model engines and plain
// services.
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
	// HeaderAttempt carries the attempt's identifier; the endpoint echoes it.
	HeaderAttempt = "X-Request-Id"
	// HeaderNotRun is "true" on an answer that proves that nothing ran.
	HeaderNotRun = "Qf-Not-Run"
	// HeaderStillRunning is "true" on the status of an attempt that is still running.
	HeaderStillRunning = "Qf-Still-Running"
)

// ChatRequest is the standard chat completion request, extended with the fields that
// resume an answer.
type ChatRequest struct {
	qfapi.ChatRequest
	Extension Extension `json:"quetzalfront"`
}

// Extension holds the fields that the standard request lacks.
type Extension struct {
	Request      qf.RequestID    `json:"request"`
	Organisation qf.Organisation `json:"organisation"`
	Priority     int             `json:"priority"`
	ResumeText   string          `json:"resume_text,omitempty"`
	ResumeTokens int             `json:"resume_tokens,omitempty"`
	KVHandle     string          `json:"kv_handle,omitempty"`
}

// ChatChunk is a chunk of a stream with its offset in the answer. Its ID echoes the
// attempt's identifier.
type ChatChunk struct {
	qfapi.ChatChunk
	Offset         int `json:"offset"`
	CachedTokens   int `json:"cached_tokens,omitempty"`
	ComputedTokens int `json:"computed_tokens,omitempty"`
}
