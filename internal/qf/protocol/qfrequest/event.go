package qfrequest

import (
	"time"

	"quetzalfront/internal/qf"
)

// Phase is where a request stands.
type Phase string

// The phases of a request.
const (
	// PhaseWaiting means that no attempt is in progress.
	PhaseWaiting Phase = "Waiting"
	// PhaseRunning means that an attempt is in progress.
	PhaseRunning Phase = "Running"
	// PhaseQuerying means that a once-only attempt broke and its endpoint is asked
	// what became of it.
	PhaseQuerying Phase = "Asking"
	// PhaseEnded means that the outcome stands or that another node owns the
	// request.
	PhaseEnded Phase = "Ended"
)

// EventKind says what happened to a request.
type EventKind string

// The kinds of events.
const (
	// EventAccepted starts the life of a request.
	EventAccepted EventKind = "Accepted"
	// EventStarted says that an attempt is about to leave for an endpoint.
	EventStarted EventKind = "Started"
	// EventChunk brings a piece of a stream.
	EventChunk EventKind = "Piece"
	// EventAnswer brings the whole answer of a plain service.
	EventAnswer EventKind = "Answer"
	// EventBroken says that an attempt failed; Ran says what is proven.
	EventBroken EventKind = "Broken"
	// EventNoEndpoint says that no endpoint can be chosen.
	EventNoEndpoint EventKind = "NoEndpoint"
	// EventLeaving says that an endpoint will leave.
	EventLeaving EventKind = "Leaving"
	// EventStatus brings an endpoint's word on a broken once-only attempt.
	EventStatus EventKind = "Status"
	// EventDeadline says that the time is up.
	EventDeadline EventKind = "Deadline"
	// EventHandedOver says that another node owns the request now.
	EventHandedOver EventKind = "HandedOver"
	// EventStalled says that an attempt has made no progress for some time.
	EventStalled EventKind = "Silent"
	// EventProbed brings what a probe of a silent attempt's endpoint found.
	EventProbed EventKind = "Probed"
	// EventIntentLost says that another node settled the key of a once-only request.
	EventIntentLost EventKind = "Lost"
	// EventIntentReplaced brings a new intent for a once-only request. The adapter acts
	// on it; the lifecycle sees only what follows.
	EventIntentReplaced EventKind = "Replaced"
	// EventRetryDenied says that the retry budget is spent.
	EventRetryDenied EventKind = "RetryDenied"
)

// Event is something that happened to a request.
type Event struct {
	Kind     EventKind
	At       time.Time
	Attempt  qf.AttemptID
	Endpoint qf.EndpointID
	Chunk    qf.StreamChunk
	Answer   *qf.ServiceResponse
	// Ran is set for EventBroken.
	Ran qf.Ran
	// Certainty is set for EventStatus.
	Certainty qf.Certainty
	// Queued is set for EventProbed: the requests that wait at the endpoint.
	Queued int
	// Intent is set for EventReplaced if Err is nil.
	Intent qf.Intent
	// Err of EventProbed is nil exactly if the endpoint answered.
	Err error
}

// ActionKind says what the adapter must do.
type ActionKind string

// The kinds of actions.
const (
	// ActionNone asks for nothing.
	ActionNone ActionKind = "None"
	// ActionStart asks for an attempt at an endpoint other than Avoid, after
	// CancelAttempt is cancelled if it is set.
	ActionStart ActionKind = "Start"
	// ActionDeliver asks to pass the piece on to the caller.
	ActionDeliver ActionKind = "Deliver"
	// ActionQueryStatus asks the endpoint what became of an attempt, after a delay.
	ActionQueryStatus ActionKind = "AskStatus"
	// ActionProbe asks the endpoint over a new connection whether it lives.
	ActionProbe ActionKind = "Probe"
	// ActionFinish ends the request with an outcome.
	ActionFinish ActionKind = "Finish"
)

// StartCause says why an attempt starts.
type StartCause string

// The causes of attempts.
const (
	StartFirst StartCause = "First"
	// StartMove follows an announced departure; it doesn't count as a retry.
	StartMove  StartCause = "Move"
	StartRetry StartCause = "Retry"
	// StartReconnect goes on at the same endpoint over a new connection.
	StartReconnect StartCause = "Reconnect"
)

// Action is what the adapter must do next.
type Action struct {
	Kind ActionKind
	// Cause is set for ActionStart.
	Cause StartCause
	// CancelAttempt is the attempt to cancel first, if any.
	CancelAttempt qf.AttemptID
	// Avoid is an endpoint that must not be chosen, if any.
	Avoid qf.EndpointID
	// After is the delay of ActionAskStatus.
	After time.Duration
	// Outcome and Err are set for ActionFinish; Err is nil if and only if the
	// outcome is OutcomeAnswered.
	Outcome qf.FinalOutcome
	Err     *qf.Error
	// Answer is the whole answer of a plain service that was answered. An answer
	// that came with an event but was rejected isn't here.
	Answer *qf.ServiceResponse
}
