package qf

import (
	"net/netip"
	"time"
)

// Class is the priority class of an entry's requests.
type Class string

// The classes, most urgent first.
const (
	// ClassCritical is for requests that may not be lost, such as filings.
	ClassCritical Class = "Critical"
	// ClassInteractive is for requests that a person waits for.
	ClassInteractive Class = "Interactive"
	// ClassBatch is for requests that may wait.
	ClassBatch Class = "Batch"
)

// Priority orders classes; a higher one goes first.
func (c Class) Priority() int {
	switch c {
	case ClassCritical:
		return 2
	case ClassInteractive:
		return 1
	default:
		return 0
	}
}

// FinalOutcome is how a request ended.
type FinalOutcome string

// The final outcomes. OutcomeNotRun is used only if it is proven.
const (
	OutcomeAnswered FinalOutcome = "Answered"
	OutcomeNotRun   FinalOutcome = "NotRun"
	OutcomeUnknown  FinalOutcome = "Unknown"
)

// Request is a caller's request as accepted by a node.
type Request struct {
	ID           RequestID
	Organisation Organisation
	Entry        EntryName
	Kind         EntryKind
	Class        Class
	// Key is set exactly for once-only requests.
	Key IdempotencyKey
	// Deadline is absolute; between nodes it is sent as the time left.
	Deadline time.Time
	// TraceParent is the W3C trace context of the hop from which the request came;
	// it is empty if there is none.
	TraceParent string

	// Messages and MaxTokens are set for model engines.
	Messages  []Message
	MaxTokens int
	Stream    bool
	// ResumeText is the part of the answer that the caller sent back, token by
	// token. It moves into the record when the request is accepted.
	ResumeText []string
	// PreviousNode is the node that streamed the answer before, if the caller named it.
	PreviousNode netip.AddrPort

	// Method, Path, ContentType and Body are set for plain services.
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// OnceOnly reports whether the request may run at most once.
func (r *Request) OnceOnly() bool { return r.Key != "" }

// RequestRecord holds all that a node needs to continue a request that another node
// accepted.
type RequestRecord struct {
	Request Request
	// Generation rises with each change of owner.
	Generation Generation
	Owner      NodeID
	// TimeLeft is the time to the deadline when the record was sent, so that
	// clocks of nodes need not agree.
	TimeLeft time.Duration
	// Text is the answer so far and Tokens its length in tokens.
	Text   []string
	Final  bool
	Finish string
	// Answer is set for a plain service that has answered.
	Answer *ServiceResponse
	// Attempts counts the attempts so far.
	Attempts int
	// Endpoint and Attempt identify the attempt in progress. The endpoint still holds
	// the attempt's KV cache, so that the next owner continues there if possible.
	Endpoint EndpointID
	Attempt  AttemptID
	// MayHaveRun is false only if it is proven that no attempt started, so that
	// the next owner may still refuse the request as not run.
	MayHaveRun bool
	// Update is true in a shadow that extends an earlier one: Request holds only the
	// identifier, and Text starts at the token with index TextFrom.
	Update   bool
	TextFrom int
	// Notice is true in a shadow that only states who owns the request.
	Notice bool
	// Watched is true in a notice if callers have read the owner's answer.
	Watched bool
	// Copy is true in the answer to a lookup if the answering node holds a shadow and
	// isn't the owner.
	Copy bool
	// Offered lists the nodes that may own an earlier generation, because the
	// outcome of the hand-over to them is unknown. The new owner notifies them.
	Offered []NodeID
}

// Supersedes reports whether a record's ownership is newer than another one of
// the same request. Equal generations are decided by the owner's name, so that
// two nodes always agree.
func (r *RequestRecord) Supersedes(generation Generation, owner NodeID) bool {
	if r.Generation != generation {
		return r.Generation > generation
	}
	return r.Owner > owner
}
