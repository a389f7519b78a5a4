package qftimer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

// lateClock is the clock of a node that comes late to each time: once a time has passed, it is held up for a while.
type lateClock struct {
	qf.Clock
	lateness time.Duration
}

// After implements qf.Clock.
func (c lateClock) After(delay time.Duration) qf.Subscription {
	return c.Clock.After(delay + c.lateness)
}

// TestLateAlarmWaitsForWhatHasCome fails if a node that was held up while an answer began takes it for silent before it gets to read what has come,
// or waits for a silent one for longer than twice the time beside what it is held up.
func TestLateAlarmWaitsForWhatHasCome(t *testing.T) {
	const (
		timeout  = 300 * time.Millisecond
		lateness = 48 * time.Millisecond
	)
	tests := []struct {
		name     string
		lateness time.Duration
		// stopAfter is when the node reads the first byte, after the end of the hold-up.
		stopAfter time.Duration
		wantOver  bool
	}{
		{"read at once", lateness, time.Microsecond, false},
		{"read after what else was held up", lateness, lateness / 2, false},
		{"silent", lateness, time.Minute, true},
		{"silent, not held up", 0, time.Millisecond, true},
		{"silent, held up for long", time.Minute, time.Minute + timeout + time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := qftimer.NewWall()
				isOver := false
				alarm := qftimer.NewAlarm(lateClock{clock, tt.lateness}, timeout, func() { isOver = true })
				<-clock.After(timeout + tt.lateness + tt.stopAfter).C()
				synctest.Wait()
				if got := !alarm.Stop(); got != tt.wantOver || isOver != got {
					t.Errorf("over: %t, called: %t, want %t", got, isOver, tt.wantOver)
				}
			})
		})
	}
}
