package qftimer

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// Virtual is a clock whose time moves only when Advance is called.
type Virtual struct {
	mu  sync.Mutex
	now time.Time
	// subscriptions holds those that are neither stopped nor have fired for the last time.
	subscriptions map[*virtualSubscription]struct{}
}

// NewVirtual returns a virtual clock that is set to the start time.
func NewVirtual(start time.Time) *Virtual {
	return &Virtual{now: start, subscriptions: map[*virtualSubscription]struct{}{}}
}

// Now returns the virtual time.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Every implements qf.Clock.
func (v *Virtual) Every(interval time.Duration) qf.Subscription {
	return v.subscribe(interval, interval)
}

// After implements qf.Clock.
func (v *Virtual) After(delay time.Duration) qf.Subscription {
	return v.subscribe(delay, 0)
}

func (v *Virtual) subscribe(delay, interval time.Duration) qf.Subscription {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := &virtualSubscription{
		clock:    v,
		c:        make(chan time.Time, 1),
		due:      v.now.Add(max(delay, 0)),
		interval: interval,
	}
	v.subscriptions[s] = struct{}{}
	if delay <= 0 {
		s.deliver()
	}
	return s
}

// Advance moves the time forward and fires the subscriptions that come due, in
// the order of their due times.
func (v *Virtual) Advance(step time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	end := v.now.Add(step)
	for {
		next := v.earliest(end)
		if next == nil {
			break
		}
		v.now = next.due
		next.deliver()
	}
	v.now = end
}

// earliest returns the subscription that is due first, up to the end, or nil.
func (v *Virtual) earliest(end time.Time) *virtualSubscription {
	var next *virtualSubscription
	for s := range v.subscriptions {
		if s.due.After(end) {
			continue
		}
		if next == nil || s.due.Before(next.due) {
			next = s
		}
	}
	return next
}

type virtualSubscription struct {
	clock *Virtual
	c     chan time.Time
	due   time.Time
	// interval is zero for a subscription that fires once.
	interval time.Duration
}

// deliver sends the due time. It is called with the clock's lock held.
func (s *virtualSubscription) deliver() {
	select {
	case s.c <- s.due:
	default: // A slow receiver misses ticks.
	}
	if s.interval <= 0 {
		delete(s.clock.subscriptions, s)
		return
	}
	s.due = s.due.Add(s.interval)
}

func (s *virtualSubscription) C() <-chan time.Time { return s.c }

func (s *virtualSubscription) Stop() {
	s.clock.mu.Lock()
	defer s.clock.mu.Unlock()
	delete(s.clock.subscriptions, s)
}
