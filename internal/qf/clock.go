package qf

import "time"

// Clock is the only source of time for decisions, so that a simulation can replace it.
type Clock interface {
	// Now returns the current time with a monotonic reading where there is one.
	Now() time.Time
	// Every delivers the time at each multiple of the interval after the call.
	// Ticks are dropped, not queued, for a slow receiver.
	Every(interval time.Duration) Subscription
	// After delivers the time once, after the delay.
	After(delay time.Duration) Subscription
}

// Subscription delivers the times of one call of Every or After.
type Subscription interface {
	// C returns the channel on which times arrive. It is never closed.
	C() <-chan time.Time
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
