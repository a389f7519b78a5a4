package qftrial

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standtable"
)

func newLimiter() (*AttemptLimiter, *standtable.Table) {
	clock := qftimer.NewWall()
	table := standtable.New(clock)
	return New(clock, table, Options{MaxAttempts: 2, ExpireAfter: 10 * time.Minute}), table
}

// TestClaimAttempt checks whether another attempt is granted after earlier claims, a
// reset, the expiry or a fault of the table.
func TestClaimAttempt(t *testing.T) {
	tests := []struct {
		name   string
		before int
		reset  bool
		wait   time.Duration
		faults standtable.Faults
		want   qf.Code
	}{
		{name: "the first"},
		{name: "the last", before: 1},
		{name: "one too many", before: 2, want: qf.CodeSuspect},
		{name: "still one too many", before: 2, wait: 9 * time.Minute, want: qf.CodeSuspect},
		{name: "after the expiry", before: 2, wait: 11 * time.Minute},
		{name: "after an answer", before: 2, reset: true},
		{name: "the table down", faults: standtable.Faults{Down: true}, want: qf.CodeUnavailable},
		{name: "a lost answer costs an attempt", faults: standtable.Faults{LoseAnswers: 1}},
		{name: "a lost answer costs the last attempt", before: 1, faults: standtable.Faults{LoseAnswers: 1}, want: qf.CodeSuspect},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter, table := newLimiter()
				for range test.before {
					if err := limiter.ClaimAttempt(t.Context(), 1); err != nil {
						t.Fatal(err)
					}
				}
				if test.reset {
					if err := limiter.ResetAttempts(t.Context(), 1); err != nil {
						t.Fatal(err)
					}
				}
				<-limiter.clock.After(test.wait + time.Second).C()
				table.SetFaults(test.faults)
				if err := limiter.ClaimAttempt(t.Context(), 1); qf.CodeOf(err) != test.want {
					t.Errorf("got %v, want %q", err, test.want)
				}
				table.SetFaults(standtable.Faults{})
				if err := limiter.ClaimAttempt(t.Context(), 2); err != nil {
					t.Errorf("another request: %v", err)
				}
			})
		})
	}
}

// TestClaimAttemptConcurrently checks that nodes which claim at the same time get no
// more attempts than the limit.
func TestClaimAttemptConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, table := newLimiter()
		table.SetFaults(standtable.Faults{Delay: time.Millisecond})
		var mu sync.Mutex
		granted := 0
		var nodes sync.WaitGroup
		for range 20 {
			nodes.Go(func() {
				if limiter.ClaimAttempt(t.Context(), 1) == nil {
					mu.Lock()
					defer mu.Unlock()
					granted++
				}
			})
		}
		nodes.Wait()
		if granted != 2 {
			t.Errorf("%d attempts were granted", granted)
		}
	})
}
