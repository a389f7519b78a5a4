package qf

import (
	"net/http"
	"time"
)

// CallerRequest is what the headers of a caller's request say.
type CallerRequest struct {
	ID RequestID
	// Host has no port.
	Host string
	Path string
	// Key is the caller's key; it is empty if there is none.
	Key string
	// TimeLeft is how long the caller waits; 0 means that it didn't say.
	TimeLeft time.Duration
	// Prompt is nil for requests that don't describe one.
	Prompt *Prompt
	// ResumeAfter is the identifier of the last event that the caller has; it is
	// empty for a stream from its start.
	ResumeAfter string
}

// Prompt describes the size of a generation and the parts it shares with others.
type Prompt struct {
	// Tokens is the length of the prompt, MaxAnswer that of the longest answer.
	Tokens, MaxAnswer int
	Parts             []PromptPart
}

// PromptPart is a piece of a prompt that other prompts may begin with too.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Dispatch is what a node adds to a caller's request at an endpoint.
type Dispatch struct {
	Endpoint     EndpointID
	Organisation Organisation
	TimeLeft     time.Duration
	// Urgency is from 0, the most urgent, to 9. It is negative if it isn't set.
	Urgency int
	// ResumeAfter replaces the caller's own value if it isn't empty.
	ResumeAfter string
}

// ResponseInfo are what the headers of an endpoint's answer say.
type ResponseInfo struct {
	// ID is the request that is answered; it is empty if the endpoint didn't say.
	ID RequestID
	// NotRun is the endpoint's statement that it didn't run the request.
	NotRun bool
	// Signed says that the answer bears the endpoint's signature.
	Signed bool
	// Load is nil if the endpoint didn't tell it.
	Load *ResponseLoad
}

// ResponseLoad is the load that an endpoint tells with an answer.
type ResponseLoad struct {
	Running, Waiting, Slots int
}

// CallerProtocol reads and writes the headers of requests and answers. Source: the
// platform.
type CallerProtocol interface {
	// DecodeRequest decodes a caller's headers. An *Error with CodeInvalid names the field.
	DecodeRequest(r *http.Request) (CallerRequest, error)
	// BuildEndpointHeader returns the headers for an endpoint.
	BuildEndpointHeader(caller http.Header, dispatch *Dispatch) http.Header
	// DecodeResponse decodes an endpoint's headers.
	DecodeResponse(header http.Header) ResponseInfo
	// BuildCallerHeader returns the headers that a caller gets of an endpoint's answer.
	BuildCallerHeader(header http.Header) http.Header
	// SetRefusalHeader sets the headers of an answer of the node's own. The caller may come
	// back after retryAfter; 0 gives no advice.
	SetRefusalHeader(header http.Header, id RequestID, retryAfter time.Duration)
}
