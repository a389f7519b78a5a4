package qf

import (
	"context"
	"time"
)

// IntentState is the state of a once-only request in the ledger.
type IntentState string

// The states of an intent as a node sees it.
const (
	// IntentFresh means that this call recorded the intent: only the caller of
	// RecordIntent may start the planned attempt.
	IntentFresh IntentState = "Fresh"
	// IntentAnswered means that the answer is recorded.
	IntentAnswered IntentState = "Answered"
	// IntentRunning means that another request with the key is in progress, or
	// was when its owner was lost.
	IntentRunning IntentState = "Running"
	// IntentUnknown means that it can't be determined whether the request ran.
	IntentUnknown IntentState = "Unknown"
	// IntentKeyReused means that the key was used with another body.
	IntentKeyReused IntentState = "Reused"
)

// PlannedAttempt is the one attempt that an intent allows. It is recorded before
// the attempt's first byte is sent, so that any node can query its outcome at the
// endpoint.
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
	// Version is the row's version, on which the next write is conditional.
	Version uint64
	// Writer is the transaction that wrote the row.
	Writer TransactionID
	// Answer is set exactly if State is IntentAnswered.
	Answer *ServiceResponse
}

// Ledger keeps the intents and outcomes of once-only requests. It is shared by
// all nodes. A write fails with CodeStaleOwnership if another node has changed the
// row.
type Ledger interface {
	// RecordIntent records the intent to run the planned attempt, or returns the
	// intent that is already recorded for the key. An error means that no attempt may
	// start; it carries RanNo.
	RecordIntent(ctx context.Context, request *Request, owner NodeID, planned PlannedAttempt) (Intent, error)
	// ReplaceIntent records the owner and an attempt in place of an intent whose attempt
	// is proven never to run. An error means that no attempt may start.
	ReplaceIntent(ctx context.Context, request *Request, intent Intent, owner NodeID, planned PlannedAttempt) (Intent, error)
	// RecordOutcome records how the request ended. OutcomeNotRun releases the key, so that
	// it can be used again.
	RecordOutcome(ctx context.Context, request *Request, intent Intent, outcome FinalOutcome, answer *ServiceResponse) error
	// DeleteExpired deletes expired records in the next batch of records after the key.
	// It returns the key after which to continue, empty at the end, and the number of
	// records deleted.
	DeleteExpired(ctx context.Context, after string) (next string, deleted int, err error)
}
