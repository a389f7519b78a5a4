// Package qfconnection wraps clients' connections so that a connection which fails isn't taken for one that its peer has
// ended.
//
// The kernel reports the failure of a connection once, to a read or to a write. If a write gets it, each read after it finds
// the end of the connection, as if the peer had ended its side in order. A body that has neither a length nor chunks would
// count as whole then.
package qfconnection

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"quetzalfront/internal/qf"
)

// Dial returns a function that dials connections whose reads report the failures that their writes got.
func Dial(dial qf.Dial) qf.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(connection), nil
	}
}

// Wrap returns a connection whose reads report the failures that its writes got. All writes must go through it.
func Wrap(connection net.Conn) net.Conn { return &reportingConn{Conn: connection} }

// reportingConn reports a failure of the connection to its reader, whichever side got it from the kernel.
type reportingConn struct {
	net.Conn
	// writing is held during a write, and guards writeErr.
	writing sync.Mutex
	// writeErr is the error of the first write that failed: those after a failure of the connection get EPIPE.
	writeErr error
}

// Write implements net.Conn.
func (c *reportingConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. The end of the connection is reported as io.EOF only if the peer has ended its side. It also
// ends a write in progress: a client has no use for it once it can't receive more.
func (c *reportingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.failure(); failure != nil {
		return n, failure
	}
	return n, err
}

// failure returns the error with which the connection failed if a write got it from the kernel, or nil. That write may not
// have returned yet when a read finds the end, so it is awaited.
func (c *reportingConn) failure() error {
	if !c.writing.TryLock() {
		// A write that waits for the peer ends at once with the deadline's error. An error here means that the connection
		// is closed, which ends the write too.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	var code syscall.Errno
	if errors.As(c.writeErr, &code) && code != syscall.EPIPE {
		return c.writeErr
	}
	return nil // EPIPE only says that the connection had ended before.
}
