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
	// refusalTimeout bounds the time that a refusal may take, maxRefusals those at
	// once; over that a connection is closed without a word.
	refusalTimeout = time.Second
	maxRefusals    = 64
)

// busyBody and busyAnswer are what a caller over the bound of connections gets.
const busyBody = `{"Error":{"Code":"Overloaded","Reason":"the node has too many connections; use another node",` +
	`"Ran":"No","RetryAfter":"1s","Step":"Accept"}}` + "\n"

var busyAnswer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
	"Connection: close\r\nRetry-After: 1\r\nQf-Ran: No\r\n\r\n%s", len(busyBody), busyBody)

// boundListener hands out a bounded number of connections.
type boundListener struct {
	net.Listener
	timer   qf.Clock
	max     int64
	open    atomic.Int64
	refusal string
	// slots bounds the refusals in progress.
	slots chan struct{}
}

// LimitCallerConnections returns a listener that hands out at most so many open connections.
// A further one gets a typed refusal at once, rather than waiting unseen.
func LimitCallerConnections(timer qf.Clock, listener net.Listener, maxOpen int) net.Listener {
	return newBoundListener(timer, listener, maxOpen, busyAnswer)
}

// LimitConnections returns a listener that closes connections over the bound.
func LimitConnections(timer qf.Clock, listener net.Listener, maxOpen int) net.Listener {
	return newBoundListener(timer, listener, maxOpen, "")
}

func newBoundListener(timer qf.Clock, listener net.Listener, maxOpen int, refusal string) net.Listener {
	return &boundListener{
		Listener: listener, timer: timer, max: int64(maxOpen), refusal: refusal, slots: make(chan struct{}, maxRefusals),
	}
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &boundConnection{Conn: connection, release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		l.refuse(connection)
	}
}

func (l *boundListener) refuse(connection net.Conn) {
	select {
	case l.slots <- struct{}{}:
		go func() {
			defer func() { <-l.slots }()
			l.explain(connection)
		}()
	default:
		_ = connection.Close() // It is given up either way.
	}
}

// explain sends the refusal. It takes in the request before it closes, because
// closing with unread bytes would take the refusal back.
func (l *boundListener) explain(connection net.Conn) {
	defer func() { _ = connection.Close() }() // It is given up either way.
	if l.refusal == "" {
		return
	}
	limit := l.timer.After(refusalTimeout)
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
	buffer := make([]byte, maxRefusedBytes)
	if _, err := connection.Read(buffer); err != nil {
		return
	}
	_, _ = connection.Write([]byte(l.refusal)) // A gone caller needs none.
}

// maxRefusedBytes is how much of a refused caller's request is read.
const maxRefusedBytes = 64 << 10

// boundConnection gives its place back when it is closed.
type boundConnection struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *boundConnection) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
