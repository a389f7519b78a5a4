package qfhttp

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// refusalTimeout bounds the time to send one refusal.
	refusalTimeout = time.Second
	// maxRefusals bounds the refusals sent at once; further connections are closed
	// without one.
	maxRefusals = 64
)

// busyBody is the body of busyResponse, the refusal of a caller over the connection limit.
const busyBody = `{"Error":{"Code":"Overloaded","Reason":"the node has too many connections; use another node",` +
	`"Ran":"No","RetryAfter":"1s","Step":"Accept"}}` + "\n"

var busyResponse = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
	"Connection: close\r\nRetry-After: 1\r\nQf-Ran: No\r\n\r\n%s", len(busyBody), busyBody)

// limitedListener limits the number of open connections.
type limitedListener struct {
	net.Listener
	max      int64
	open     atomic.Int64
	refusals *refuser
}

// refuser refuses connections.
type refuser struct {
	clock qf.Clock
	// refusal is written to the connections; it may be empty.
	refusal string
	// slots bounds the refusals in progress.
	slots chan struct{}
}

func newRefuser(clock qf.Clock, refusal string) *refuser {
	return &refuser{clock: clock, refusal: refusal, slots: make(chan struct{}, maxRefusals)}
}

// LimitOpenConnections returns a listener that accepts at most maxOpen connections at a time
// and closes further ones.
func LimitOpenConnections(clock qf.Clock, listener net.Listener, maxOpen int) net.Listener {
	return &limitedListener{Listener: listener, max: int64(maxOpen), refusals: newRefuser(clock, "")}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &limitedConnection{Conn: connection, release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		l.refusals.refuse(connection)
	}
}

// IsReadable reports whether connections wait to be accepted; false also stands for not known.
func (l *limitedListener) IsReadable() bool { return isReadable(l.Listener) }

// IsReadable reports whether bytes of the client wait to be read; false also stands for not known.
func (c *limitedConnection) IsReadable() bool { return isReadable(c.Conn) }

func (r *refuser) refuse(connection net.Conn) {
	select {
	case r.slots <- struct{}{}:
		go func() {
			defer func() { <-r.slots }()
			r.sendRefusal(connection)
		}()
	default:
		_ = connection.Close() // The connection is abandoned either way.
	}
}

// sendRefusal sends the refusal and closes the connection. It reads the request first,
// because closing a connection with unread bytes resets it, and the caller would lose the
// refusal.
func (r *refuser) sendRefusal(connection net.Conn) {
	defer func() { _ = connection.Close() }() // The connection is abandoned either way.
	if r.refusal == "" {
		return
	}
	limit := r.clock.After(refusalTimeout)
	defer limit.Stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-limit.C():
			_ = connection.Close() // The caller is too slow.
		case <-done:
		}
	}()
	buffer := make([]byte, refusalReadBytes)
	for n, isRest := 0, true; isRest && n < maxRefusedRequestBytes; {
		read, err := connection.Read(buffer)
		if err != nil {
			return
		}
		n, isRest = n+read, read == len(buffer)
	}
	_, _ = connection.Write([]byte(r.refusal)) // A caller that disconnected needs none.
}

const (
	// maxRefusedRequestBytes is how much of a refused caller's request is read, in parts of refusalReadBytes.
	maxRefusedRequestBytes = 64 << 10
	refusalReadBytes       = 4 << 10
)

// limitedConnection lowers the listener's count of open connections when it is closed.
type limitedConnection struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConnection) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
