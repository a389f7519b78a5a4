package qfforward

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// TestDecide guards against a retry of a request that may have run and must run at most
// once, and against a final answer that claims more than is proven.
func TestDecide(t *testing.T) {
	repeatable := &qf.CallerRoute{Kind: qf.RouteRepeatable, Attempts: 2}
	onceOnly := &qf.CallerRoute{Kind: qf.RouteOnceOnly, Attempts: 2}
	resumable := &qf.CallerRoute{Kind: qf.RouteStream, Attempts: 2, Resumable: true}
	stream := &qf.CallerRoute{Kind: qf.RouteStream, Attempts: 2}
	const second = time.Second
	tests := []struct {
		name string
		p    progress
		want nextStep
	}{
		{"answered", progress{route: onceOnly, runs: 1, end: qf.AttemptAnswered, timeLeft: second}, nextDone},
		{"once only, broken", progress{route: onceOnly, runs: 1, end: qf.AttemptBroken, timeLeft: second}, nextFail},
		{"once only, failed", progress{route: onceOnly, runs: 1, end: qf.AttemptFailed, timeLeft: second}, nextDeliverFailure},
		{"once only, not run", progress{route: onceOnly, notRun: 1, end: qf.AttemptNotRun, timeLeft: second}, nextRetry},
		{"once only, rejected by the last allowed endpoint", progress{route: onceOnly, notRun: maxNotRunAttempts, end: qf.AttemptNotRun, timeLeft: second}, nextRefuse},
		{"once only, no endpoint listened", progress{route: onceOnly, unreached: maxNotRunAttempts + 1, end: qf.AttemptNotRun, timeLeft: second}, nextRetry},
		{"once only, no endpoint listened many times", progress{route: onceOnly, unreached: maxUnreachedAttempts, end: qf.AttemptNotRun, timeLeft: second}, nextRefuse},
		{"once only, no time", progress{route: onceOnly, notRun: 1, end: qf.AttemptNotRun}, nextRefuse},
		{"stream, broken before its first event", progress{route: stream, runs: 1, end: qf.AttemptBroken, timeLeft: second}, nextFail},
		{"stream, broken midway", progress{route: stream, runs: 1, delivered: true, end: qf.AttemptBroken, timeLeft: second}, nextAbort},
		{"repeatable, broken", progress{route: repeatable, runs: 1, end: qf.AttemptBroken, timeLeft: second}, nextRetry},
		{"repeatable, failed", progress{route: repeatable, runs: 1, end: qf.AttemptFailed, timeLeft: second}, nextRetry},
		{"repeatable, attempts used up", progress{route: repeatable, runs: 2, end: qf.AttemptFailed, timeLeft: second}, nextDeliverFailure},
		{"repeatable, attempts used up, broken", progress{route: repeatable, runs: 2, end: qf.AttemptBroken, timeLeft: second}, nextFail},
		{"repeatable, rejected after a run", progress{route: repeatable, runs: 2, notRun: 1, end: qf.AttemptNotRun, timeLeft: second}, nextFail},
		{"resumable, broken midway", progress{route: resumable, runs: 1, delivered: true, end: qf.AttemptBroken, timeLeft: second}, nextResume},
		{"resumable, attempts used up midway", progress{route: resumable, runs: 2, delivered: true, end: qf.AttemptBroken, timeLeft: second}, nextAbort},
		{"resumable, failed midway", progress{route: resumable, runs: 1, delivered: true, end: qf.AttemptFailed, timeLeft: second}, nextResume},
		{"resumable, attempts used up, failed midway", progress{route: resumable, runs: 2, delivered: true, end: qf.AttemptFailed, timeLeft: second}, nextAbort},
		{"stream, failed midway", progress{route: stream, runs: 2, delivered: true, end: qf.AttemptFailed, timeLeft: second}, nextAbort},
		{"the caller disconnected", progress{route: repeatable, runs: 1, end: qf.AttemptCancelled, timeLeft: second}, nextFail},
		{"out of time before any run", progress{route: onceOnly, end: qf.AttemptCancelled}, nextRefuse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := decide(&tt.p); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}
