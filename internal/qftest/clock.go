package qftest

import (
	"time"

	"quetzalfront/internal/qf"
)

// FiredClock is a clock whose times have all passed when they are asked for.
type FiredClock struct{ qf.Clock }

// After implements qf.Clock.
func (FiredClock) After(time.Duration) qf.Subscription {
	c := make(firedSubscription, 1)
	c <- time.Time{}
	return c
}

// firedSubscription is a subscription whose time has passed.
type firedSubscription chan time.Time

// C implements qf.Subscription.
func (s firedSubscription) C() <-chan time.Time { return s }

// Stop implements qf.Subscription.
func (firedSubscription) Stop() {}
