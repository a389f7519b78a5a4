package qfhttp_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// heldConn holds up a read of its server.
type heldConn struct {
	*net.TCPConn
	isArmed          atomic.Bool
	reached, release chan struct{}
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	if c.isArmed.Swap(false) {
		close(c.reached)
		<-c.release
	}
	return c.TCPConn.Read(b)
}

// heldListener accepts one connection.
type heldListener struct {
	*net.TCPListener
	accepted chan *heldConn
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	c := &heldConn{TCPConn: connection.(*net.TCPConn), reached: make(chan struct{}), release: make(chan struct{})}
	l.accepted <- c
	return c, nil
}

// TestRequestReadAfterIdleTimeoutIsAnswered fails if a server closes a connection as idle that has a whole request, since it comes to
// read it only after the timeout.
func TestRequestReadAfterIdleTimeoutIsAnswered(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &heldListener{TCPListener: raw.(*net.TCPListener), accepted: make(chan *heldConn, 1)}
	var idle atomic.Int64
	idle.Store(int64(time.Hour))
	accepted := make(chan *heldConn, 1)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle && idle.Swap(0) > 0 {
				c := <-listener.accepted
				c.isArmed.Store(true)
				accepted <- c
			}
		},
	}
	budget := qfhttp.NewConnectionBudget(qftimer.NewWall(), 0, func(qfhttp.LimitBreak) {})
	guarded := budget.Guard(server, listener, qfhttp.PortLimits{
		ReadTimeouts: func(time.Time) qfhttp.ReadTimeouts { return qfhttp.ReadTimeouts{Idle: time.Duration(idle.Load())} },
	})
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(guarded) })
	defer running.Wait()
	defer func() { _ = server.Close() }()
	connection, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, _ = io.WriteString(connection, request) // The answer is checked.
	if got, _, _ := status(connection); got != http.StatusOK {
		t.Fatalf("the first request got status %d", got)
	}
	kept := <-accepted
	<-kept.reached
	_, _ = io.WriteString(connection, request) // As above.
	awaitBytes(t, kept.TCPConn)
	close(kept.release)
	if got, _, _ := status(connection); got != http.StatusOK {
		t.Errorf("the second request got status %d", got)
	}
}
