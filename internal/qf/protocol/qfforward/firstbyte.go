package qfforward

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// firstByteWatch cancels an attempt whose answer doesn't begin in time. Either the answer begins or the attempt is cancelled, whatever the goroutine
// of the timer does later: a caller that has a part of an answer gets the rest of it. The zero watch cancels nothing.
type firstByteWatch struct {
	mu sync.Mutex
	// isStopped is set by stop, isExpired once the attempt is cancelled. Only one of them is ever set.
	isStopped, isExpired bool
	// ended is closed by stop; it is nil for a watch that cancels nothing.
	ended chan struct{}
}

// stop ends the watch. It returns false if the attempt was cancelled before; it may be called more than once.
func (w *firstByteWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isExpired && !w.isStopped {
		w.isStopped = true
		if w.ended != nil {
			close(w.ended)
		}
	}
	return !w.isExpired
}

// expire reports whether the attempt is to be cancelled: its time has passed, and the watch wasn't stopped.
func (w *firstByteWatch) expire() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isExpired = !w.isStopped
	return w.isExpired
}

// cancelAfter cancels an attempt after a time, unless the returned watch is stopped before. A node that comes late to the end of that time, since it
// was busy or frozen, has come late to the answer too: it waits as long again before it holds the silence against the endpoint.
func (c *call) cancelAfter(timeout time.Duration, cancel context.CancelCauseFunc) *firstByteWatch {
	clock := c.forwarder.ports.Clock
	due := clock.Now().Add(timeout)
	watch := &firstByteWatch{ended: make(chan struct{})}
	go func() {
		if !watch.sleep(clock, timeout) {
			return
		}
		lateness := min(clock.Now().Sub(due), timeout)
		if lateness > 0 && !watch.sleep(clock, lateness) {
			return
		}
		if watch.expire() {
			cancel(errFirstByteTimeout)
		}
	}()
	return watch
}

// sleep waits for a time. It returns false if the watch was stopped first.
func (w *firstByteWatch) sleep(clock qf.Clock, delay time.Duration) bool {
	subscription := clock.After(delay)
	defer subscription.Stop()
	select {
	case <-subscription.C():
		return true
	case <-w.ended:
		return false
	}
}
