package qfrequest_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
)

// sending is one caller's copy of a once-only call and the result that the caller got.
type sending struct {
	request *qf.Request
	state   qf.IntentState
	outcome qf.FinalOutcome
	answer  *qf.ServiceResponse
}

func (w *world) send(n *worldNode, number int, body string) *sending {
	s := &sending{request: &qf.Request{
		ID: qf.RequestID(fmt.Sprintf("%s-%d", n.id, number)), Organisation: "o", Entry: "register",
		Kind: qf.KindPlainService, Key: "k", Method: "POST", Path: "/permits", Body: []byte(body),
		Deadline: w.clock.Now().Add(w.timeout),
	}}
	record := qfrequest.NewRecord(s.request, 4)
	choice, _ := w.ChooseEndpoint(w.clock.Now(), s.request, 0, nil)
	intent, err := n.intents.OpenIntent(n.ctx, record, choice)
	if err != nil {
		s.outcome = qf.OutcomeUnknown
		if qf.RanOf(err) == qf.RanNo {
			s.outcome = qf.OutcomeNotRun
		}
		return s
	}
	s.state, s.answer = intent.State, intent.Answer
	if intent.State != qf.IntentFresh || n.ctx.Err() != nil {
		return s
	}
	n.runner.Run(n.ctx, record)
	progress := record.Progress(0)
	s.outcome, s.answer = progress.Outcome, progress.Answer
	n.runner.RecordPendingOutcome(n.ctx, record)
	return s
}

// run sends one key's call several times to several nodes and returns the violated
// invariant, if any.
func (w *world) run() error {
	nodes := []*worldNode{w.node("a"), w.node("b"), w.node("c")}
	var mu sync.Mutex
	var sendings []*sending
	var callers sync.WaitGroup
	for i := range 2 + w.intN(4) {
		n := nodes[w.intN(len(nodes))]
		callers.Go(func() {
			w.pause()
			s := w.send(n, i, "filing")
			mu.Lock()
			defer mu.Unlock()
			sendings = append(sendings, s)
		})
	}
	for _, n := range nodes {
		if w.happens(w.death) {
			callers.Go(func() {
				w.pause()
				w.kill(n)
			})
		}
	}
	callers.Wait()
	for _, n := range nodes {
		n.cancel()
	}
	return w.checkInvariants(sendings)
}

func (w *world) checkInvariants(sendings []*sending) error {
	<-w.clock.After(2 * w.longest).C() // Delayed messages arrive.
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.executions) > 1 {
		return fmt.Errorf("the call ran %d times: %s and %s", len(w.executions), w.executions[0].Request, w.executions[1].Request)
	}
	for _, s := range sendings {
		if s.answer != nil && (len(w.executions) != 1 || string(s.answer.Body) != "filing #1") {
			return fmt.Errorf("%s was answered %q after %d executions", s.request.ID, s.answer.Body, len(w.executions))
		}
		if s.outcome == qf.OutcomeAnswered && s.answer == nil {
			return fmt.Errorf("%s was answered with nothing", s.request.ID)
		}
		for _, e := range w.executions {
			if s.outcome == qf.OutcomeNotRun && e.Request == s.request.ID {
				return fmt.Errorf("%s ran and was refused as not run", e.Request)
			}
		}
	}
	return nil
}

func (w *world) counts() (executions, answers int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.executions), len(w.answers)
}

// runs returns the number of runs with faults; QF_RUNS overrides that of CI.
func runs() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("QF_RUNS"), 10, 64); err == nil {
		return n
	}
	return 1000
}

// runAll runs one world for each seed until an invariant is violated.
func runAll(t *testing.T, count uint64, planOf func(seed uint64) plan) (broken error) {
	t.Helper()
	executed, answered := 0, 0
	for seed := range count {
		synctest.Test(t, func(*testing.T) {
			w := newWorld(planOf(seed))
			if err := w.run(); err != nil {
				broken = fmt.Errorf("seed %d: %w", seed, err)
			}
			n, m := w.counts()
			executed, answered = executed+n, answered+m
		})
		if broken != nil {
			return broken
		}
	}
	t.Logf("%d runs, %d executions, %d answers", count, executed, answered)
	return nil
}

// TestOnceOnly guards against a once-only call that runs twice or is reported wrongly
// under lost answers, late writes, paused owners, several nodes with one key, node
// failures, late copies of calls and an unavailable table.
func TestOnceOnly(t *testing.T) {
	if err := runAll(t, runs(), faultyPlan); err != nil {
		t.Fatal(err)
	}
}

// noIntentLedger skips the write of the intent.
type noIntentLedger struct{ qf.Ledger }

func (noIntentLedger) RecordIntent(_ context.Context, r *qf.Request, owner qf.NodeID, planned qf.PlannedAttempt) (qf.Intent, error) {
	return qf.Intent{State: qf.IntentFresh, Request: r.ID, Owner: owner, Planned: planned}, nil
}

// uncheckedLedger allows the next attempt even if another node changed the intent.
type uncheckedLedger struct{ qf.Ledger }

func (t uncheckedLedger) ReplaceIntent(ctx context.Context, r *qf.Request, last qf.Intent, owner qf.NodeID, planned qf.PlannedAttempt) (qf.Intent, error) {
	intent, err := t.Ledger.ReplaceIntent(ctx, r, last, owner, planned)
	if err != nil {
		intent = qf.Intent{State: qf.IntentFresh, Request: r.ID, Owner: owner, Planned: planned}
	}
	return intent, nil
}

// TestOnceOnlyCatchesFaults checks that the invariants detect deliberate faults.
func TestOnceOnlyCatchesFaults(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *plan)
	}{
		{"skip the intent write", func(p *plan) {
			p.ledger = func(l qf.Ledger) qf.Ledger { return noIntentLedger{l} }
		}},
		{"expire records while callers repeat", func(p *plan) { p.recordsFor = time.Minute }},
		{"delete the rows of freed keys", func(p *plan) { p.deleteFreed, p.late, p.broken = true, 30, 25 }},
		{"let an attempt run after its status said that it never will", func(p *plan) { p.ignoresBars = true }},
		{"ignore the row version after a take-over", func(p *plan) {
			p.ledger = func(l qf.Ledger) qf.Ledger { return uncheckedLedger{l} }
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			broken := runAll(t, 10000, func(seed uint64) plan {
				p := faultyPlan(seed)
				test.change(&p)
				return p
			})
			if broken == nil {
				t.Fatal("no invariant was violated")
			}
			t.Log(broken)
		})
	}
}

// pausedLedger pauses its node after an intent was recorded.
type pausedLedger struct {
	qf.Ledger
	clock qf.Clock
	pause time.Duration
}

func (p pausedLedger) RecordIntent(ctx context.Context, r *qf.Request, owner qf.NodeID, planned qf.PlannedAttempt) (qf.Intent, error) {
	intent, err := p.Ledger.RecordIntent(ctx, r, owner, planned)
	<-p.clock.After(p.pause).C()
	return intent, err
}

// TestPausedOwner guards against a second run by an owner that was paused between its
// intent and its first byte, until the record had expired and another node had run the
// call. Only the bound on the intent's age prevents it.
func TestPausedOwner(t *testing.T) {
	tests := []struct {
		name         string
		maxIntentAge time.Duration
		executions   int
	}{
		{"bounded", 10 * time.Second, 1},
		{"without the bound", 1000 * time.Hour, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(plan{recordsFor: time.Hour, maxIntentAge: test.maxIntentAge, longest: time.Hour, timeout: 10 * time.Hour})
				other := w.node("b")
				w.ledger = func(l qf.Ledger) qf.Ledger { return pausedLedger{l, w.clock, 3 * time.Hour} }
				paused := w.node("a")
				var callers sync.WaitGroup
				callers.Go(func() { w.send(paused, 1, "filing") })
				callers.Go(func() {
					<-w.clock.After(2 * time.Hour).C()
					w.send(other, 2, "filing")
				})
				callers.Wait()
				if n, _ := w.counts(); n != test.executions {
					t.Errorf("the call ran %d times, want %d", n, test.executions)
				}
			})
		})
	}
}
