// Package qfrequest runs requests: a pure state machine (Lifecycle), the record that
// callers read from (Record), and the runner that does the state machine's I/O (Runner).
package qfrequest

import (
	"errors"
	"fmt"
	"time"

	"quetzalfront/internal/qf"
)

// Lifecycle is the state machine of one request. It does no I/O and reads no
// clock. Applying EventAccepted accepts the request.
type Lifecycle struct {
	request     *qf.Request
	maxAttempts int

	phase Phase
	// attempt and endpoint are those in progress in PhaseRunning and PhaseQuerying.
	attempt  qf.AttemptID
	endpoint qf.EndpointID
	// attempts counts attempts that were not moves.
	attempts int
	// mayHaveRun is true once an attempt isn't proven not to have started. The attempt in
	// progress doesn't count before it delivers, breaks or is abandoned.
	mayHaveRun bool
	// tokens counts the delivered tokens; it is the offset that the next chunk must
	// have.
	tokens int
	// hasChunk is true once the attempt in progress delivered a chunk.
	hasChunk bool
	// stalls counts the stalls of the attempt in progress.
	stalls int
	// statusQueries counts the status queries without a result since the attempt broke.
	statusQueries int
	lastErr       error
}

// History describes what happened to a request before its lifecycle began, at this
// node or at an earlier owner. The zero History is that of a new request.
type History struct {
	// Tokens is the number of tokens that were delivered.
	Tokens int
	// MayHaveRun is false only if it is proven that no attempt started.
	MayHaveRun bool
}

// NewLifecycle returns the lifecycle of a request with the given history.
func NewLifecycle(request *qf.Request, maxAttempts int, history History) *Lifecycle {
	return &Lifecycle{
		request: request, maxAttempts: maxAttempts, phase: PhaseWaiting,
		tokens: history.Tokens, mayHaveRun: history.MayHaveRun || history.Tokens > 0,
	}
}

// Phase returns the request's phase.
func (l *Lifecycle) Phase() Phase { return l.phase }

// History returns the request's history for its next owner. An attempt in progress
// counts as one that may have run.
func (l *Lifecycle) History() History {
	return History{Tokens: l.tokens, MayHaveRun: l.mayHaveRun || l.phase == PhaseRunning}
}

// Attempts returns the number of attempts that were not moves.
func (l *Lifecycle) Attempts() int { return l.attempts }

// Endpoint returns the endpoint of the attempt in progress, or "".
func (l *Lifecycle) Endpoint() qf.EndpointID {
	if l.phase != PhaseRunning {
		return ""
	}
	return l.endpoint
}

// Apply applies an event and returns the action that it requires. Events that arrive
// after the end or that belong to an earlier attempt are ignored.
func (l *Lifecycle) Apply(e Event) Action {
	if l.phase == PhaseEnded {
		return Action{Kind: ActionNone}
	}
	switch e.Kind {
	case EventAccepted:
		return Action{Kind: ActionStart, Cause: StartFirst}
	case EventStarted:
		return l.started(e)
	case EventChunk:
		return l.chunk(e)
	case EventAnswer:
		return l.answer(e)
	case EventBroken:
		return l.broken(e)
	case EventNoEndpoint, EventRetryDenied:
		return l.giveUp(e)
	case EventLeaving:
		return l.leaving(e)
	case EventStatus:
		return l.status(e)
	case EventStalled:
		return l.stalled(e)
	case EventProbed:
		return l.probed(e)
	case EventIntentLost:
		return l.lost(e)
	case EventDeadline:
		return l.deadline()
	case EventHandedOver:
		l.phase = PhaseEnded
		return Action{Kind: ActionNone, CancelAttempt: l.attempt}
	default:
		return Action{Kind: ActionNone}
	}
}

// started records an attempt before its first byte is sent.
func (l *Lifecycle) started(e Event) Action {
	l.phase = PhaseRunning
	l.attempt = e.Attempt
	l.endpoint = e.Endpoint
	l.hasChunk, l.stalls, l.statusQueries = false, 0, 0
	l.attempts++
	return Action{Kind: ActionNone}
}

// isCurrentAttempt reports whether an event belongs to the attempt in progress.
func (l *Lifecycle) isCurrentAttempt(e Event) bool {
	return l.phase == PhaseRunning && e.Attempt == l.attempt
}

// chunk accepts a chunk only if it is the next token of the attempt in progress.
func (l *Lifecycle) chunk(e Event) Action {
	if !l.isCurrentAttempt(e) {
		return Action{Kind: ActionNone}
	}
	if e.Chunk.Attempt != l.attempt {
		return l.breakAttempt(e, fmt.Sprintf("a chunk echoes attempt %q", e.Chunk.Attempt))
	}
	if e.Chunk.Offset != l.tokens {
		return l.breakAttempt(e, fmt.Sprintf("expected the chunk at offset %d, not %d", l.tokens, e.Chunk.Offset))
	}
	if !e.Chunk.End && e.Chunk.Offset >= l.request.MaxTokens {
		return l.breakAttempt(e, fmt.Sprintf("the answer is longer than %d tokens", l.request.MaxTokens))
	}
	l.mayHaveRun = true
	l.hasChunk = true
	if e.Chunk.End {
		return l.finish(qf.OutcomeAnswered, nil)
	}
	l.tokens++
	return Action{Kind: ActionDeliver}
}

// breakAttempt treats an invalid chunk or answer as a broken attempt.
func (l *Lifecycle) breakAttempt(e Event, reason string) Action {
	err := &qf.Error{
		Code: qf.CodeBroken, Step: qf.StepAttempt, Peer: string(l.endpoint), Reason: reason, Ran: qf.RanUnknown,
	}
	return l.broken(Event{Kind: EventBroken, At: e.At, Attempt: e.Attempt, Ran: qf.RanUnknown, Err: err})
}

func (l *Lifecycle) answer(e Event) Action {
	if !l.isCurrentAttempt(e) {
		return Action{Kind: ActionNone}
	}
	if e.Answer == nil || e.Answer.Attempt != l.attempt {
		return l.breakAttempt(e, "the answer is of another attempt")
	}
	l.mayHaveRun = true
	return l.answered(e.Answer)
}

func (l *Lifecycle) answered(answer *qf.ServiceResponse) Action {
	action := l.finish(qf.OutcomeAnswered, nil)
	action.Answer = answer
	return action
}

// broken starts another attempt if that is safe and allowed. For a once-only attempt
// that may have run, the endpoint is queried for its status instead.
func (l *Lifecycle) broken(e Event) Action {
	if !l.isCurrentAttempt(e) {
		return Action{Kind: ActionNone}
	}
	l.lastErr = e.Err
	if e.Ran == qf.RanNo {
		return l.retry()
	}
	l.mayHaveRun = true
	if l.request.OnceOnly() {
		l.phase = PhaseQuerying
		return Action{Kind: ActionQueryStatus, CancelAttempt: l.attempt}
	}
	return l.retry()
}

// retry starts another attempt unless maxAttempts is reached.
func (l *Lifecycle) retry() Action {
	if l.attempts >= l.maxAttempts {
		return l.giveUp(Event{Err: l.lastErr})
	}
	l.phase = PhaseWaiting
	return Action{Kind: ActionStart, Cause: StartRetry, CancelAttempt: l.attempt, Avoid: l.endpoint}
}

// leaving moves a model engine's request away from an endpoint that is going to leave.
// A call of a plain service finishes where it is, because its endpoint drains.
func (l *Lifecycle) leaving(e Event) Action {
	if l.phase != PhaseRunning || l.endpoint != e.Endpoint {
		return Action{Kind: ActionNone}
	}
	if l.request.Kind != qf.KindModelEngine {
		return Action{Kind: ActionNone}
	}
	l.phase = PhaseWaiting
	l.attempts--
	l.mayHaveRun = true // It isn't proven that the cancelled attempt didn't start.
	return Action{Kind: ActionStart, Cause: StartMove, CancelAttempt: l.attempt, Avoid: l.endpoint}
}

func (l *Lifecycle) deadline() Action {
	l.lastErr = qf.NewError(qf.CodeDeadline, qf.StepAttempt, string(l.endpoint), "the deadline passed")
	if l.phase == PhaseRunning {
		l.mayHaveRun = true // The attempt in progress isn't proven not to have started.
	}
	return l.giveUp(Event{Err: l.lastErr})
}

// retryAfter is the Retry-After for callers whose request was given up, unless the cause
// sets its own.
const retryAfter = time.Second

// retryAfterOf returns the RetryAfter of the cause, or the default.
func retryAfterOf(cause error) time.Duration {
	var e *qf.Error
	if errors.As(cause, &e) && e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return retryAfter
}

// giveUp ends the request: as not run if that is proven, else as unknown.
func (l *Lifecycle) giveUp(e Event) Action {
	err := &qf.Error{Code: qf.CodeBroken, Step: qf.StepAttempt, Peer: string(l.endpoint), Cause: e.Err}
	if code := qf.CodeOf(e.Err); code != "" {
		err.Code = code
	}
	err.RetryAfter = retryAfterOf(e.Err)
	if !l.mayHaveRun {
		err.Ran = qf.RanNo
		err.Reason = "the request was not run"
		return l.finish(qf.OutcomeNotRun, err)
	}
	err.Ran = qf.RanUnknown
	err.Reason = "the request may have run"
	return l.finish(qf.OutcomeUnknown, err)
}

func (l *Lifecycle) finish(outcome qf.FinalOutcome, err *qf.Error) Action {
	l.phase = PhaseEnded
	return Action{Kind: ActionFinish, Outcome: outcome, Err: err, CancelAttempt: l.attempt}
}
