package qfforward

import (
	"time"

	"quetzalfront/internal/qf"
)

// Startup describes the time in which a starting node has not yet loaded the configuration
// and the endpoints. Requests are held during that time, because callers that were refused
// would retry later than the node is ready.
type Startup struct {
	// Ready is closed once the configuration and the endpoints are loaded.
	Ready <-chan struct{}
	// Until bounds how long requests are held.
	Until time.Time
}

func (s *Startup) isReady() bool {
	select {
	case <-s.Ready:
		return true
	default:
		return false
	}
}

// quotaRecheckInterval is the longest time between two checks of a quota while a starting
// node receives the other nodes' reports of its use.
const quotaRecheckInterval = 50 * time.Millisecond

// maxHeldBodyBytes bounds the body of a held request, because the configuration's bound
// isn't loaded yet.
const maxHeldBodyBytes = 1 << 20

// awaitReady holds a request that arrived before the node was ready. The body is read
// first, because callers treat a node that doesn't read it as dead.
func (c *call) awaitReady() error {
	startup := &c.forwarder.ports.Startup
	left := startup.Until.Sub(c.arrivedAt)
	if left <= 0 || startup.isReady() {
		return nil
	}
	err := c.readBody(maxHeldBodyBytes)
	if qf.CodeOf(err) == qf.CodeTooLarge {
		return refusal(qf.CodeUnavailable, "", "the node has no configuration yet, and the body is too large to wait for it", notReadyRetryAfter)
	}
	if err != nil {
		return err
	}
	c.wait(left, startup.Ready)
	return nil
}

// wait waits until the channel is closed, the time has passed or the caller has
// disconnected.
func (c *call) wait(longest time.Duration, ready <-chan struct{}) {
	if longest <= 0 {
		return
	}
	timeout := c.forwarder.ports.Clock.After(longest)
	defer timeout.Stop()
	select {
	case <-ready:
	case <-timeout.C():
	case <-c.incoming.Context().Done():
	}
}

// takeQuota takes the request's units from the organisation's quota. A node that has just
// started hasn't received the other nodes' use yet, so it checks again until the end of
// its startup before it refuses.
func (c *call) takeQuota() qf.QuotaDecision {
	f := c.forwarder
	until := earlier(f.ports.Startup.Until, c.deadline)
	for {
		now := f.ports.Clock.Now()
		decision := f.ports.Admission.TakeQuota(now, c.settings, c.units())
		if decision.IsAdmitted || !now.Before(until) || c.incoming.Context().Err() != nil {
			return decision
		}
		c.wait(min(decision.RetryAfter, quotaRecheckInterval), nil)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
