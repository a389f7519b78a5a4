package qfrequest

import (
	"errors"
	"time"

	"github.com/google/uuid"

	"quetzalfront/internal/qf"
)

// start ends the last attempt and starts the next one. A retry needs the budget's
// permission and waits for the delay that the budget sets.
func (x *run) start(action Action) bool {
	now := x.config.Clock.Now()
	if (action.Cause == StartRetry || action.Cause == StartReconnect) && x.config.Chooser.IsLeaving(action.Avoid) {
		action.Cause = StartMove // An announced reclaim isn't a failure, so it takes no retry.
	}
	x.cut = action.Cause == StartMove
	x.endAttempt(x.cut)
	if action.Cause != StartRetry && action.Cause != StartReconnect {
		return x.launch(action)
	}
	decision := x.config.Budget.Retry(x.retryQuery(now, action))
	x.record.addDecision(Decision{At: now, Step: qf.StepAttempt, Endpoint: x.choice.Endpoint.ID, Reason: decision.Reason, Note: string(action.Cause)})
	if !decision.Allowed {
		err := qf.NewError(qf.CodeBroken, qf.StepAttempt, string(x.choice.Endpoint.ID), decision.Reason.Rule)
		return x.handle(Event{Kind: EventRetryDenied, Err: err})
	}
	if decision.Delay <= 0 {
		return x.launch(action)
	}
	x.delayed = action
	x.retryAt = x.config.Clock.After(decision.Delay)
	return true
}

func (x *run) retryQuery(now time.Time, action Action) qf.RetryQuery {
	r := x.record.Request
	return qf.RetryQuery{
		Now: now, Request: r, Retry: x.record.attempts(), RemainingTokens: r.MaxTokens - x.record.offset(),
		AtOnce: action.Cause == StartReconnect,
	}
}

func (x *run) stopRetry() {
	if x.retryAt != nil {
		x.retryAt.Stop()
	}
}

func (x *run) retryDue() <-chan time.Time {
	if x.retryAt == nil {
		return nil
	}
	return x.retryAt.C()
}

// launch chooses an endpoint and starts an attempt there.
func (x *run) launch(action Action) bool {
	now := x.config.Clock.Now()
	x.reconnect = action.Cause == StartReconnect
	if action.Cause == StartMove {
		x.moves++
	}
	if action.Avoid != "" {
		x.avoid = append(x.avoid, action.Avoid)
	}
	if choice, ok := x.takePlanned(&action); ok {
		return x.begin(now, choice, NewAttemptID(), action.Cause)
	}
	if planned := x.record.plan; planned != nil && action.Cause == StartFirst {
		return x.begin(now, planned.Choice, planned.Attempt, action.Cause)
	}
	choice, err := x.choose(now, action.Cause)
	var postponed *PostponedError
	if errors.As(err, &postponed) {
		x.delayed = action
		x.retryAt = x.config.Clock.After(postponed.Wait)
		return true
	}
	if err != nil {
		return x.handle(Event{Kind: EventNoEndpoint, Err: err})
	}
	attempt := NewAttemptID()
	if x.record.Request.OnceOnly() {
		x.choice = choice
		intent := x.record.plan.Intent
		x.calls.Go(func() { x.replaceIntent(choice.Endpoint, attempt, intent) })
		return true
	}
	return x.begin(now, choice, attempt, action.Cause)
}

// PostponedError means that an endpoint must be chosen later, when a request that must not
// run at the same time as this one has ended. Run handles it and never returns it.
type PostponedError struct {
	Wait time.Duration
}

// Error implements error.
func (p *PostponedError) Error() string {
	return "the choice of an endpoint is postponed by " + p.Wait.String()
}

// choose chooses an endpoint. After a stalled connection it is the same one.
func (x *run) choose(now time.Time, cause StartCause) (qf.RouteChoice, error) {
	if cause == StartReconnect {
		choice := x.choice
		choice.Reason = qf.Reason{Rule: "ResumeOverNewConnection"}
		return choice, nil
	}
	offset := x.record.offset()
	choice, err := x.config.Chooser.ChooseEndpoint(now, x.record.Request, offset, x.avoid)
	if qf.CodeOf(err) == qf.CodeNoEndpoint && len(x.avoid) > 0 {
		x.avoid = nil // An endpoint that failed before is better than none.
		choice, err = x.config.Chooser.ChooseEndpoint(now, x.record.Request, offset, nil)
	}
	return choice, err
}

// NewAttemptID returns a new unique identifier.
func NewAttemptID() qf.AttemptID { return qf.AttemptID(uuid.NewString()) }
