package qf

import "time"

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

// The final outcomes. OutcomeNotRun is said only if it is proven.
const (
	OutcomeAnswered FinalOutcome = "Answered"
	OutcomeNotRun   FinalOutcome = "NotRun"
	OutcomeUnknown  FinalOutcome = "Unknown"
)

// Request is a caller's request as a node accepted it.
type Request struct {
	ID           RequestID
	Organisation Organisation
	Entry        EntryName
	Kind         EntryKind
	Class        Class
	// Key is set exactly for once-only requests.
	Key IdempotencyKey
	// Deadline is absolute; it travels between nodes as the time that is left.
	Deadline time.Time
	// TraceParent is the W3C trace context of the hop that brought the request
	// here; empty means that there is none.
	TraceParent string

	// Messages and MaxTokens are set for model engines.
	Messages  []Message
	MaxTokens int
	Stream    bool

	// Method, Path, ContentType and Body are set for plain services.
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// OnceOnly reports whether the request may run at most once.
func (r *Request) OnceOnly() bool { return r.Key != "" }

// RequestRecord is what one node needs in order to go on with a request that
// another one accepted.
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
	Answer *ServiceAnswer
	// Attempts counts the attempts so far.
	Attempts int
	// MayHaveRun is false only if it is proven that no attempt started, so that
	// the next owner may still refuse the request as not run.
	MayHaveRun bool
}
