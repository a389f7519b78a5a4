package qfhttp_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/standin/standnet"
)

// TestDrainEndsNoConnectionThatMayBeUsedAgain fails if a stopping server ends a kept connection before the time is over for which an answer has
// allowed its use, or states no such time.
func TestDrainEndsNoConnectionThatMayBeUsedAgain(t *testing.T) {
	const reuse = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		listener, dial := pipeListener(t)
		var running sync.WaitGroup
		server := serveInMemory(&running, listener, qfhttp.PortLimits{Reuse: reuse})
		connection := dial()
		reader := bufio.NewReader(connection)
		exchange := func() string {
			if _, err := io.WriteString(connection, plainRequestOfKept); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			return response.Header.Get("Keep-Alive")
		}
		if got := exchange(); got != "timeout=2" {
			t.Errorf("the answer states %q", got)
		}
		running.Go(func() { server.Drain(t.Context()) })
		<-clock.After(reuse - time.Millisecond).C()
		exchange()
		answeredAt := clock.Now()
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the connection ends with %v", err)
		}
		if kept := clock.Now().Sub(answeredAt); kept != reuse {
			t.Errorf("the connection ended %v after its answer, want %v", kept, reuse)
		}
		running.Wait()
	})
}

// TestDrainEndsSilentConnections fails if a connection on which nothing comes holds up a drain, or ends before its first request may have come.
func TestDrainEndsSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		listener, dial := pipeListener(t)
		var running sync.WaitGroup
		server := serveInMemory(&running, listener, qfhttp.PortLimits{})
		connection := dial()
		openedAt := clock.Now()
		running.Go(func() { server.Drain(t.Context()) })
		if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the connection ends with %v", err)
		}
		if kept := clock.Now().Sub(openedAt); kept != time.Second {
			t.Errorf("the connection ended after %v, want 1s", kept)
		}
		running.Wait()
	})
}

// slowListener returns each connection a time after it was accepted.
type slowListener struct {
	net.Listener
	clock qf.Clock
	delay time.Duration
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	<-l.clock.After(l.delay).C()
	return connection, err
}

// TestDrainEndsSilentConnectionThatWasBeingAccepted fails if a connection on which nothing comes holds up a drain that began while it was being
// accepted.
func TestDrainEndsSilentConnectionThatWasBeingAccepted(t *testing.T) {
	const delay = 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		listener, dial := pipeListener(t)
		var running sync.WaitGroup
		server := serveInMemory(&running, &slowListener{Listener: listener, clock: clock, delay: delay}, qfhttp.PortLimits{})
		connection := dial()
		synctest.Wait() // The connection has left the queue.
		openedAt := clock.Now()
		running.Go(func() { server.Drain(t.Context()) })
		if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the connection ends with %v", err)
		}
		if kept := clock.Now().Sub(openedAt); kept < time.Second || kept > time.Second+2*delay {
			t.Errorf("the connection ended after %v, want 1s to %v", kept, time.Second+2*delay)
		}
		running.Wait()
	})
}

// TestDrainEndsConnectionWhoseTimeoutWasRaised fails if a kept connection whose idle timeout was raised while it waited holds up a drain.
func TestDrainEndsConnectionWhoseTimeoutWasRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		listener, dial := pipeListener(t)
		var idle atomic.Int64
		idle.Store(int64(time.Second))
		var running sync.WaitGroup
		server := serveInMemory(&running, listener, qfhttp.PortLimits{
			HeadBytes: func() int { return testHeadBytes }, ReadTimeouts: func(time.Time) qfhttp.ReadTimeouts {
				return qfhttp.ReadTimeouts{Head: time.Second, Idle: time.Duration(idle.Load())}
			},
		})
		connection := dial()
		if _, err := io.WriteString(connection, plainRequestOfKept); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(connection)
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // The timeout in force now is that of the wait.
		idle.Store(int64(time.Hour))
		<-clock.After(2 * time.Second).C()
		began := clock.Now()
		running.Go(func() { server.Drain(t.Context()) })
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the connection ends with %v", err)
		}
		if took := clock.Now().Sub(began); took != 0 {
			t.Errorf("the connection ended %v after the drain began", took)
		}
		running.Wait()
	})
}

// answersPlainly is a handler that answers each request at once.
var answersPlainly = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})

// serveInMemory serves a listener until the returned server is drained.
func serveInMemory(running *sync.WaitGroup, listener net.Listener, limits qfhttp.PortLimits) *qfhttp.DrainingServer {
	limits.Name = "callers"
	server := qfhttp.NewDrainingServer(
		&http.Server{Handler: answersPlainly, ReadHeaderTimeout: time.Minute}, listener,
		qfhttp.NewConnectionBudget(qftimer.NewWall(), 0, func(qfhttp.LimitBreak) {}), limits,
	)
	running.Go(func() { _ = server.Serve() })
	return server
}

const plainRequestOfKept = "GET /plain HTTP/1.1\r\nHost: h\r\n\r\n"

// pipeListener returns an in-memory listener and a dial that connects to it.
func pipeListener(t *testing.T) (net.Listener, func() net.Conn) {
	t.Helper()
	network := standnet.New().From(netip.MustParseAddr("10.7.0.1"))
	listener, err := network.Listen(t.Context(), netip.MustParseAddrPort("10.1.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	return listener, func() net.Conn {
		connection, err := network.Dial(t.Context(), "tcp", "10.1.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		return connection
	}
}
