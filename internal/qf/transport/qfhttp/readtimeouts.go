package qfhttp

import (
	"errors"
	"os"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// ReadTimeouts are how long a client may take for a request's head, from its first byte on, and how long its connection may be idle
// before that byte.
type ReadTimeouts struct{ Head, Idle time.Duration }

// largest returns the larger one of each timeout.
func (t ReadTimeouts) largest(other ReadTimeouts) ReadTimeouts {
	return ReadTimeouts{max(t.Head, other.Head), max(t.Idle, other.Idle)}
}

// ReadTimeoutHistory holds the timeouts of the configurations on which clients may still rely.
type ReadTimeoutHistory struct {
	// spread is the time within which a change reaches all nodes and clients.
	spread time.Duration

	mu sync.Mutex
	// initial is in force while there are no versions.
	initial ReadTimeouts
	// versions are ordered by time; the last one is in force.
	versions []timeoutVersion
}

// timeoutVersion holds the timeouts of one configuration.
type timeoutVersion struct {
	timeouts ReadTimeouts
	revision qf.Revision
	// replacedAt is when the next version came into force. It is zero for the last one.
	replacedAt time.Time
}

// NewReadTimeoutHistory returns a history without a configuration. spread is the time within which a change reaches all.
func NewReadTimeoutHistory(initial ReadTimeouts, spread time.Duration) *ReadTimeoutHistory {
	return &ReadTimeoutHistory{initial: initial, spread: spread}
}

// Apply records the timeouts of a configuration that comes into force. Older revisions than the last one have no effect.
func (h *ReadTimeoutHistory) Apply(now time.Time, revision qf.Revision, timeouts ReadTimeouts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.versions) - 1
	if last >= 0 && revision <= h.versions[last].revision {
		return
	}
	if last >= 0 {
		h.versions[last].replacedAt = now
	}
	h.versions = append(h.versions, timeoutVersion{timeouts: timeouts, revision: revision})
	h.removeOld(now)
}

// removeOld removes the versions on which no wait in progress relies. The caller must hold h.mu.
func (h *ReadTimeoutHistory) removeOld(now time.Time) {
	longest := time.Duration(0)
	for _, v := range h.versions {
		longest = max(longest, v.timeouts.Head, v.timeouts.Idle)
	}
	for len(h.versions) > 1 && h.versions[0].replacedAt.Add(longest+2*h.spread).Before(now) {
		h.versions = h.versions[1:]
	}
}

// Since returns the timeouts of a wait that began at a time: the largest of the configurations that may have been in force then or
// later, and the time that a change takes, since clients may follow a new configuration sooner than this node.
func (h *ReadTimeoutHistory) Since(began time.Time) ReadTimeouts {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) == 0 {
		return h.initial
	}
	var t ReadTimeouts
	for _, v := range h.versions {
		wasInForce := v.replacedAt.IsZero() || !v.replacedAt.Before(began)
		if wasInForce || v.replacedAt.Add(h.spread).After(began) {
			t = t.largest(v.timeouts)
		}
	}
	return ReadTimeouts{t.Head + h.spread, t.Idle + h.spread}
}

// lateReadTime bounds the reading of bytes that have come to a connection that is read only after its timeout.
const lateReadTime = 100 * time.Millisecond

// SetReadDeadline implements net.Conn. While a head is expected or arrives, the port's timeouts are in force in place of those of
// net/http, which can't change.
func (c *budgetedConn) SetReadDeadline(deadline time.Time) error {
	if c.port.limits.ReadTimeouts != nil && connPhase(c.phase.Load()) == phaseHead {
		deadline = c.headDeadline()
	}
	return c.setReadDeadline(deadline)
}

// headDeadline returns until when the head in progress may be read, or the next one awaited. A client that has sent nothing yet may be idle
// as long as one that was answered.
func (c *budgetedConn) headDeadline() time.Time {
	timeouts := c.port.limits.ReadTimeouts(c.waitBeganAt)
	if c.head.bytes > 0 {
		return c.waitBeganAt.Add(timeouts.Head)
	}
	return c.waitBeganAt.Add(max(timeouts.Head, timeouts.Idle))
}

// readHead reads a part of a head. The timeouts may have been raised since the wait began.
func (c *budgetedConn) readHead(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n <= 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.port.limits.ReadTimeouts != nil && c.extendDeadline() {
		n, err = c.Conn.Read(b)
	}
	return n, err
}

// extendDeadline reports whether a read whose deadline has passed may go on.
func (c *budgetedConn) extendDeadline() bool {
	now, deadline := c.port.budget.clock.Now(), c.headDeadline()
	if !now.Before(deadline) {
		if !isReadable(c.Conn) {
			return false
		}
		deadline = now.Add(lateReadTime) // The client may have sent it in time.
	}
	return c.extendReadDeadline(deadline) == nil
}

// deadlineExtender is implemented by connections that draw conclusions from the read deadlines of net/http, which others don't allow.
type deadlineExtender interface{ extendReadDeadline(time.Time) error }

// extendReadDeadline sets a read deadline that net/http hasn't asked for, unless the connection was interrupted.
func (c *budgetedConn) extendReadDeadline(deadline time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.interruptedAt.IsZero() {
		return os.ErrDeadlineExceeded
	}
	if extender, ok := c.Conn.(deadlineExtender); ok {
		return extender.extendReadDeadline(deadline)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// beginWait begins the wait for a head, or for its rest once its first bytes were read.
func (c *budgetedConn) beginWait() { c.waitBeganAt = c.port.budget.clock.Now() }

// endWait ends the wait for a head.
func (c *budgetedConn) endWait() {
	if c.port.limits.ReadTimeouts != nil {
		_ = c.setReadDeadline(time.Time{}) // A connection that fails here fails at its next read.
	}
}
