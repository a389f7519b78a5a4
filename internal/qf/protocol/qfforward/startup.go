package qfforward

import (
	"time"

	"quetzalfront/internal/qf"
)

// Startup describes a node's first moments, in which it doesn't know yet what it needs to
// answer. Requests are held then, because callers that were refused would come back later
// than the node knows.
type Startup struct {
	// Ready is closed once the node knows the configuration and the endpoints.
	Ready <-chan struct{}
	// Until bounds how long requests are held.
	Until time.Time
}

func (s *Startup) isKnown() bool {
	select {
	case <-s.Ready:
		return true
	default:
		return false
	}
}

// askAgainAfter is the longest time between two looks at a quota of which a node that starts
// learns more.
const askAgainAfter = 50 * time.Millisecond

// maxHeldBody bounds the body of a request that is held: the configuration's bound isn't
// known yet.
const maxHeldBody = 1 << 20

// awaitStart holds a request that came before the node knows what to do with it. Its body is
// read first, because callers take a node that doesn't read for dead.
func (c *call) awaitStart() error {
	startup := &c.forwarder.ports.Startup
	left := startup.Until.Sub(c.arrivedAt)
	if left <= 0 || startup.isKnown() {
		return nil
	}
	if err := c.readBody(maxHeldBody); err != nil {
		return err
	}
	c.hold(left, startup.Ready)
	return nil
}

// hold waits until a channel is closed, some time is over or the caller has left.
func (c *call) hold(longest time.Duration, known <-chan struct{}) {
	if longest <= 0 {
		return
	}
	over := c.forwarder.ports.Clock.After(longest)
	defer over.Stop()
	select {
	case <-known:
	case <-over.C():
	case <-c.incoming.Context().Done():
	}
}

// admitAtStart takes the request from the organisation's quota. A node that has just started
// doesn't know yet what is left of it, and asks itself again before it refuses.
func (c *call) admitAtStart() qf.QuotaDecision {
	f := c.forwarder
	until := earlier(f.ports.Startup.Until, c.deadline)
	for {
		now := f.ports.Clock.Now()
		verdict := f.ports.Admission.TakeQuota(now, c.holder, c.units())
		if verdict.IsAdmitted || !now.Before(until) || c.incoming.Context().Err() != nil {
			return verdict
		}
		c.hold(min(verdict.RetryAfter, askAgainAfter), nil)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
