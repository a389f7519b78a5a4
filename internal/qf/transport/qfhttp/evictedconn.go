package qfhttp

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"quetzalfront/internal/qf"
)

// interrupt ends what a connection that was evicted waits for. The goroutine that serves it closes it, after it has refused a request that
// came whole: a connection that another goroutine closes loses its request without an answer.
func (c *budgetedConn) interrupt() {
	if !c.port.isHTTP() {
		_ = c.Conn.Close() // Its server finds it closed.
		return
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.interruptedAt = c.port.budget.clock.Now()
	_ = c.Conn.SetReadDeadline(interrupted) // A connection that fails here fails at its next read.
	_ = c.SetWriteDeadline(c.interruptedAt.Add(lingerTimeout))
}

// setReadDeadline sets a read deadline, unless the connection was interrupted.
func (c *budgetedConn) setReadDeadline(deadline time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.interruptedAt.IsZero() {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// readRest reads what has come of a head whose read was interrupted. If nothing has, it closes the connection, since net/http may answer a part of
// a head, and returns err.
func (c *budgetedConn) readRest(b []byte, err error) (int, error) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.interruptedAt.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	end := c.interruptedAt.Add(lingerTimeout)
	if !c.port.budget.clock.Now().Before(end) || !isReadable(c.Conn) {
		_ = c.Conn.Close() // The connection is abandoned either way.
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(end) // A connection that fails here fails at its next read.
	n, err := c.Conn.Read(b)
	_ = c.Conn.SetReadDeadline(interrupted) // As above.
	return n, err
}

// isEvictedByOther reports whether the connection was evicted to make room for another one.
func (c *budgetedConn) isEvictedByOther() bool {
	c.port.budget.mu.Lock()
	defer c.port.budget.mu.Unlock()
	return c.isEvicted && !c.isRefused && !c.isReleased
}

// mayGoOn reports whether a request may be read on so that it is refused in an answer, as on a connection that was evicted for another one. A large
// head for which there is no room is abandoned.
func (c *budgetedConn) mayGoOn(phase connPhase) bool {
	if !c.isEvictedByOther() {
		return false
	}
	b := c.port.budget
	b.mu.Lock()
	isAbandoned := phase == phaseHead && c.isLarge() && !b.hasRoom()
	b.mu.Unlock()
	if isAbandoned {
		_ = c.Conn.Close() // net/http may answer a part of a head.
	}
	return !isAbandoned
}

// refuseEvicted refuses a request that was read whole on a connection that was evicted before the request started.
func (c *budgetedConn) refuseEvicted(r *http.Request) {
	if !c.isEvictedByOther() {
		return
	}
	p := c.port
	id := qf.RequestID("")
	if p.limits.RequestID != nil {
		id = p.limits.RequestID(r)
	}
	p.budget.observe(LimitBreak{
		Action: ActionRequestRefused, Limit: c.evictedFor, Port: p.limits.Name, Address: c.address, Figure: p.budget.figure(p, c.evictedFor), Request: id,
	})
	c.sendRefusal()
}

// endBody ends the reading of a body on a connection that was evicted meanwhile.
func (b *budgetedBody) endBody(isWhole bool) error {
	if isWhole {
		b.connection.refuseEvicted(b.request)
	}
	_ = b.connection.Conn.Close() // The connection is abandoned either way.
	return net.ErrClosed
}
