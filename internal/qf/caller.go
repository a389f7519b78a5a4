package qf

import (
	"net/http"
	"time"
)

// CallerRequest holds the fields decoded from the headers of a caller's request.
type CallerRequest struct {
	ID RequestID
	// Host has no port.
	Host string
	Path string
	// Key is the caller's key; it is empty if there is none.
	Key string
	// TimeLeft is how long the caller waits for the answer; 0 means unspecified.
	TimeLeft time.Duration
	// Prompt is nil for requests that don't describe one.
	Prompt *Prompt
	// ResumeAfter is the identifier of the last event that the caller received; it
	// is empty for a stream that begins at its first event.
	ResumeAfter string
}

// Prompt describes the size of a generation and the prompt parts that it may share
// with other requests.
type Prompt struct {
	// Tokens is the length of the prompt, MaxAnswerTokens that of the longest answer.
	Tokens, MaxAnswerTokens int
	Parts                   []PromptPart
}

// PromptPart is one part of a prompt. Prompts that begin with the same parts share
// a cacheable prefix.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// ForwardInfo holds the values that a node adds to a caller's request when it forwards
// the request to an endpoint.
type ForwardInfo struct {
	Endpoint     EndpointID
	Organisation Organisation
	TimeLeft     time.Duration
	// Urgency is from 0, the most urgent, to 9. It is negative if it isn't set.
	Urgency int
	// ResumeAfter replaces the caller's own value if it isn't empty.
	ResumeAfter string
	// Memory is that of a run with which the request goes on; it is empty for a new run.
	Memory RunMemory
}

// ResponseInfo holds the fields decoded from the headers of an endpoint's answer.
type ResponseInfo struct {
	// ID is the request that is answered; it is empty if the endpoint didn't send it.
	ID RequestID
	// NotRun means that the endpoint reports that it didn't run the request.
	NotRun bool
	// Signed means that the answer carries the endpoint's signature.
	Signed bool
	// Load is nil unless LoadKind is StatedNumeric.
	Load *ResponseLoad
	// LoadKind says whether the endpoint reports its load in a form that can be read.
	LoadKind StatedKind
	// Rate is the number of requests a second that the endpoint takes from all nodes together.
	Rate StatedNumber
	// Brittle is the number of rejections in a second, for want of room, above which the endpoint
	// fails.
	Brittle StatedNumber
	// Leaving means that the endpoint will stop, and wants no new requests.
	Leaving bool
	// Sender is the endpoint that answered, if it states that.
	Sender EndpointID
	// RetryAfter is how long after a rejection the endpoint wants no requests of this node; 0 if it states
	// nothing.
	RetryAfter time.Duration
	// ColdFor is how long the endpoint stays cold, counted from the answer.
	ColdFor StatedDuration
}

// StatedDuration is a duration that an endpoint may state with an answer.
type StatedDuration struct {
	Kind StatedKind
	// Value is not negative; it is 0 unless Kind is StatedNumeric.
	Value time.Duration
}

// StatedKind says whether an endpoint states a number with an answer.
type StatedKind string

// The kinds of statements. An unreadable one changes nothing that is known.
const (
	StatedNone       StatedKind = "None"
	StatedNumeric    StatedKind = "Numeric"
	StatedUnreadable StatedKind = "Unreadable"
)

// StatedNumber is a number that an endpoint may state with an answer.
type StatedNumber struct {
	Kind StatedKind
	// Value is finite and not negative; it is 0 unless Kind is StatedNumeric.
	Value float64
}

// ResponseLoad is the load that an endpoint reports with an answer.
type ResponseLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes at the endpoint now; 0 means that it isn't stated.
	Slowdown float64
	// SlowdownKind is StatedUnreadable if the endpoint states a figure that can't be read or can't be true.
	SlowdownKind StatedKind
}

// CallerProtocol decodes and builds the headers of requests and answers, as the
// platform defines them.
type CallerProtocol interface {
	// DecodeRequest decodes a caller's headers. It fails with an *Error with CodeInvalid
	// that names the field.
	DecodeRequest(r *http.Request) (CallerRequest, error)
	// BuildEndpointHeader returns the headers of a request that is forwarded to an
	// endpoint.
	BuildEndpointHeader(caller http.Header, dispatch *ForwardInfo) http.Header
	// BuildPeerHeader returns the headers of a request that is passed on to another node: the
	// caller's with the time that is left and, unless it is empty, the event after which a stream
	// goes on.
	BuildPeerHeader(caller http.Header, timeLeft time.Duration, resumeAfter string) http.Header
	// DecodeResponse decodes an endpoint's headers.
	DecodeResponse(header http.Header) ResponseInfo
	// BuildCallerHeader returns the headers of an endpoint's answer that are passed on
	// to the caller.
	BuildCallerHeader(header http.Header) http.Header
	// SetRefusalHeader sets the headers of a refusal by the node itself. The caller
	// may retry after retryAfter; 0 gives no advice.
	SetRefusalHeader(header http.Header, id RequestID, retryAfter time.Duration)
}
