// Package qfapi defines what callers and operators exchange with a
// quetzalfront node: paths, header names and JSON bodies. Field names are in
// Pascal case, except in bodies whose shape others define (chat completions).
package qfapi

import (
	"net/netip"
	"time"
)

// The paths on the callers' port.
const (
	PathNodes           = "/v1/nodes"
	PathChatCompletions = "/v1/chat/completions"
	// PathServices is followed by the entry's name and the service's own path.
	PathServices = "/v1/services/"
	// PathRequests is followed by a request's identifier.
	PathRequests = "/v1/requests/"
)

// The paths on the operators' port.
const (
	PathCatalogue        = "/v1/catalogue"
	PathCatalogueHistory = "/v1/catalogue/history"
	PathReports          = "/v1/reports/"
	PathHealth           = "/healthz"
	PathReady            = "/readyz"
	PathMetrics          = "/metrics"
	PathProfiles         = "/debug/pprof/"
	// PathCatalogueEdits is followed by an edit's identifier; a POST settles it.
	PathCatalogueEdits = "/v1/catalogue/edits/"
)

// The header names.
const (
	HeaderOrganisation   = "Qf-Organisation"
	HeaderRequestID      = "Qf-Request-Id"
	HeaderAttempt        = "Qf-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the time that the caller is willing to wait, as a Go
	// duration such as "30s".
	HeaderTimeout = "Qf-Timeout"
	// HeaderLastEventID is the identifier of the last event that a caller has.
	HeaderLastEventID = "Last-Event-ID"
	HeaderRan         = "Qf-Ran"
	HeaderRetryAfter  = "Retry-After"
	// HeaderBaseRevision names the revision on which a catalogue edit is based.
	HeaderBaseRevision = "Qf-Base-Revision"
	HeaderOperator     = "Qf-Operator"
	HeaderEditID       = "Qf-Edit-Id"
	// HeaderPreviousNode is the address of the node that a caller lost while its
	// answer streamed. What still runs there is stopped.
	HeaderPreviousNode = "Qf-Previous-Node"
)

// EventDone is the data of the event that ends a whole streamed answer.
const EventDone = "[DONE]"

// The names of server-sent events other than answer pieces.
const (
	// EventError carries an ErrorBody; the answer isn't whole.
	EventError = "error"
	// EventMoved carries a MovedBody; the caller resumes there.
	EventMoved = "moved"
)

// NodesAnswer lists the addresses to which a caller may connect.
type NodesAnswer struct {
	// Nodes is ordered: the first is the best for the caller.
	Nodes []NodeAddress
	// KeepFor is how long the answer may be kept, as a Go duration.
	KeepFor string
}

// NodeAddress is one entry node's address.
type NodeAddress struct {
	Address          netip.AddrPort
	AvailabilityZone string
	Region           string
}

// ErrorBody is the body of every error answer.
type ErrorBody struct {
	Error ErrorDetail
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code   string
	Field  string `json:",omitempty"`
	Reason string
	// Ran is "No", "Yes" or "Unknown".
	Ran string
	// RetryAfter is a Go duration; empty means that no time is advised.
	RetryAfter string `json:",omitempty"`
	RequestID  string `json:",omitempty"`
	Step       string `json:",omitempty"`
	Peer       string `json:",omitempty"`
}

// MovedBody tells a caller where its request goes on.
type MovedBody struct {
	RequestID string
	// Nodes are the addresses to try, best first.
	Nodes []netip.AddrPort
	// LastEventID is the identifier after which to resume.
	LastEventID string
}

// ChatRequest is a chat completion request in the usual shape. Model names the
// catalogue entry.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	// Resume is set if the caller has a part of the answer already. A node that
	// doesn't know the request has its generation go on after that part.
	Resume *ChatResume `json:"resume,omitempty"`
}

// ChatResume is the part of an answer that a caller has.
type ChatResume struct {
	// Tokens are the pieces in the order in which they came.
	Tokens []string `json:"tokens"`
}

// ChatMessage is one turn of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatChunk is one streamed piece in the usual shape.
type ChatChunk struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Model   string            `json:"model"`
	Choices []ChatChunkChoice `json:"choices"`
}

// ChatChunkChoice is the only choice of a chunk.
type ChatChunkChoice struct {
	Index        int         `json:"index"`
	Delta        ChatMessage `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

// ChatAnswer is a whole answer in the usual shape.
type ChatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   ChatUsage    `json:"usage"`
}

// ChatChoice is the only choice of a whole answer.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// ChatUsage counts tokens.
type ChatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// ApplyAnswer answers a catalogue edit.
type ApplyAnswer struct {
	// State is "Accepted", "Refused" or "NotYetKnown".
	State    string
	Revision uint64
	EditID   string
	// Conflicts say who changed what since the base revision.
	Conflicts []Conflict `json:",omitempty"`
	// Faults list what is wrong with the document.
	Faults []Fault `json:",omitempty"`
	Reason string  `json:",omitempty"`
}

// Conflict names an entry that somebody else changed.
type Conflict struct {
	Entry    string
	Revision uint64
	Operator string
	At       time.Time
	Changed  []string
}

// Fault is one thing that is wrong with a document.
type Fault struct {
	Line     int
	Key      string
	Expected string
}

// Change is one revision of the catalogue's history.
type Change struct {
	Revision uint64
	Operator string
	At       time.Time
	EditID   string
	Entries  []string
}

// CatalogueAnswer is the catalogue in force.
type CatalogueAnswer struct {
	Revision uint64
	// Document is TOML.
	Document string
}
