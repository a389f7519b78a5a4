// Package qfapi defines what callers and operators exchange with a
// quetzalfront node: paths, header names and JSON bodies. Field names are in
// Pascal case, except in chat completion bodies, which follow the common chat
// completions API.
package qfapi

import (
	"net/netip"
	"time"
)

// The paths served on the callers' port.
const (
	PathNodes           = "/v1/nodes"
	PathChatCompletions = "/v1/chat/completions"
	// PathServices is followed by the entry's name and the path at the service.
	PathServices = "/v1/services/"
	// PathRequests is followed by a request's identifier. A GET resumes its answer.
	PathRequests = "/v1/requests/"
)

// The paths served on the operators' port.
const (
	PathCatalogue        = "/v1/catalogue"
	PathCatalogueHistory = "/v1/catalogue/history"
	PathReports          = "/v1/reports/"
	PathHealth           = "/healthz"
	PathReady            = "/readyz"
	PathMetrics          = "/metrics"
	PathRuntimeMetrics   = "/metrics/runtime"
	PathProfiles         = "/debug/pprof/"
	// PathCatalogueEdits is followed by an edit's identifier. A POST determines
	// finally whether the edit was accepted.
	PathCatalogueEdits = "/v1/catalogue/edits/"
)

// The names of request and response headers.
const (
	HeaderOrganisation = "Qf-Organisation"
	HeaderRequestID    = "Qf-Request-Id"
	HeaderAttempt      = "Qf-Attempt"
	// HeaderIdempotencyKey is the key under which a once-only request runs at most
	// once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is how long the caller waits for the answer, as a Go duration
	// such as "30s".
	HeaderTimeout = "Qf-Timeout"
	// HeaderLastEventID is the identifier of the last event that the caller received.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderRan states whether the request ran at an endpoint: "No", "Yes" or
	// "Unknown".
	HeaderRan        = "Qf-Ran"
	HeaderRetryAfter = "Retry-After"
	// HeaderBaseRevision is the revision on which a catalogue edit is based.
	HeaderBaseRevision = "Qf-Base-Revision"
	HeaderOperator     = "Qf-Operator"
	HeaderEditID       = "Qf-Edit-Id"
	// HeaderPreviousNode is the address of the node to which the caller lost its
	// connection during the answer. If the request still runs there, it is stopped.
	HeaderPreviousNode = "Qf-Previous-Node"
)

// EventDone is the data of the last event of a complete streamed answer.
const EventDone = "[DONE]"

// The types of server-sent events other than the chunks of an answer.
const (
	// EventError carries an ErrorBody; the answer is incomplete.
	EventError = "error"
	// EventMoved carries a MovedBody, which names the nodes at which the caller
	// resumes.
	EventMoved = "moved"
)

// NodesAnswer lists the nodes to which a caller may connect.
type NodesAnswer struct {
	// Nodes are in order of preference for the caller, best first.
	Nodes []NodeAddress
	// KeepFor is how long the caller may cache the answer, as a Go duration.
	KeepFor string
}

// NodeAddress is the callers' address of an entry node and its location.
type NodeAddress struct {
	Address          netip.AddrPort
	AvailabilityZone string
	Region           string
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	// Code is the machine-readable class of the error.
	Code string
	// Field names the invalid part of the input, if any.
	Field string `json:",omitempty"`
	// Reason is a sentence for human readers.
	Reason string
	// Ran states whether the request ran at an endpoint: "No", "Yes" or "Unknown".
	// "No" is used only if it is proven.
	Ran string
	// RetryAfter is the delay before a retry, as a Go duration. Empty means no
	// advice.
	RetryAfter string `json:",omitempty"`
	RequestID  string `json:",omitempty"`
	// Step is the operation that failed.
	Step string `json:",omitempty"`
	// Peer is the other end of the failed operation, if there was one.
	Peer string `json:",omitempty"`
}

// MovedBody names the nodes at which a moved request continues.
type MovedBody struct {
	RequestID string
	// Nodes are the addresses to try, best first.
	Nodes []netip.AddrPort
	// LastEventID is the identifier of the event after which to resume.
	LastEventID string
}

// ChatRequest is the body of a chat completion request in the common format. Model
// names the catalogue entry.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	// Resume is set if the caller already has a part of the answer. A node without
	// a record of the request continues the generation after that part.
	Resume *ChatResume `json:"resume,omitempty"`
}

// ChatResume is the part of an answer that the caller already has.
type ChatResume struct {
	// Tokens are the tokens in the order in which they were received.
	Tokens []string `json:"tokens"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatChunk is one chunk of a streamed answer in the common format.
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

// ChatAnswer is an answer that isn't streamed, in the common format.
type ChatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   ChatUsage    `json:"usage"`
}

// ChatChoice is the only choice of a ChatAnswer.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// ChatUsage is the token usage of an answer.
type ChatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// ApplyAnswer is the response to a catalogue edit.
type ApplyAnswer struct {
	// State is "Accepted", "Refused" or "NotYetKnown".
	State    string
	Revision uint64
	EditID   string
	// Conflicts are the changes since the base revision that the edit conflicts
	// with.
	Conflicts []Conflict `json:",omitempty"`
	// Faults are the faults of the document.
	Faults []Fault `json:",omitempty"`
	Reason string  `json:",omitempty"`
}

// Conflict is a change of an entry by another operator.
type Conflict struct {
	Entry    string
	Revision uint64
	Operator string
	At       time.Time
	Changed  []string
}

// Fault is an invalid or missing value in a document.
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

// CatalogueAnswer is the catalogue in force at the node that responds.
type CatalogueAnswer struct {
	Revision uint64
	// Document is the catalogue as TOML.
	Document string
}
