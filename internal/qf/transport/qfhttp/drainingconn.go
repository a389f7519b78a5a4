package qfhttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// drainingConn is a connection that ends only where no byte of a request has come: the goroutine that reads it decides, and nothing is
// closed under it.
type drainingConn struct {
	net.Conn

	mu sync.Mutex
	// isWaiting is true while nothing of the next request was read.
	isWaiting bool
	// isKept is true once a request was answered, isAwaited once net/http has set the deadline until which it waits for the next one.
	isKept, isAwaited bool
	// isEnding is true from when the connection ends if it has nothing to read. It implies isWaiting.
	isEnding bool
	// awaitedUntil is until when a request may come: the first one, or the next one after an answer.
	awaitedUntil time.Time
	// deadline is the read deadline that net/http has set. It isn't in force while isEnding is true.
	deadline time.Time
}

// interrupted is a read deadline that has passed on any clock.
var interrupted = time.Unix(1, 0)

// Read implements net.Conn. A read that would end a connection without a request, at a drain or a timeout, first takes what has come.
func (c *drainingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readLate(b, err)
	}
	if n > 0 {
		c.beginRequest()
	}
	return n, err
}

// readLate reads what has come of a request for which the wait is over. It returns io.EOF at a drain, or else the error that ended the wait, if nothing has.
func (c *drainingConn) readLate(b []byte, ended error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWaiting {
		return 0, ended
	}
	if !isReadable(c.Conn) {
		if c.isEnding {
			return 0, io.EOF
		}
		return 0, ended
	}
	c.isWaiting, c.isEnding = false, false
	_ = c.Conn.SetReadDeadline(time.Time{}) // The bytes are there, so that the read doesn't wait.
	n, err := c.Conn.Read(b)
	_ = c.Conn.SetReadDeadline(c.deadline) // A connection that fails here fails at its next read.
	return n, err
}

// expectRequest marks the connection as waiting for its next request, which may come until a time.
func (c *drainingConn) expectRequest(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWaiting, c.isKept, c.isAwaited, c.awaitedUntil = true, true, false, until
}

// awaitsUntil returns until when a request may come. It returns false if a part of one was read.
func (c *drainingConn) awaitsUntil() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaitedUntil, c.isWaiting
}

// beginRequest marks a part of a request as read.
func (c *drainingConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginRequestLocked()
}

// beginRequestLocked is beginRequest for a caller that holds c.mu.
func (c *drainingConn) beginRequestLocked() {
	c.isWaiting = false
	if c.isEnding {
		c.isEnding = false
		_ = c.Conn.SetReadDeadline(c.deadline) // A connection that fails here fails at its next read.
	}
}

// endUnlessRequested ends the connection if it waits for a request and has nothing to read.
func (c *drainingConn) endUnlessRequested() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWaiting && !c.isEnding {
		c.isEnding = true
		_ = c.Conn.SetReadDeadline(interrupted) // As above.
	}
}

// SetReadDeadline implements net.Conn. net/http sets a second deadline once it has the beginning of the next request, which it may have read
// together with the one before, so that no read tells.
func (c *drainingConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.isWaiting && c.isKept && c.isAwaited {
		c.beginRequestLocked()
	}
	c.isAwaited = true
	if c.isEnding {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// extendReadDeadline sets a read deadline that says nothing of requests.
func (c *drainingConn) extendReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.isEnding {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *drainingConn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// IsReadable reports whether bytes of the client wait to be read; false also stands for not known.
func (c *drainingConn) IsReadable() bool { return isReadable(c.Conn) }

// HasEnded reports whether the client has closed the connection; false also stands for not known.
func (c *drainingConn) HasEnded() bool { return hasEnded(c.Conn) }

// CloseWrite closes the direction to the client, if the connection can.
func (c *drainingConn) CloseWrite() error { return closeWrite(c.Conn) }
