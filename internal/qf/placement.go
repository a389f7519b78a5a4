package qf

import (
	"time"
)

// PickQuery asks for an endpoint for one attempt of a caller's request.
type PickQuery struct {
	Now          time.Time
	Route        *CallerRoute
	Organisation Organisation
	Prompt       *Prompt
	// Deadline is when the request gets its final answer.
	Deadline time.Time
	// Excluded endpoints must not be chosen.
	Excluded []EndpointID
	// ResumeTokens estimates the answer so far, which must be read again.
	ResumeTokens int
	// Entry keeps a repeat at the entry that was drawn before; it is empty for a
	// first attempt.
	Entry EntryName
}

// PickedEndpoint is an endpoint that was chosen, and why.
type PickedEndpoint struct {
	Endpoint Endpoint
	// StartedAt and Tokens name the attempt to the router.
	StartedAt time.Time
	Tokens    int
	// FirstToken is the predicted time to the first token; 0 is unknown. Objective is
	// the time that it should take.
	FirstToken, Objective time.Duration
	// Route is the name of the request's route.
	Route string
	// Began is the time to the first token, or to the answer of a plain service; it is 0
	// before that.
	Began  time.Duration
	Reason Reason
}

// AttemptEnd says how an attempt at an endpoint ended.
type AttemptEnd string

// The ends of attempts.
const (
	// AttemptAnswered means that a whole answer came, which isn't a failure.
	AttemptAnswered AttemptEnd = "Answered"
	// AttemptFailed means that the endpoint ran the request and says that it failed.
	AttemptFailed AttemptEnd = "Failed"
	// AttemptNotRun means that it is proven that the request didn't run.
	AttemptNotRun AttemptEnd = "NotRun"
	// AttemptBroken means that nothing proves whether the request ran.
	AttemptBroken AttemptEnd = "Broken"
	// AttemptCancelled means that the caller left or the time was over.
	AttemptCancelled AttemptEnd = "Cancelled"
)

// EndpointPicker chooses endpoints and learns from what becomes of attempts. It is safe for
// concurrent use.
type EndpointPicker interface {
	// PickEndpoint picks an endpoint and counts the attempt there, or returns an *Error
	// that says when to come back.
	PickEndpoint(query *PickQuery) (PickedEndpoint, error)
	// RecordFirstToken reports the first token, or the answer of a plain service.
	RecordFirstToken(at time.Time, placement *PickedEndpoint)
	// RecordAttemptEnd reports the end of the attempt.
	RecordAttemptEnd(at time.Time, placement *PickedEndpoint, end AttemptEnd)
	// RecordLoad takes the load that an endpoint told with an answer.
	RecordLoad(at time.Time, endpoint EndpointID, load ResponseLoad)
}
