// Package qftimer implements the timer service: Wall follows the machine's
// clock and Virtual is advanced by its owner.
package qftimer

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// Wall is a timer that follows the machine's clock.
type Wall struct{}

// NewWall returns a timer that follows the machine's clock.
func NewWall() *Wall { return &Wall{} }

// Now returns the machine's time.
func (*Wall) Now() time.Time { return time.Now() }

// Every implements qf.Timer.
func (*Wall) Every(interval time.Duration) qf.Subscription {
	t := time.NewTicker(interval)
	return &wallSubscription{c: t.C, stop: t.Stop}
}

// After implements qf.Timer.
func (*Wall) After(delay time.Duration) qf.Subscription {
	t := time.NewTimer(delay)
	return &wallSubscription{c: t.C, stop: func() { t.Stop() }}
}

type wallSubscription struct {
	c    <-chan time.Time
	stop func()
	once sync.Once
}

func (s *wallSubscription) C() <-chan time.Time { return s.c }

func (s *wallSubscription) Stop() { s.once.Do(s.stop) }
