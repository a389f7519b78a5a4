package qfhttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// drainingListener accepts connections of a DrainingServer.
type drainingListener struct {
	net.Listener
	// onAccept is called before each wait for a connection.
	onAccept func()
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	l.onAccept()
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &drainingConn{Conn: connection, isWaiting: true}, nil
}

// IsReadable reports whether connections wait to be accepted; false also stands for not known.
func (l *drainingListener) IsReadable() bool { return isReadable(l.Listener) }

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
	// reusable is until when the client may use the connection again after an answer.
	reusable time.Time
	// deadline is the read deadline that net/http has set. It isn't in force while isEnding is true.
	deadline time.Time
}

// interrupted is a read deadline that has passed on any clock.
var interrupted = time.Unix(1, 0)

// Read implements net.Conn. The read that ends a connection first takes what has come.
func (c *drainingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isInterrupted() {
		if !isReadable(c.Conn) {
			return 0, io.EOF
		}
		c.beginRequest()
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.beginRequest()
	}
	return n, err
}

// expectRequest marks the connection as waiting for its next request, which may come until a time.
func (c *drainingConn) expectRequest(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWaiting, c.isKept, c.isAwaited, c.reusable = true, true, false, until
}

// reusableUntil returns until when the client may use the connection again after an answer.
func (c *drainingConn) reusableUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reusable
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

func (c *drainingConn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isEnding
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
