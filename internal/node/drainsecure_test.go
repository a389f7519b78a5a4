package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/qf/transport/qftls"
	"quetzalfront/internal/standin/standca"
)

// lateConn holds up its reads once it is armed, until its read deadline has passed, it is closed, or the hold is ended.
type lateConn struct {
	*net.TCPConn
	isArmed        atomic.Bool
	once           sync.Once
	ended, reached chan struct{}
}

func (c *lateConn) end() { c.once.Do(func() { close(c.ended) }) }

// Read implements net.Conn.
func (c *lateConn) Read(b []byte) (int, error) {
	if c.isArmed.Swap(false) {
		close(c.reached)
		<-c.ended
	}
	return c.TCPConn.Read(b)
}

// SetReadDeadline implements net.Conn.
func (c *lateConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	select {
	case <-c.reached:
		if !t.IsZero() && t.Year() < 2000 { // A drain interrupts a read with the earliest times.
			c.end()
		}
	default:
	}
	return err
}

// Close implements net.Conn.
func (c *lateConn) Close() error {
	defer c.end()
	return c.TCPConn.Close()
}

// openedListener passes on the connections that it accepts.
type openedListener struct {
	*net.TCPListener
	opened chan *lateConn
}

// Accept implements net.Listener.
func (l *openedListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	c := &lateConn{TCPConn: connection.(*net.TCPConn), ended: make(chan struct{}), reached: make(chan struct{})}
	l.opened <- c
	return c, nil
}

// awaitBytes waits until bytes have arrived that the node hasn't read.
func (c *lateConn) awaitBytes(t *testing.T) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		_, _ = unix.Poll(list, int(time.Minute.Milliseconds())) // It only ends a test that has failed.
	}); err != nil {
		t.Fatal(err)
	}
}

// TestDrainAnswersUnreadRequestOfAnOperator fails if a node that stops closes a kept connection with TLS to which a whole request has come.
func TestDrainAnswersUnreadRequestOfAnOperator(t *testing.T) {
	n := newLoneNode(t)
	authority, err := standca.New(n.now())
	if err != nil {
		t.Fatal(err)
	}
	n.platform.Identity = issueIdentity(t, authority, qftls.RoleNode)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &openedListener{TCPListener: raw.(*net.TCPListener), opened: make(chan *lateConn, 1)}
	var served *lateConn
	server := n.newServer(http.NotFoundHandler())
	arm := sync.OnceFunc(func() { served.isArmed.Store(true) })
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			arm()
		}
	}
	budget := qfhttp.NewConnectionBudget(n.platform.Clock, 0, func(qfhttp.LimitBreak) {})
	n.serveHTTP(n.protectListener(listener, "operators", qftls.RoleOperator), server, budget, qfhttp.PortLimits{Name: "operators"})
	client, err := issueIdentity(t, authority, qftls.RoleOperator).Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	served = <-listener.opened
	reader := bufio.NewReader(client)
	sendRequest(t, client)
	if err := discardAnswer(reader); err != nil {
		t.Fatal(err)
	}
	<-served.reached
	n.phase.Store(PhaseDraining)
	sendRequest(t, client)
	served.awaitBytes(t)
	var drained sync.WaitGroup
	drained.Go(func() { n.drain(context.Background()) })
	if err := discardAnswer(reader); err != nil {
		t.Errorf("the second request has no answer: %v", err)
	}
	drained.Wait()
}

// issueIdentity returns a loaded identity with a new certificate of the role.
func issueIdentity(t *testing.T, authority *standca.Authority, role qftls.Role) *qftls.Identity {
	t.Helper()
	clock := qftimer.NewWall()
	files, err := authority.IssueFiles(t.TempDir(), string(role), role, clock.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	identity := qftls.NewIdentity(clock, files)
	if _, err := identity.Load(); err != nil {
		t.Fatal(err)
	}
	return identity
}
