package qfrequest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qftest"
)

// recordingLedger records each outcome at once.
type recordingLedger struct{ qf.Ledger }

// RecordOutcome implements qf.Ledger.
func (recordingLedger) RecordOutcome(context.Context, *qf.Request, qf.Intent, qf.FinalOutcome, *qf.ServiceResponse) error {
	return nil
}

// heldUpClock holds the node up for longer than the time that it is asked for.
type heldUpClock struct{ qf.Clock }

// After implements qf.Clock.
func (c heldUpClock) After(d time.Duration) qf.Subscription {
	<-c.Clock.After(2 * d).C()
	return qftest.FiredClock{}.After(d)
}

// TestRecordedOutcomeIsNotUnknown fails if a caller is told that a call may have run although the ledger has recorded that it hasn't, since the node
// comes late to that and to the end of the time for it.
func TestRecordedOutcomeIsNotUnknown(t *testing.T) {
	bad := 0
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			record := NewRecord(&qf.Request{ID: "r", Kind: qf.KindPlainService, Key: "k"}, 4)
			record.plan = &PlannedStart{}
			x := &run{Runner: NewRunner(Config{Clock: heldUpClock{qftimer.NewWall()}, Ledger: recordingLedger{}}), ctx: t.Context(), record: record}
			outcome, _ := x.recordOutcome(Action{Outcome: qf.OutcomeNotRun, Err: &qf.Error{Ran: qf.RanNo}})
			if outcome != qf.OutcomeNotRun {
				bad++
			}
		})
	}
	if bad > 0 {
		t.Errorf("%d of 200 recorded refusals were reported as unknown", bad)
	}
}
