package qftimer

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// Alarm calls a function once a time is over, unless it is stopped before. Either Stop wins or the function is called, whatever the goroutine of the
// timer does later. The zero Alarm calls nothing. It is safe for concurrent use.
type Alarm struct {
	mu sync.Mutex
	// isStopped is set by Stop, isOver before the function is called. Only one of them is ever set.
	isStopped, isOver bool
	// stopped is closed by Stop; it is nil for the zero Alarm.
	stopped chan struct{}
}

// NewAlarm returns an alarm that calls expire, in a goroutine of its own, once the time is over. A process that comes late to that, since it was busy
// or frozen, has come late to what would have stopped the alarm too: it waits as long again, at most for the time itself.
func NewAlarm(clock qf.Clock, timeout time.Duration, expire func()) *Alarm {
	due := clock.Now().Add(timeout)
	a := &Alarm{stopped: make(chan struct{})}
	go func() {
		if !a.sleep(clock, timeout) {
			return
		}
		lateness := min(clock.Now().Sub(due), timeout)
		if lateness > 0 && !a.sleep(clock, lateness) {
			return
		}
		if a.end() {
			expire()
		}
	}()
	return a
}

// Stop ends the alarm. It returns false if the time was over before; it may be called more than once.
func (a *Alarm) Stop() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isOver && !a.isStopped {
		a.isStopped = true
		if a.stopped != nil {
			close(a.stopped)
		}
	}
	return !a.isOver
}

// end marks the time as over. It returns false if the alarm was stopped before.
func (a *Alarm) end() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isOver = !a.isStopped
	return a.isOver
}

// sleep waits for a time. It returns false if the alarm was stopped first.
func (a *Alarm) sleep(clock qf.Clock, delay time.Duration) bool {
	subscription := clock.After(delay)
	defer subscription.Stop()
	select {
	case <-subscription.C():
		return true
	case <-a.stopped:
		return false
	}
}
