// Package qftimer implements qf.Clock: Wall follows the system clock and Virtual
// is advanced by its owner.
package qftimer

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// Wall is a clock that follows the system clock. Inside testing/synctest that clock
// is virtual.
type Wall struct{}

// NewWall returns a clock that follows the system clock.
func NewWall() *Wall { return &Wall{} }

// Now returns the system time.
func (*Wall) Now() time.Time { return time.Now() }

// Every implements qf.Clock.
func (*Wall) Every(interval time.Duration) qf.Subscription { return subscribe(interval, interval) }

// After implements qf.Clock.
func (*Wall) After(delay time.Duration) qf.Subscription { return subscribe(delay, 0) }

// wallSubscription delivers times over an ordinary channel. The channel of a
// time.Timer isn't used, because the runtime of Go 1.26 sometimes crashes in a
// select on one under the race detector inside testing/synctest.
type wallSubscription struct {
	c chan time.Time
	// interval is zero for a subscription that fires once.
	interval time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Time
	stopped bool
}

func subscribe(delay, interval time.Duration) *wallSubscription {
	s := &wallSubscription{c: make(chan time.Time, 1), interval: interval, due: time.Now().Add(delay)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(delay, s.fire)
	return s
}

func (s *wallSubscription) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	now := time.Now()
	select {
	case s.c <- now:
	default: // A slow receiver misses ticks.
	}
	if s.interval > 0 {
		s.due = nextDue(s.due, now, s.interval)
		s.timer.Reset(s.due.Sub(now))
	}
}

// nextDue returns the first time after now that is a whole number of intervals after
// due, so that a process that was paused doesn't fire once for each missed tick.
func nextDue(due, now time.Time, interval time.Duration) time.Time {
	missed := now.Sub(due) / interval
	return due.Add((missed + 1) * interval)
}

func (s *wallSubscription) C() <-chan time.Time { return s.c }

func (s *wallSubscription) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
