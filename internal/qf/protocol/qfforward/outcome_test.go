package qfforward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

// TestDeparture fails if the log says wrongly how far a request had come when its caller left, or calls a request that was served, or that a stopping
// node has aborted, one whose caller left.
func TestDeparture(t *testing.T) {
	clock := qftimer.NewWall()
	unsent := AttemptReport{Err: &qf.Error{Ran: qf.RanNo, Cause: qf.ErrCallerLeft}}
	sent := AttemptReport{Err: &qf.Error{Ran: qf.RanUnknown, Cause: context.Canceled}}
	failed := Outcome{Status: http.StatusBadGateway, Err: errors.New("cancelled")}
	with := func(first time.Duration, attempts ...AttemptReport) Outcome {
		o := failed
		o.First, o.Attempts = first, attempts
		return o
	}
	tests := []struct {
		name    string
		outcome Outcome
		stays   bool
		// aborted means that the node stops and the grace is over.
		aborted bool
		// isCut means that the node has closed the connection.
		isCut bool
		want  Departure
	}{
		{name: "before any attempt", outcome: failed, want: LeftUnsent},
		{name: "before the send", outcome: with(0, unsent), want: LeftUnsent},
		{name: "after the send", outcome: with(0, sent), want: LeftUnanswered},
		{name: "before a retry", outcome: with(0, sent, unsent), want: LeftUnanswered},
		{name: "after a failure", outcome: with(0, AttemptReport{Status: http.StatusInternalServerError}), want: LeftUnanswered},
		{name: "in the answer", outcome: with(time.Second, sent), want: LeftInAnswer},
		{name: "served", outcome: Outcome{Status: http.StatusOK}},
		{name: "failed, and the caller waits", outcome: failed, stays: true},
		{name: "aborted by the node", outcome: with(0, sent), aborted: true},
		{name: "cut by the node", outcome: with(0, sent), isCut: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			until := time.Time{}
			if tt.aborted {
				until = clock.Now()
			}
			f := New(Ports{Clock: clock, ServesUntil: func() time.Time { return until }, Callers: cutCaller(tt.isCut)})
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if !tt.stays {
				leave()
			}
			c := &call{forwarder: f, incoming: httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), outcome: tt.outcome}
			c.recordDeparture()
			if c.outcome.Departure != tt.want || (c.outcome.Status == StatusCallerLeft) != (tt.want != "") {
				t.Errorf("got %q with status %d, want %q", c.outcome.Departure, c.outcome.Status, tt.want)
			}
		})
	}
}

// cutCaller is the presence of a caller whose connection the node has closed, or not.
type cutCaller bool

// HasLeft implements qf.CallerPresence.
func (c cutCaller) HasLeft(context.Context) bool { return bool(c) }

// IsCut implements qf.CallerPresence.
func (c cutCaller) IsCut(context.Context) bool { return bool(c) }
