package qfhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// TestDrainAnswersConnectionsThatWaitToBeAccepted fails if a stopping server resets connections that it comes late to accept.
func TestDrainAnswersConnectionsThatWaitToBeAccepted(t *testing.T) {
	d := newDrainedServer(t, lateToRead)
	var callers []*drainedCaller
	for i := range 20 {
		c := d.dial()
		c.send("/" + strconv.Itoa(i))
		callers = append(callers, c)
	}
	var drained sync.WaitGroup
	drained.Go(d.drain)
	for i, c := range callers {
		if err := c.receive(); err != nil {
			t.Errorf("request %d of a connection that waited to be accepted has no answer: %v", i, err)
		}
		_ = c.connection.Close()
	}
	drained.Wait()
}

// TestDrainAnswersRequestsOfIdleConnections fails if a stopping server closes a kept connection to which a whole request has come, or runs
// that request and loses its answer.
func TestDrainAnswersRequestsOfIdleConnections(t *testing.T) {
	for _, moment := range []lateMoment{lateToRead, lateToParse} {
		t.Run("late "+string(moment), func(t *testing.T) {
			d := newDrainedServer(t, moment)
			d.listener.hold.end()
			c := d.dial()
			c.send("/first")
			if err := c.receive(); err != nil {
				t.Fatal(err)
			}
			kept := <-d.idle
			if moment == lateToRead {
				<-kept.reached
			}
			c.send("/second")
			if moment == lateToParse {
				<-kept.reached
			}
			if moment == lateToRead {
				awaitBytes(t, kept.TCPConn)
			}
			var drained sync.WaitGroup
			drained.Go(d.drain)
			if err := c.receive(); err != nil {
				t.Errorf("the second request has no answer, %d of 2 ran: %v", d.ran.Load(), err)
			}
			drained.Wait()
		})
	}
}

// TestDrainAnswersRequestSentBeforeAnAnswerEnds fails if a stopping server closes a connection after an answer that it had begun before, although
// the caller has sent its next request.
func TestDrainAnswersRequestSentBeforeAnAnswerEnds(t *testing.T) {
	d := newDrainedServer(t, lateToRead)
	d.listener.hold.end()
	c := d.dial()
	c.send("/hold")
	<-d.entered
	c.send("/second")
	var drained sync.WaitGroup
	drained.Go(d.drain)
	for !d.server.IsDraining() {
		runtime.Gosched()
	}
	close(d.release)
	for _, request := range []string{"first", "second"} {
		if err := c.receive(); err != nil {
			t.Errorf("the %s request has no answer, %d of 2 ran: %v", request, d.ran.Load(), err)
		}
	}
	drained.Wait()
}

// watchedConn reports reads that aren't interrupted.
type watchedConn struct {
	*net.TCPConn
	isInterrupted atomic.Bool
	// reading has a value once a read has waited for the client.
	reading chan struct{}
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	if !c.isInterrupted.Load() {
		select {
		case c.reading <- struct{}{}:
		default: // It has one.
		}
	}
	return c.TCPConn.Read(b)
}

// SetReadDeadline implements net.Conn.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	c.isInterrupted.Store(!t.IsZero() && t.Before(qftimer.NewWall().Now()))
	return c.TCPConn.SetReadDeadline(t)
}

// TestDrainKeepsContextOfRequestThatWasReadAhead fails if a drain ends the context of a request that net/http has read whole together with
// the one before it: its caller is there, and the handler takes it for one that has left. A caller that got its answer before its long body was read
// sends the next request so too.
func TestDrainKeepsContextOfRequestThatWasReadAhead(t *testing.T) {
	d := newDrainedServer(t, lateToRead)
	watched := make(chan *watchedConn, 2)
	wrap := d.listener.wrap
	d.listener.wrap = func(connection net.Conn) net.Conn {
		c := &watchedConn{TCPConn: wrap(connection).(*lateConn).TCPConn, reading: make(chan struct{}, 1)}
		watched <- c
		return c
	}
	d.listener.hold.end()
	kept := d.dial()
	kept.send("/first")
	if err := kept.receive(); err != nil {
		t.Fatal(err)
	}
	<-d.idle
	<-watched
	c := d.dial()
	c.send("/hold HTTP/1.1\r\nHost: h\r\n\r\nGET /ahead") // Two requests that arrive together.
	<-d.entered
	connection := <-watched
	isKept := make(chan error, 1)
	d.ahead = func(ctx context.Context) {
		select {
		case <-ctx.Done():
			isKept <- ctx.Err()
		case <-connection.reading:
			isKept <- nil
		}
	}
	// The answer's goroutine comes late after its connection was marked as idle: the drain has ended the connections without a request.
	endedKept := make(chan struct{})
	d.onIdle = sync.OnceFunc(func() {
		<-endedKept
		<-connection.reading // The reads so far; the next one is that beside the second request, which is read already.
	})
	var drained sync.WaitGroup
	drained.Go(d.drain)
	for !d.server.IsDraining() {
		runtime.Gosched()
	}
	close(d.release)
	if err := kept.receive(); err == nil {
		t.Error("the kept connection has an answer that nobody asked for")
	}
	close(endedKept)
	for _, request := range []string{"first", "second"} {
		if err := c.receive(); err != nil {
			t.Errorf("the %s request has no answer: %v", request, err)
		}
	}
	if err := <-isKept; err != nil {
		t.Errorf("the context of a request whose caller waits ended: %v", err)
	}
	drained.Wait()
}

// refusedListener has one connection that waits to be accepted, and hands it over once the drain has looked twice whether one waits.
type refusedListener struct {
	net.Listener
	looks   atomic.Int64
	looked  *hold
	hasNone atomic.Bool
}

// Accept implements net.Listener.
func (l *refusedListener) Accept() (net.Conn, error) {
	<-l.looked.ended
	connection, err := l.Listener.Accept()
	l.hasNone.Store(true)
	return connection, err
}

// IsReadable reports whether the connection waits to be accepted.
func (l *refusedListener) IsReadable() bool {
	if l.looks.Add(1) >= 2 {
		l.looked.end()
	}
	return !l.hasNone.Load()
}

// Close implements net.Listener.
func (l *refusedListener) Close() error {
	defer l.looked.end()
	return l.Listener.Close()
}

// TestDrainEndsAfterRefusedConnection fails if a drain goes on until its time is over after a connection that waited to be accepted was refused by
// the budget: such a connection has no state, whose change would make the drain look again.
func TestDrainEndsAfterRefusedConnection(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	budget := qfhttp.NewConnectionBudget(qftimer.NewWall(), 1, func(qfhttp.LimitBreak) {}) // No connection has room.
	listener := &refusedListener{Listener: raw, looked: newHold()}
	server := qfhttp.NewDrainingServer(&http.Server{ReadHeaderTimeout: time.Minute}, listener, budget, qfhttp.PortLimits{Name: "callers"})
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve() })
	connection, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // It only ends a test that has failed.
	defer cancel()
	unlimited, end := context.WithCancel(context.WithoutCancel(ctx)) // Without a deadline, the drain has no other reason to go on.
	defer end()
	defer context.AfterFunc(ctx, end)()
	server.Drain(unlimited)
	if unlimited.Err() != nil {
		t.Error("the drain went on until its time was over, though nothing was in progress and nothing waited")
	}
	running.Wait()
}

// TestDrainAnswersNewConnectionAtItsEnd fails if a connection that was accepted once the drain ends those without a request is closed with a
// request that nothing has read, when the drain's time is over.
func TestDrainAnswersNewConnectionAtItsEnd(t *testing.T) {
	d := newDrainedServer(t, lateToRead)
	isLate, accepted := atomic.Bool{}, atomic.Bool{}
	wrap := d.listener.wrap
	d.listener.wrap = func(connection net.Conn) net.Conn {
		c := wrap(connection)
		if isLate.Load() {
			accepted.Store(true)
			c.(*lateConn).arm()
		}
		return c
	}
	d.listener.hold.end()
	kept := d.dial()
	kept.send("/first")
	if err := kept.receive(); err != nil {
		t.Fatal(err)
	}
	<-d.idle
	busy := d.dial() // Its request is in progress until the time is over.
	busy.send("/hold")
	<-d.entered
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var drained sync.WaitGroup
	drained.Go(func() { d.server.Drain(ctx) })
	if err := kept.receive(); err == nil {
		t.Error("the kept connection has an answer that nobody asked for")
	}
	isLate.Store(true)
	connection, err := net.Dial("tcp", d.address)
	if err == nil {
		c := &drainedCaller{t: t, connection: connection.(*net.TCPConn), reader: bufio.NewReader(connection)}
		defer connection.Close()
		_, _ = io.WriteString(connection, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n") // A connection that was reset fails below.
		if err := c.receive(); err != nil && accepted.Load() {
			t.Errorf("the request of a connection that was accepted has no answer: %v", err)
		}
	}
	drained.Wait()
	close(d.release)
}

// TestLimitSparesIdleConnectionWithRequest fails if a port at its limit closes a kept connection to which a whole request has come, in favour of
// a new connection.
func TestLimitSparesIdleConnectionWithRequest(t *testing.T) {
	d := newLimitedServer(t, lateToRead, qfhttp.PortLimits{Name: "callers", Connections: 1})
	d.listener.hold.end()
	c := d.dial()
	c.send("/first")
	if err := c.receive(); err != nil {
		t.Fatal(err)
	}
	kept := <-d.idle
	<-kept.reached
	c.send("/second")
	awaitBytes(t, kept.TCPConn)
	other := d.dial()
	other.send("/other")
	_ = other.receive() // It may be refused or served.
	_ = other.connection.Close()
	kept.hold.end()
	if err := c.receive(); err != nil {
		t.Errorf("the second request has no answer, %d ran: %v", d.ran.Load(), err)
	}
	_ = c.connection.Close()
	d.drain()
}

// TestIdleTimeoutSparesRequestThatCame fails if a server that comes late to read closes a kept connection at the idle timeout although a whole request
// has come to it.
func TestIdleTimeoutSparesRequestThatCame(t *testing.T) {
	d := newDrainedServer(t, lateToRead)
	d.listener.hold.end()
	c := d.dial()
	c.send("/first")
	if err := c.receive(); err != nil {
		t.Fatal(err)
	}
	kept := <-d.idle
	<-kept.reached
	c.send("/second")
	awaitBytes(t, kept.TCPConn)
	if err := kept.TCPConn.SetReadDeadline(time.Unix(1, 0)); err != nil { // As if the idle timeout passed now.
		t.Fatal(err)
	}
	kept.hold.end()
	if err := c.receive(); err != nil {
		t.Errorf("the second request has no answer, %d of 2 ran: %v", d.ran.Load(), err)
	}
	_ = c.connection.Close()
	d.drain()
}
