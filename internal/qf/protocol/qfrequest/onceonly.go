package qfrequest

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"quetzalfront/internal/qf"
)

// PlannedStart is an attempt of a once-only request with its recorded intent.
type PlannedStart struct {
	Choice  qf.RouteChoice
	Attempt qf.AttemptID
	// Intent has the state IntentFresh.
	Intent qf.Intent
	// IntentAt is when the write of the intent started.
	IntentAt time.Time
}

// pendingOutcome is an outcome that isn't recorded in the ledger yet.
type pendingOutcome struct {
	intent  qf.Intent
	outcome qf.FinalOutcome
	answer  *qf.ServiceResponse
}

// checkIntentAge returns an error if a once-only attempt must not be sent, because its
// node was paused for so long since the intent was written that another node may have
// resolved it. The wall clock is checked too, because the monotonic clock stops while a VM
// is suspended.
func (x *run) checkIntentAge(plan *PlannedStart) error {
	if plan == nil {
		return nil
	}
	now := x.config.Clock.Now()
	elapsed := max(now.Sub(plan.IntentAt), now.Round(0).Sub(plan.IntentAt.Round(0)))
	if elapsed <= x.config.MaxIntentAge {
		return nil
	}
	return &qf.Error{
		Code: qf.CodeUnavailable, Step: qf.StepAttempt, Ran: qf.RanNo,
		Reason: "the intent is too old to send its attempt",
	}
}

// replaceIntent records the intent for another attempt of a once-only request, after the
// last one was proven not to have run.
func (x *run) replaceIntent(endpoint qf.Endpoint, attempt qf.AttemptID, last qf.Intent) {
	startedAt := x.config.Clock.Now()
	intent, err := x.config.Ledger.ReplaceIntent(x.ctx, x.record.Request, last, x.config.Self,
		qf.PlannedAttempt{Attempt: attempt, Endpoint: endpoint})
	x.post(x.ctx, Event{Kind: EventIntentReplaced, At: startedAt, Attempt: attempt, Intent: intent, Err: err})
}

// handleReplacedIntent starts the attempt whose intent was recorded.
func (x *run) handleReplacedIntent(e Event) bool {
	switch {
	case e.Err == nil:
		x.record.plan = &PlannedStart{Choice: x.choice, Attempt: e.Attempt, Intent: e.Intent, IntentAt: e.At}
		return x.begin(x.config.Clock.Now(), x.choice, e.Attempt, StartRetry)
	case qf.CodeOf(e.Err) == qf.CodeStaleOwnership:
		return x.handle(Event{Kind: EventIntentLost, Err: e.Err})
	default:
		return x.handle(Event{Kind: EventNoEndpoint, Err: e.Err})
	}
}

// outcomeWriteTimeout bounds how long an outcome is withheld from the caller until it is
// recorded.
const outcomeWriteTimeout = time.Second

// recordOutcome records the outcome in the ledger and returns the outcome to report to
// the caller. NotRun is reported only if the ledger has recorded it, which frees the key:
// otherwise another node may have run the call.
func (x *run) recordOutcome(action Action) (qf.FinalOutcome, *qf.Error) {
	x.record.setPendingOutcome(&pendingOutcome{
		intent: x.record.plan.Intent, outcome: action.Outcome, answer: action.Answer,
	})
	recorded := make(chan error, 1)
	x.calls.Go(func() { recorded <- x.recordOnce(x.ctx, x.record) })
	wait := x.config.Clock.After(outcomeWriteTimeout)
	defer wait.Stop()
	err := awaitRecorded(recorded, wait.C())
	x.recordOutcomeDecision(err)
	if err == nil || action.Outcome != qf.OutcomeNotRun {
		return action.Outcome, action.Err
	}
	reported := *action.Err
	reported.Ran, reported.Reason, reported.Cause = qf.RanUnknown, "another node may have run the call", err
	return qf.OutcomeUnknown, &reported
}

// awaitRecorded returns the result of a write to the ledger, or an error if there is none when the time is over.
func awaitRecorded(recorded <-chan error, isOver <-chan time.Time) error {
	select {
	case err := <-recorded:
		return err
	case <-isOver:
	}
	select {
	case err := <-recorded: // The node came late to both.
		return err
	default:
		return qf.NewError(qf.CodeUnavailable, qf.StepOutcome, "", "the ledger is slow")
	}
}

func (x *run) recordOutcomeDecision(err error) {
	note := "outcome recorded"
	if err != nil {
		note = err.Error()
	}
	x.record.addDecision(Decision{At: x.config.Clock.Now(), Step: qf.StepOutcome, Note: note})
}

// recordOnce tries once to record a pending outcome. If another node has changed the
// intent, no further try is needed.
func (r *Runner) recordOnce(ctx context.Context, record *Record) error {
	u := record.pendingOutcome()
	if u == nil {
		return nil
	}
	err := r.config.Ledger.RecordOutcome(ctx, record.Request, u.intent, u.outcome, u.answer)
	if err == nil || qf.CodeOf(err) == qf.CodeStaleOwnership {
		record.setPendingOutcome(nil)
	}
	return err
}

// The bounds of the delays between tries to record an outcome while the table service is
// unavailable.
const (
	minRecordDelay = 500 * time.Millisecond
	maxRecordDelay = 30 * time.Second
)

// RecordPendingOutcome retries the recording of an outcome that Run couldn't record, until
// it succeeds or the context ends. Call it after Run.
func (r *Runner) RecordPendingOutcome(ctx context.Context, record *Record) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minRecordDelay, maxRecordDelay
	for record.pendingOutcome() != nil {
		wait := r.config.Clock.After(delays.NextBackOff())
		select {
		case <-wait.C():
		case <-ctx.Done():
			wait.Stop()
			return
		}
		_ = r.recordOnce(ctx, record) // The loop condition checks the result.
	}
}

func (r *Record) setPendingOutcome(u *pendingOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unrecorded = u
}

func (r *Record) pendingOutcome() *pendingOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unrecorded
}
