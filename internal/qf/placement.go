package qf

import (
	"time"
)

// PickQuery holds the inputs for picking the endpoint of one attempt of a caller's request.
type PickQuery struct {
	Now          time.Time
	Route        *CallerRoute
	Organisation Organisation
	// Rank is the request's, from 0, the most urgent.
	Rank   int
	Prompt *Prompt
	// Deadline is the time by which the request gets its final answer.
	Deadline time.Time
	// Excluded endpoints must not be chosen.
	Excluded []EndpointID
	// ResumeTokens estimates the length of the answer so far, which must be prefilled
	// again.
	ResumeTokens int
	// Entry is the entry that was drawn for an earlier attempt, which retries keep; it
	// is empty for a first attempt.
	Entry EntryName
	// Residency limits the regions of the endpoint.
	Residency Residency
	// IsRecheck means that the request has asked before and waits for a place.
	IsRecheck bool
}

// PickedEndpoint is the endpoint picked for an attempt, and the reason.
type PickedEndpoint struct {
	Endpoint Endpoint
	// StartedAt and Tokens are the attempt's values in the router's records.
	StartedAt time.Time
	Tokens    int
	// FirstToken is the predicted time to the first token; 0 means unknown. Objective is
	// the target for it.
	FirstToken, Objective time.Duration
	// Route is the name of the request's route.
	Route string
	// Began is the time from the start to the first token, or to the answer of a plain
	// service; it is 0 until then.
	Began  time.Duration
	Reason Reason
	// Judgement identifies the attempt while a rollout compares versions; it is 0 otherwise.
	Judgement uint64
	// Events is the number of a stream's events that were relayed.
	Events int
}

// AttemptEnd is how an attempt at an endpoint ended.
type AttemptEnd string

// The ends of attempts.
const (
	// AttemptAnswered means that a complete answer arrived that isn't a failure.
	AttemptAnswered AttemptEnd = "Answered"
	// AttemptFailed means that the endpoint ran the request and reported a failure.
	AttemptFailed AttemptEnd = "Failed"
	// AttemptNotRun means that it is proven that the request didn't run.
	AttemptNotRun AttemptEnd = "NotRun"
	// AttemptBroken means that it is unknown whether the request ran.
	AttemptBroken AttemptEnd = "Broken"
	// AttemptCancelled means that the caller disconnected or the deadline passed.
	AttemptCancelled AttemptEnd = "Cancelled"
)

// EndpointPicker picks the endpoints of attempts and records the results. It is safe for
// concurrent use.
type EndpointPicker interface {
	// PickEndpoint picks an endpoint and counts the attempt there, or returns an *Error
	// with the time after which to retry.
	PickEndpoint(query *PickQuery) (PickedEndpoint, error)
	// AwaitPlace reports whether a request for which no endpoint was found should wait for a moment,
	// because a place will soon be free. EndWait must be called after it.
	AwaitPlace(now time.Time, entries []WeightedEntry) bool
	EndWait(entries []WeightedEntry)
	// RecordFirstToken records the first token, or the answer of a plain service.
	RecordFirstToken(at time.Time, placement *PickedEndpoint)
	// RecordProgress records that the attempt's stream goes on.
	RecordProgress(at time.Time, picked *PickedEndpoint)
	// RecordAttemptEnd records the end of the attempt.
	RecordAttemptEnd(at time.Time, placement *PickedEndpoint, end AttemptEnd)
	// RecordResponse records what the endpoint stated with the header of an answer.
	RecordResponse(at time.Time, picked *PickedEndpoint, answer *EndpointResponse)
}
