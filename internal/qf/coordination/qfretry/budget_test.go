package qfretry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func requestWith(timeLeft time.Duration) *qf.Request {
	return &qf.Request{Organisation: "o", Entry: "assistant", Deadline: start.Add(timeLeft)}
}

// newTrainedBudget returns a budget with complete attempts recorded: calls of 2 s at
// "register", and streams with 1 s to the first token and 10 ms between tokens at
// "assistant".
func newTrainedBudget() *Budget {
	b := NewBudget()
	b.RecordObservation(&qf.Observation{Entry: "register", Took: 2 * time.Second, Complete: true})
	b.RecordObservation(&qf.Observation{Entry: "register", Took: time.Millisecond})
	b.RecordObservation(&qf.Observation{
		Entry: "assistant", Tokens: 10, FirstToken: time.Second, BetweenToken: 10 * time.Millisecond, Complete: true,
	})
	return b
}

// TestRetryDecision checks the decision, its rule and the delay for each state of the
// budget and time left.
func TestRetryDecision(t *testing.T) {
	register := requestWith(3 * time.Second)
	register.Entry = "register"
	late := requestWith(1500 * time.Millisecond)
	late.Entry = "register"
	unknown := requestWith(time.Millisecond)
	unknown.Entry = "unknown"
	tests := []struct {
		name  string
		query qf.RetryQuery
		spent int
		rule  string
		delay time.Duration
	}{
		{"the first retry", qf.RetryQuery{Request: requestWith(time.Minute), Retry: 1, Draw: 0.5}, 0, "RetryAllowed", 0},
		{"the second", qf.RetryQuery{Request: requestWith(time.Minute), Retry: 2, Draw: 0.5}, 0, "RetryAllowed", 25 * time.Millisecond},
		{"the third", qf.RetryQuery{Request: requestWith(time.Minute), Retry: 3, Draw: 0.5}, 0, "RetryAllowed", 50 * time.Millisecond},
		{"the thirtieth", qf.RetryQuery{Request: requestWith(time.Minute), Retry: 30, Draw: 0.5}, 0, "RetryAllowed", 500 * time.Millisecond},
		{"a lost connection", qf.RetryQuery{Request: requestWith(time.Minute), Retry: 3, Draw: 0.5, AtOnce: true}, 0, "RetryAllowed", 0},
		{"the reserve's last", qf.RetryQuery{Request: requestWith(time.Minute), Retry: 1}, 9, "RetryAllowed", 0},
		{"the reserve spent", qf.RetryQuery{Request: requestWith(time.Minute), Retry: 1}, 10, "RetryBudgetSpent", 0},
		{"time for a call", qf.RetryQuery{Request: register, Retry: 1}, 0, "RetryAllowed", 0},
		{"no time for a call", qf.RetryQuery{Request: late, Retry: 1}, 0, "NoTimeToFinish", 0},
		{"time for the rest of a stream", qf.RetryQuery{Request: requestWith(2100 * time.Millisecond), Retry: 1, RemainingTokens: 100}, 0, "RetryAllowed", 0},
		{"no time for the rest of a stream", qf.RetryQuery{Request: requestWith(1900 * time.Millisecond), Retry: 1, RemainingTokens: 100}, 0, "NoTimeToFinish", 0},
		{"time, but not after the delay", qf.RetryQuery{Request: requestWith(2100 * time.Millisecond), Retry: 5, Draw: 0.5, RemainingTokens: 100}, 0, "NoTimeToFinish", 200 * time.Millisecond},
		{"no estimate yet", qf.RetryQuery{Request: unknown, Retry: 1}, 0, "RetryAllowed", 0},
		{"past the deadline", qf.RetryQuery{Request: requestWith(0), Retry: 1}, 0, "NoTimeToFinish", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTrainedBudget()
			for range test.spent {
				b.Retry(qf.RetryQuery{Now: start, Request: requestWith(time.Minute), Retry: 1})
			}
			test.query.Now = start
			decision := b.Retry(test.query)
			if decision.Reason.Rule != test.rule || decision.Delay != test.delay || decision.Allowed != (test.rule == "RetryAllowed") {
				t.Errorf("got %+v, want %s after %s", decision, test.rule, test.delay)
			}
		})
	}
}

// TestBudgetsAreSeparate checks that one organisation's failures don't use up the
// retries of another.
func TestBudgetsAreSeparate(t *testing.T) {
	b := NewBudget()
	for range 100 {
		b.Retry(qf.RetryQuery{Now: start, Request: requestWith(time.Minute), Retry: 1})
	}
	other := requestWith(time.Minute)
	other.Organisation = "p"
	if decision := b.Retry(qf.RetryQuery{Now: start, Request: other, Retry: 1}); !decision.Allowed {
		t.Errorf("the other organisation got %+v", decision)
	}
}

// TestBudgetsAreBounded checks that the number of budgets is bounded.
func TestBudgetsAreBounded(t *testing.T) {
	b := NewBudget()
	for i := range 2 * maxBuckets {
		r := requestWith(time.Minute)
		r.Organisation = qf.Organisation(fmt.Sprint(i))
		b.CountRequest(start, r)
	}
	if n := b.buckets.Len(); n != maxBuckets {
		t.Errorf("%d budgets are kept, want %d", n, maxBuckets)
	}
}

// TestLostEndpointStreamsContinue checks that after a minute of traffic all streams
// of one lost endpoint in nine can be retried: 100 requests a second of 10 s each.
func TestLostEndpointStreamsContinue(t *testing.T) {
	b := NewBudget()
	const perSecond, lost = 100, 100 * 10 / 9
	now := start
	for range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		b.CountRequest(now, requestWith(time.Hour))
	}
	for i := range lost {
		if !b.Retry(qf.RetryQuery{Now: now, Request: requestWith(time.Hour), Retry: 1}).Allowed {
			t.Fatalf("only %d of %d streams were retried", i, lost)
		}
	}
}

const attemptsPerRequestBound = 1.2

// attemptsPerRequest simulates requests to endpoints that fail a share of the attempts
// and returns the mean number of attempts per request.
func attemptsPerRequest(failing float64, requests int, allow func(b *Budget, now time.Time, r *qf.Request, retry int) bool) float64 {
	const perSecond, maxAttempts = 100, 4
	random := rand.New(rand.NewPCG(9, 9))
	b := NewBudget()
	now := start
	attempts := 0
	for range requests {
		now = now.Add(time.Second / perSecond)
		r := requestWith(time.Hour)
		b.CountRequest(now, r)
		attempts++
		for retry := 1; retry < maxAttempts && random.Float64() < failing && allow(b, now, r, retry); retry++ {
			attempts++
		}
	}
	return float64(attempts) / float64(requests)
}

// TestAttemptsPerRequest guards against retries that multiply the load when endpoints
// fail.
func TestAttemptsPerRequest(t *testing.T) {
	const requests = 6000
	budgeted := func(b *Budget, now time.Time, r *qf.Request, retry int) bool {
		return b.Retry(qf.RetryQuery{Now: now, Request: r, Retry: retry}).Allowed
	}
	unbounded := func(*Budget, time.Time, *qf.Request, int) bool { return true }
	for failing := 0; failing <= 100; failing += 10 {
		share := float64(failing) / 100
		got := attemptsPerRequest(share, requests, budgeted)
		t.Logf("%3d %% failing: %.3f attempts per request, %.3f without a budget", failing, got, attemptsPerRequest(share, requests, unbounded))
		if got >= attemptsPerRequestBound {
			t.Errorf("%d %% failing: %.3f attempts per request", failing, got)
		}
	}
	if attemptsPerRequest(1, requests, unbounded) < attemptsPerRequestBound {
		t.Error("without a budget the bound holds too: the check can't fail")
	}
}
