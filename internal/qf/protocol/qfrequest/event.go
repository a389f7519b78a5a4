package qfrequest

import (
	"time"

	"quetzalfront/internal/qf"
)

// Phase is the phase of a request's lifecycle.
type Phase string

// The phases of a request.
const (
	// PhaseWaiting means that no attempt is in progress.
	PhaseWaiting Phase = "Waiting"
	// PhaseRunning means that an attempt is in progress.
	PhaseRunning Phase = "Running"
	// PhaseQuerying means that a once-only attempt broke and its endpoint is being
	// queried for its status.
	PhaseQuerying Phase = "Asking"
	// PhaseEnded means that the outcome is final or that another node owns the
	// request.
	PhaseEnded Phase = "Ended"
)

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	// EventAccepted starts the lifecycle of a request.
	EventAccepted EventKind = "Accepted"
	// EventStarted means that an attempt is about to be sent to an endpoint.
	EventStarted EventKind = "Started"
	// EventChunk carries a chunk of a stream.
	EventChunk EventKind = "Piece"
	// EventAnswer carries the complete answer of a plain service.
	EventAnswer EventKind = "Answer"
	// EventBroken means that an attempt broke; Ran states what is proven.
	EventBroken EventKind = "Broken"
	// EventNoEndpoint means that no endpoint can be chosen.
	EventNoEndpoint EventKind = "NoEndpoint"
	// EventLeaving means that an endpoint is going to leave.
	EventLeaving EventKind = "Leaving"
	// EventStatus carries an endpoint's status of an attempt.
	EventStatus EventKind = "Status"
	// EventDeadline means that the deadline has passed.
	EventDeadline EventKind = "Deadline"
	// EventHandedOver means that another node now owns the request.
	EventHandedOver EventKind = "HandedOver"
	// EventStalled means that an attempt made no progress for Config.SilentAfter.
	EventStalled EventKind = "Silent"
	// EventProbed carries the result of a probe of a stalled attempt's endpoint.
	EventProbed EventKind = "Probed"
	// EventIntentLost means that another node changed the intent of a once-only
	// request.
	EventIntentLost EventKind = "Lost"
	// EventIntentReplaced carries a new intent for a once-only request. The runner handles
	// it; the lifecycle receives only the events that follow.
	EventIntentReplaced EventKind = "Replaced"
	// EventRetryDenied means that the retry budget has no retry left.
	EventRetryDenied EventKind = "RetryDenied"
)

// Event is an input of a request's lifecycle.
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
	// Queued is set for EventProbed: the number of requests queued at the endpoint.
	Queued int
	// Intent is set for EventIntentReplaced if Err is nil.
	Intent qf.Intent
	// Err of EventProbed is nil exactly if the endpoint answered.
	Err error
}

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of actions.
const (
	// ActionNone requires nothing.
	ActionNone ActionKind = "None"
	// ActionStart starts an attempt at an endpoint other than Avoid, after cancelling
	// CancelAttempt if it is set.
	ActionStart ActionKind = "Start"
	// ActionDeliver delivers the chunk to the caller.
	ActionDeliver ActionKind = "Deliver"
	// ActionQueryStatus queries the endpoint for the status of an attempt, after a
	// delay.
	ActionQueryStatus ActionKind = "AskStatus"
	// ActionProbe checks over a new connection whether the endpoint is alive.
	ActionProbe ActionKind = "Probe"
	// ActionFinish ends the request with an outcome.
	ActionFinish ActionKind = "Finish"
)

// StartCause is the reason why an attempt starts.
type StartCause string

// The causes of attempts.
const (
	StartFirst StartCause = "First"
	// StartMove follows the announced departure of an endpoint; it doesn't count as a
	// retry.
	StartMove  StartCause = "Move"
	StartRetry StartCause = "Retry"
	// StartReconnect continues at the same endpoint over a new connection.
	StartReconnect StartCause = "Reconnect"
)

// Action is what the runner must do next.
type Action struct {
	Kind ActionKind
	// Cause is set for ActionStart.
	Cause StartCause
	// CancelAttempt is the attempt to cancel first, if any.
	CancelAttempt qf.AttemptID
	// Avoid is an endpoint that must not be chosen, if any.
	Avoid qf.EndpointID
	// After is the delay of ActionQueryStatus.
	After time.Duration
	// Outcome and Err are set for ActionFinish; Err is nil if and only if the
	// outcome is OutcomeAnswered.
	Outcome qf.FinalOutcome
	Err     *qf.Error
	// Answer is the answer of a plain service that the lifecycle accepted. A rejected
	// answer isn't set.
	Answer *qf.ServiceResponse
}
