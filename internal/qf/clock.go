package qf

import "time"

// Clock is the only source of time for decisions. Parts subscribe to it.
type Clock interface {
	// Now returns the current time with a monotonic reading where there is one.
	Now() time.Time
	// Every delivers the time at each multiple of the interval after the call.
	// A slow receiver misses ticks rather than queueing them.
	Every(interval time.Duration) Subscription
	// After delivers the time once, when the delay has passed.
	After(delay time.Duration) Subscription
}

// Subscription is one part's interest in the time.
type Subscription interface {
	// C returns the channel on which times arrive. It is never closed.
	C() <-chan time.Time
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
