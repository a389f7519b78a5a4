package qfledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standtable"
)

var planned = qf.PlannedAttempt{Attempt: "a", Endpoint: qf.Endpoint{ID: "e"}}

func filing(key string) *qf.Request {
	return &qf.Request{ID: qf.RequestID("r-" + key), Organisation: "o", Entry: "register", Key: qf.IdempotencyKey(key), Body: []byte("filing")}
}

func withBody(r *qf.Request, body string) *qf.Request {
	r.Body = []byte(body)
	return r
}

func newLedger(every time.Duration) (*Ledger, *standtable.Table) {
	clock := qftimer.NewWall()
	table := standtable.New(clock)
	return New(clock, table, Options{
		Retention: time.Hour, MinCommitInterval: func() time.Duration { return every },
	}), table
}

// TestRecordIntent checks the state of a second intent for a key after the first one has
// ended in each way, with and without faults of the table.
func TestRecordIntent(t *testing.T) {
	answer := &qf.ServiceResponse{Attempt: "a", Body: []byte("done")}
	down := standtable.Faults{Down: true}
	tests := []struct {
		name string
		// outcome ends the first request with the key; empty leaves it running.
		outcome qf.FinalOutcome
		// during are the table's faults while the first outcome is recorded, then are
		// those while the second intent is recorded.
		during, then standtable.Faults
		wait         time.Duration
		second       *qf.Request
		want         qf.IntentState
	}{
		{name: "running", second: filing("k"), want: qf.IntentRunning},
		{name: "answered", outcome: qf.OutcomeAnswered, second: filing("k"), want: qf.IntentAnswered},
		{name: "answered, the write's answer lost", outcome: qf.OutcomeAnswered, during: standtable.Faults{LoseAnswers: 1}, second: filing("k"), want: qf.IntentAnswered},
		{name: "answered, the write late", outcome: qf.OutcomeAnswered, during: standtable.Faults{ApplyLate: 1, LateBy: time.Minute}, wait: 2 * time.Minute, second: filing("k"), want: qf.IntentAnswered},
		{name: "unknown", outcome: qf.OutcomeUnknown, second: filing("k"), want: qf.IntentUnknown},
		{name: "not run", outcome: qf.OutcomeNotRun, second: filing("k"), want: qf.IntentFresh},
		{name: "not run, the write's answer lost", outcome: qf.OutcomeNotRun, during: standtable.Faults{LoseAnswers: 1}, second: filing("k"), want: qf.IntentFresh},
		{name: "not run, but the key can't be freed", outcome: qf.OutcomeNotRun, during: down, second: filing("k"), want: qf.IntentFresh},
		{name: "answered, but that can't be recorded", outcome: qf.OutcomeAnswered, during: down, second: filing("k"), want: qf.IntentRunning},
		{name: "another body", outcome: qf.OutcomeAnswered, second: withBody(filing("k"), "other"), want: qf.IntentKeyReused},
		{name: "another body while running", second: withBody(filing("k"), "other"), want: qf.IntentKeyReused},
		{name: "another body after nothing ran", outcome: qf.OutcomeNotRun, second: withBody(filing("k"), "other"), want: qf.IntentFresh},
		{name: "another key", outcome: qf.OutcomeAnswered, second: filing("k2"), want: qf.IntentFresh},
		{name: "expired", outcome: qf.OutcomeAnswered, wait: 61 * time.Minute, second: filing("k"), want: qf.IntentFresh},
		{name: "kept before it expires", outcome: qf.OutcomeAnswered, wait: 59 * time.Minute, second: filing("k"), want: qf.IntentAnswered},
		{name: "the write's answer lost", second: filing("k2"), then: standtable.Faults{LoseAnswers: 1}, want: qf.IntentFresh},
		{name: "the write late", second: filing("k2"), then: standtable.Faults{ApplyLate: 1, LateBy: time.Minute}, want: qf.IntentFresh},
		{name: "the table down", second: filing("k2"), then: down, want: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, table := newLedger(time.Millisecond)
				first, err := l.RecordIntent(t.Context(), filing("k"), "n", planned)
				if err != nil || first.State != qf.IntentFresh {
					t.Fatalf("the first intent is %s: %v", first.State, err)
				}
				table.SetFaults(test.during)
				if test.outcome != "" {
					err := l.RecordOutcome(t.Context(), filing("k"), first, test.outcome, answer)
					if (err != nil) != test.during.Down {
						t.Fatalf("the outcome: %v", err)
					}
				}
				table.SetFaults(test.then)
				<-l.clock.After(time.Second + test.wait).C()
				checkSecond(t, l, test.second, test.want)
				<-l.clock.After(2 * time.Minute).C() // Late writes take effect before the test ends.
			})
		})
	}
}

func checkSecond(t *testing.T, l *Ledger, request *qf.Request, want qf.IntentState) {
	t.Helper()
	start := l.clock.Now()
	intent, err := l.RecordIntent(t.Context(), request, "m", planned)
	if intent.State != want {
		t.Errorf("got %q (%v), want %q", intent.State, err, want)
	}
	if (want == qf.IntentAnswered) != (intent.Answer != nil) {
		t.Errorf("the answer is %v", intent.Answer)
	}
	if want != "" {
		return
	}
	if qf.RanOf(err) != qf.RanNo || l.clock.Now().Sub(start) > time.Second {
		t.Errorf("refused after %s with %v", l.clock.Now().Sub(start), err)
	}
}

// TestStaleOwner checks that an owner whose intent another node has replaced can neither
// start another attempt nor record an outcome.
func TestStaleOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		l, _ := newLedger(time.Millisecond)
		first, _ := l.RecordIntent(ctx, filing("k"), "n", planned)
		second, err := l.ReplaceIntent(ctx, filing("k"), first, "m", planned)
		if err != nil || second.Generation != first.Generation+1 || second.Owner != "m" {
			t.Fatalf("got %+v, %v", second, err)
		}
		if _, err := l.ReplaceIntent(ctx, filing("k"), first, "n", planned); qf.CodeOf(err) != qf.CodeStaleOwnership {
			t.Errorf("another attempt: %v", err)
		}
		for _, outcome := range []qf.FinalOutcome{qf.OutcomeNotRun, qf.OutcomeUnknown} {
			if err := l.RecordOutcome(ctx, filing("k"), first, outcome, nil); qf.CodeOf(err) != qf.CodeStaleOwnership {
				t.Errorf("%s: %v", outcome, err)
			}
		}
		if err := l.RecordOutcome(ctx, filing("k"), second, qf.OutcomeNotRun, nil); err != nil {
			t.Error(err)
		}
	})
}

// TestDeleteExpired checks that exactly the expired rows are deleted.
func TestDeleteExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		l, table := newLedger(time.Millisecond)
		fill := func(prefix string) {
			for i := range 100 {
				if _, err := l.RecordIntent(ctx, filing(fmt.Sprint(prefix, i)), "n", planned); err != nil {
					t.Fatal(err)
				}
			}
		}
		fill("old")
		<-l.clock.After(50 * time.Minute).C()
		fill("new")
		<-l.clock.After(20 * time.Minute).C()
		after, total := "", 0
		for {
			next, deleted, err := l.DeleteExpired(ctx, after)
			if err != nil {
				t.Fatal(err)
			}
			total += deleted
			if after = next; after == "" {
				break
			}
		}
		rows, _ := table.Scan(ctx, rowPrefix, "", 1000)
		if total != 100 || len(rows) != 100 {
			t.Errorf("%d rows were deleted and %d are left", total, len(rows))
		}
	})
}

// TestCommitRate checks that all nodes together stay within the rate.
func TestCommitRate(t *testing.T) {
	tests := []struct {
		nodes int
		every time.Duration
	}{{0, 2 * time.Millisecond}, {1, 2 * time.Millisecond}, {7, 14 * time.Millisecond}, {640, 1280 * time.Millisecond}}
	for _, test := range tests {
		p := &CommitRate{PerSecond: 500}
		p.SetNodes(test.nodes)
		if got := p.MinInterval(); got != test.every {
			t.Errorf("%d nodes: every %s, want %s", test.nodes, got, test.every)
		}
	}
}

// TestGroupCommit checks that the intents and outcomes of many once-only requests share
// transactions. One request in ten has a key in use.
func TestGroupCommit(t *testing.T) {
	tests := []struct {
		name      string
		perSecond int
		every     time.Duration
		// most is the highest number of transactions for 100 requests.
		most int
	}{
		{"1 request a second", 1, 20 * time.Millisecond, 200},
		{"100 requests a second", 100, 20 * time.Millisecond, 100},
		{"1,000 requests a second", 1000, 20 * time.Millisecond, 60},
		{"1,000 requests a second, no pause between transactions", 1000, 0, 60},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const requests = 300
				l, table := newLedger(test.every)
				table.SetFaults(standtable.Faults{Delay: 3 * time.Millisecond})
				var callers sync.WaitGroup
				for i := range requests {
					callers.Go(func() { sendOnceOnly(t, l, fmt.Sprint("k", i-i%10/9)) })
					<-l.clock.After(time.Second / time.Duration(test.perSecond)).C()
				}
				callers.Wait()
				reads, commits := table.Counts()
				t.Logf("%d requests: %d transactions, %d reads", requests, commits, reads)
				if commits > test.most*requests/100 {
					t.Errorf("%d transactions for %d requests", commits, requests)
				}
			})
		})
	}
}

const serviceTime = 50 * time.Millisecond

func sendOnceOnly(t *testing.T, l *Ledger, key string) {
	ctx := context.Background()
	intent, err := l.RecordIntent(ctx, filing(key), "n", planned)
	if err != nil {
		t.Errorf("%s: %v", key, err)
		return
	}
	if intent.State != qf.IntentFresh {
		return
	}
	<-l.clock.After(serviceTime).C()
	if err := l.RecordOutcome(ctx, filing(key), intent, qf.OutcomeAnswered, &qf.ServiceResponse{Attempt: "a"}); err != nil {
		t.Errorf("%s: %v", key, err)
	}
}
