package qf

import "context"

// IntentState says what the ledger knows of a once-only request.
type IntentState string

// The states of an intent as a node sees it.
const (
	// IntentFresh means that this call recorded the intent: the caller of Begin,
	// and nobody else, may start the first attempt.
	IntentFresh IntentState = "Fresh"
	// IntentAnswered means that the answer is recorded.
	IntentAnswered IntentState = "Answered"
	// IntentRunning means that another request with the key is in progress.
	IntentRunning IntentState = "Running"
	// IntentUnknown means that the request may have run and can't be told.
	IntentUnknown IntentState = "Unknown"
	// IntentReused means that the key was used with another body.
	IntentReused IntentState = "Reused"
)

// Intent is the ledger's record of a once-only request.
type Intent struct {
	State IntentState
	// Request is the identifier of the request that recorded the intent first.
	Request RequestID
	Owner   NodeID
	// Generation rises with each change of owner.
	Generation Generation
	// Version is the row's version; it guards the next write.
	Version uint64
	// Answer is set exactly if State is IntentAnswered.
	Answer *ServiceAnswer
}

// Ledger keeps the intents and outcomes of once-only requests. It is shared by
// all nodes.
type Ledger interface {
	// Begin records the intent to run a request, or returns what is known of its
	// key. An error means that no attempt may start; it carries RanNo.
	Begin(ctx context.Context, request *Request, owner NodeID) (Intent, error)
	// Finish records how the request ended. OutcomeNotRun frees the key.
	Finish(ctx context.Context, request *Request, intent Intent, outcome FinalOutcome, answer *ServiceAnswer) error
}
