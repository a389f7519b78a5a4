package qf

import (
	"context"
	"time"
)

// IntentState says what the ledger knows of a once-only request.
type IntentState string

// The states of an intent as a node sees it.
const (
	// IntentFresh means that this call recorded the intent: the caller of Begin,
	// and nobody else, may start the planned attempt.
	IntentFresh IntentState = "Fresh"
	// IntentAnswered means that the answer is recorded.
	IntentAnswered IntentState = "Answered"
	// IntentRunning means that another request with the key is in progress, or
	// was when its owner was lost.
	IntentRunning IntentState = "Running"
	// IntentUnknown means that the request may have run and can't be told.
	IntentUnknown IntentState = "Unknown"
	// IntentReused means that the key was used with another body.
	IntentReused IntentState = "Reused"
)

// PlannedAttempt is the one attempt that an intent allows. It is recorded before
// the attempt's first byte leaves, so that any node can ask the endpoint what
// became of it.
type PlannedAttempt struct {
	Attempt  AttemptID
	Endpoint Endpoint
}

// Intent is the ledger's record of a once-only request.
type Intent struct {
	State IntentState
	// Request is the identifier of the request that recorded the intent first.
	Request RequestID
	Owner   NodeID
	// Generation rises with each change of owner or attempt.
	Generation Generation
	Planned    PlannedAttempt
	// Deadline is the request's deadline by the owner's wall clock.
	Deadline time.Time
	// Version is the row's version; it guards the next write.
	Version uint64
	// Writer is the transaction that wrote the row.
	Writer TransactionID
	// Answer is set exactly if State is IntentAnswered.
	Answer *ServiceResponse
}

// Ledger keeps the intents and outcomes of once-only requests. It is shared by
// all nodes. A write that finds the row changed by somebody else fails with
// CodeStaleOwnership.
type Ledger interface {
	// RecordIntent records the intent to run the planned attempt, or returns what is
	// known of the key. An error means that no attempt may start; it carries
	// RanNo.
	RecordIntent(ctx context.Context, request *Request, owner NodeID, planned PlannedAttempt) (Intent, error)
	// ReplaceIntent records the owner and an attempt in place of an intent whose attempt
	// is proven never to run. An error means that no attempt may start.
	ReplaceIntent(ctx context.Context, request *Request, intent Intent, owner NodeID, planned PlannedAttempt) (Intent, error)
	// RecordOutcome records how the request ended. OutcomeNotRun frees the key.
	RecordOutcome(ctx context.Context, request *Request, intent Intent, outcome FinalOutcome, answer *ServiceResponse) error
	// DeleteExpired deletes expired records among the next ones after the key. It returns
	// the key from which to go on, empty at the end, and how many it deleted.
	DeleteExpired(ctx context.Context, after string) (next string, deleted int, err error)
}
