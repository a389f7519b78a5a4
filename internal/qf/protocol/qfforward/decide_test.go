package qfforward

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

func TestDecide(t *testing.T) {
	repeatable := &qf.CallerRoute{Kind: qf.RouteRepeatable, Attempts: 2}
	onceOnly := &qf.CallerRoute{Kind: qf.RouteOnceOnly, Attempts: 2}
	resumable := &qf.CallerRoute{Kind: qf.RouteStream, Attempts: 2, Resumable: true}
	stream := &qf.CallerRoute{Kind: qf.RouteStream, Attempts: 2}
	const second = time.Second
	tests := []struct {
		name string
		p    progress
		want next
	}{
		{"answered", progress{route: onceOnly, runs: 1, end: qf.AttemptAnswered, timeLeft: second}, nextDone},
		{"once only, broken", progress{route: onceOnly, runs: 1, end: qf.AttemptBroken, timeLeft: second}, nextFail},
		{"once only, failed", progress{route: onceOnly, runs: 1, end: qf.AttemptFailed, timeLeft: second}, nextPass},
		{"once only, not run", progress{route: onceOnly, notRun: 1, end: qf.AttemptNotRun, timeLeft: second}, nextRepeat},
		{"once only, never run", progress{route: onceOnly, notRun: mostNotRun, end: qf.AttemptNotRun, timeLeft: second}, nextRefuse},
		{"once only, no time", progress{route: onceOnly, notRun: 1, end: qf.AttemptNotRun}, nextRefuse},
		{"stream, broken before its first event", progress{route: stream, runs: 1, end: qf.AttemptBroken, timeLeft: second}, nextFail},
		{"stream, broken midway", progress{route: stream, runs: 1, delivered: true, end: qf.AttemptBroken, timeLeft: second}, nextCut},
		{"repeatable, broken", progress{route: repeatable, runs: 1, end: qf.AttemptBroken, timeLeft: second}, nextRepeat},
		{"repeatable, failed", progress{route: repeatable, runs: 1, end: qf.AttemptFailed, timeLeft: second}, nextRepeat},
		{"repeatable, attempts spent", progress{route: repeatable, runs: 2, end: qf.AttemptFailed, timeLeft: second}, nextPass},
		{"repeatable, attempts spent, broken", progress{route: repeatable, runs: 2, end: qf.AttemptBroken, timeLeft: second}, nextFail},
		{"repeatable, turned away after a run", progress{route: repeatable, runs: 2, notRun: 1, end: qf.AttemptNotRun, timeLeft: second}, nextFail},
		{"resumable, broken midway", progress{route: resumable, runs: 1, delivered: true, end: qf.AttemptBroken, timeLeft: second}, nextResume},
		{"resumable, spent midway", progress{route: resumable, runs: 2, delivered: true, end: qf.AttemptBroken, timeLeft: second}, nextCut},
		{"the caller left", progress{route: repeatable, runs: 1, end: qf.AttemptCancelled, timeLeft: second}, nextFail},
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
