// Package qftimer implements the timer service: Wall follows the machine's
// clock and Virtual is advanced by its owner.
package qftimer

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// Wall is a timer that follows the machine's clock. Inside testing/synctest that
// clock is virtual.
type Wall struct{}

// NewWall returns a timer that follows the machine's clock.
func NewWall() *Wall { return &Wall{} }

// Now returns the machine's time.
func (*Wall) Now() time.Time { return time.Now() }

// Every implements qf.Clock.
func (*Wall) Every(interval time.Duration) qf.Subscription { return subscribe(interval, interval) }

// After implements qf.Clock.
func (*Wall) After(delay time.Duration) qf.Subscription { return subscribe(delay, 0) }

// wallSubscription delivers times over an ordinary channel. The channels of
// time.Timer would do, but the runtime of Go 1.26 crashes now and then in a
// select on them under the race detector inside testing/synctest.
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

// nextDue returns the first multiple of the interval after now, so that a process
// that was paused doesn't make up for the ticks that it missed.
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
