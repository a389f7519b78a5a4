package qfrequest

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"quetzalfront/internal/qf"
)

// PlannedStart is the first attempt of a once-only request with its recorded intent.
type PlannedStart struct {
	Choice  qf.RouteChoice
	Attempt qf.AttemptID
	// Intent is in the state IntentFresh.
	Intent qf.Intent
	// IntentAt is when the write of the intent began.
	IntentAt time.Time
}

// unrecordedOutcome is what the ledger is still to learn.
type unrecordedOutcome struct {
	intent  qf.Intent
	outcome qf.FinalOutcome
	answer  *qf.ServiceResponse
}

// checkLeave proves that a once-only attempt doesn't leave if its node was paused
// for so long that others may have settled the key. The wall clock is checked
// too, because the monotonic one stands still while a VM is suspended.
func (x *run) checkLeave(plan *PlannedStart) error {
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
		Reason: "the intent is too old for its attempt to leave",
	}
}

// replace records another attempt of a once-only request, after the last one was
// proven not to have run.
func (x *run) replace(endpoint qf.Endpoint, attempt qf.AttemptID, last qf.Intent) {
	begun := x.config.Clock.Now()
	intent, err := x.config.Ledger.ReplaceIntent(x.ctx, x.record.Request, last, x.config.Self,
		qf.PlannedAttempt{Attempt: attempt, Endpoint: endpoint})
	x.post(x.ctx, Event{Kind: EventIntentReplaced, At: begun, Attempt: attempt, Intent: intent, Err: err})
}

// replaced begins the attempt that was recorded.
func (x *run) replaced(e Event) bool {
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

// recordWait bounds how long an outcome is held back until it is recorded.
const recordWait = time.Second

// recordOutcome gives the outcome to the ledger and returns what the caller may
// be told. NotRun needs a ledger that confirms that the key is free: without it
// another node may have run the call.
func (x *run) recordOutcome(action Action) (qf.FinalOutcome, *qf.Error) {
	x.record.expectRecording(&unrecordedOutcome{
		intent: x.record.plan.Intent, outcome: action.Outcome, answer: action.Answer,
	})
	recorded := make(chan error, 1)
	go func() { recorded <- x.recordOnce(x.ctx, x.record) }()
	wait := x.config.Clock.After(recordWait)
	defer wait.Stop()
	var err error
	select {
	case err = <-recorded:
	case <-wait.C():
		err = qf.NewError(qf.CodeUnavailable, qf.StepOutcome, "", "the ledger is slow")
	}
	x.noteOutcome(err)
	if err == nil || action.Outcome != qf.OutcomeNotRun {
		return action.Outcome, action.Err
	}
	told := *action.Err
	told.Ran, told.Reason, told.Cause = qf.RanUnknown, "another node may have run the call", err
	return qf.OutcomeUnknown, &told
}

func (x *run) noteOutcome(err error) {
	note := "outcome recorded"
	if err != nil {
		note = err.Error()
	}
	x.record.note(Decision{At: x.config.Clock.Now(), Step: qf.StepOutcome, Note: note})
}

// recordOnce makes one try to record an outcome. A key that another node settled
// needs no further try.
func (r *Runner) recordOnce(ctx context.Context, record *Record) error {
	u := record.pendingOutcome()
	if u == nil {
		return nil
	}
	err := r.config.Ledger.RecordOutcome(ctx, record.Request, u.intent, u.outcome, u.answer)
	if err == nil || qf.CodeOf(err) == qf.CodeStaleOwnership {
		record.expectRecording(nil)
	}
	return err
}

// The delays between tries to record an outcome while the table is down.
const (
	firstRecordDelay = 500 * time.Millisecond
	maxRecordDelay   = 30 * time.Second
)

// RecordPendingOutcome records an outcome that the ledger doesn't have yet, until it has it
// or the context ends. Call it after Run.
func (r *Runner) RecordPendingOutcome(ctx context.Context, record *Record) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstRecordDelay, maxRecordDelay
	for record.pendingOutcome() != nil {
		wait := r.config.Clock.After(delays.NextBackOff())
		select {
		case <-wait.C():
		case <-ctx.Done():
			wait.Stop()
			return
		}
		_ = r.recordOnce(ctx, record) // The loop asks whether it worked.
	}
}

func (r *Record) expectRecording(u *unrecordedOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unrecorded = u
}

func (r *Record) pendingOutcome() *unrecordedOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unrecorded
}
