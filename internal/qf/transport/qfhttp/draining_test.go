package qfhttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/standin/standnet"
)

// lateListener accepts nothing while it is held. The drain ends the hold, by whatever it does first to the listener.
type lateListener struct {
	*net.TCPListener
	hold *hold
	// wrap wraps each connection that is accepted.
	wrap func(net.Conn) net.Conn
}

// hold blocks a goroutine until it is ended.
type hold struct {
	once  sync.Once
	ended chan struct{}
}

func newHold() *hold { return &hold{ended: make(chan struct{})} }

func (h *hold) end() { h.once.Do(func() { close(h.ended) }) }

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.hold.ended
	connection, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(connection), nil
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	defer l.hold.end()
	return l.TCPListener.Close()
}

// SyscallConn implements syscall.Conn.
func (l *lateListener) SyscallConn() (syscall.RawConn, error) {
	l.hold.end()
	return l.TCPListener.SyscallConn()
}

// lateMoment is where a server comes late to a connection.
type lateMoment string

// The moments.
const (
	// lateToRead: the bytes are in the kernel's buffer, and the server hasn't read them.
	lateToRead lateMoment = "to read"
	// lateToParse: the server has read the bytes, and does nothing with them yet.
	lateToParse lateMoment = "to parse"
)

// lateConn holds up a read of its server until the server closes the connection or interrupts the read.
type lateConn struct {
	*net.TCPConn
	moment lateMoment
	// isArmed is set from when the read that follows is to be held, and reached is closed when it is. arm arms it once.
	isArmed atomic.Bool
	arm     func()
	reached chan struct{}
	// isInterrupted is true while the read deadline has passed.
	isInterrupted atomic.Bool
	hold          *hold
}

// Read implements net.Conn.
func (c *lateConn) Read(b []byte) (int, error) {
	if !c.isArmed.Swap(false) {
		return c.TCPConn.Read(b)
	}
	if c.moment == lateToRead {
		c.awaitEnd()
		return c.TCPConn.Read(b)
	}
	n, err := c.TCPConn.Read(b)
	c.awaitEnd()
	return n, err
}

// awaitEnd blocks until the server closes the connection or interrupts the read.
func (c *lateConn) awaitEnd() {
	close(c.reached)
	if c.isInterrupted.Load() {
		c.hold.end()
	}
	<-c.hold.ended
}

// SetReadDeadline implements net.Conn. A deadline in the past interrupts the read.
func (c *lateConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	c.isInterrupted.Store(!t.IsZero() && t.Before(qftimer.NewWall().Now()))
	select {
	case <-c.reached:
		if c.isInterrupted.Load() {
			c.hold.end()
		}
	default: // net/http ends its own read in the background so.
	}
	return err
}

// Close implements net.Conn.
func (c *lateConn) Close() error {
	defer c.hold.end()
	return c.TCPConn.Close()
}

// drainedServer is a server on loopback that is drained while callers send requests.
type drainedServer struct {
	t        *testing.T
	server   *qfhttp.DrainingServer
	listener *lateListener
	address  string
	// idle receives each connection that waits for its next request.
	idle chan *lateConn
	// ran counts the requests whose handler ran.
	ran atomic.Int64
	// entered receives a value for each request to /hold, which is answered once release is closed.
	entered, release chan struct{}
	// ahead handles /ahead, and onIdle is called when a connection waits for its next request. Either may be nil.
	ahead  func(context.Context)
	onIdle func()
}

// newDrainedServer starts a server that comes late to a moment of a connection's next request.
func newDrainedServer(t *testing.T, moment lateMoment) *drainedServer {
	t.Helper()
	return newLimitedServer(t, moment, qfhttp.PortLimits{Name: "callers"})
}

func newLimitedServer(t *testing.T, moment lateMoment, limits qfhttp.PortLimits) *drainedServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &drainedServer{
		t: t, address: raw.Addr().String(), idle: make(chan *lateConn, 100), entered: make(chan struct{}, 10), release: make(chan struct{}),
	}
	var opened sync.Map
	d.listener = &lateListener{TCPListener: raw.(*net.TCPListener), hold: newHold(), wrap: func(connection net.Conn) net.Conn {
		c := &lateConn{TCPConn: connection.(*net.TCPConn), moment: moment, reached: make(chan struct{}), hold: newHold()}
		c.arm = sync.OnceFunc(func() { c.isArmed.Store(true) })
		opened.Store(c.RemoteAddr().String(), c)
		return c
	}}
	server := &http.Server{
		Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Minute,
		ConnState: func(connection net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c, _ := opened.Load(connection.RemoteAddr().String())
				c.(*lateConn).arm()
				onIdle := d.onIdle
				d.idle <- c.(*lateConn)
				if onIdle != nil {
					onIdle()
				}
			}
		},
	}
	budget := qfhttp.NewConnectionBudget(qftimer.NewWall(), 0, func(qfhttp.LimitBreak) {})
	d.server = qfhttp.NewDrainingServer(server, d.listener, budget, limits)
	var running sync.WaitGroup
	running.Go(func() { _ = d.server.Serve() })
	t.Cleanup(running.Wait)
	return d
}

func (d *drainedServer) serve(w http.ResponseWriter, r *http.Request) {
	d.ran.Add(1)
	if r.URL.Path == "/hold" {
		d.entered <- struct{}{}
		<-d.release
	}
	if r.URL.Path == "/ahead" {
		d.ahead(r.Context())
	}
	_, _ = io.WriteString(w, "done")
}

// drain drains the server, and returns once it has ended.
func (d *drainedServer) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute) // It only ends a test that has failed.
	defer cancel()
	d.server.Drain(ctx)
}

// drainedCaller is a caller of a drained server.
type drainedCaller struct {
	t          *testing.T
	connection *net.TCPConn
	reader     *bufio.Reader
}

func (d *drainedServer) dial() *drainedCaller {
	d.t.Helper()
	connection, err := net.Dial("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = connection.Close() })
	return &drainedCaller{t: d.t, connection: connection.(*net.TCPConn), reader: bufio.NewReader(connection)}
}

// send sends a whole request.
func (c *drainedCaller) send(path string) {
	c.t.Helper()
	if _, err := io.WriteString(c.connection, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		c.t.Fatal(err)
	}
}

// receive reads a whole answer.
func (c *drainedCaller) receive() error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// awaitBytes waits until bytes have arrived at a connection that nothing has read.
func awaitBytes(t *testing.T, connection syscall.Conn) {
	t.Helper()
	raw, err := connection.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		_, _ = unix.Poll(list, int(time.Minute.Milliseconds())) // It only ends a test that has failed.
	})
	if err != nil {
		t.Fatal(err)
	}
}

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

// TestDrainEndsNoConnectionThatMayBeUsedAgain fails if a stopping server ends a kept connection before the time is over for which an answer has
// allowed its use, or states no such time.
func TestDrainEndsNoConnectionThatMayBeUsedAgain(t *testing.T) {
	const reuse = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		listener, dial := pipeListener(t)
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := qfhttp.NewDrainingServer(
			&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, listener, qfhttp.NewConnectionBudget(clock, 0, func(qfhttp.LimitBreak) {}),
			qfhttp.PortLimits{Name: "callers", Reuse: reuse},
		)
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve() })
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
		server := qfhttp.NewDrainingServer(
			&http.Server{ReadHeaderTimeout: time.Minute}, listener, qfhttp.NewConnectionBudget(clock, 0, func(qfhttp.LimitBreak) {}), qfhttp.PortLimits{Name: "callers"},
		)
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve() })
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

// TestDrainEndsConnectionWhoseTimeoutWasRaised fails if a kept connection whose idle timeout was raised while it waited holds up a drain.
func TestDrainEndsConnectionWhoseTimeoutWasRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		listener, dial := pipeListener(t)
		var idle atomic.Int64
		idle.Store(int64(time.Second))
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := qfhttp.NewDrainingServer(
			&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, listener, qfhttp.NewConnectionBudget(clock, 0, func(qfhttp.LimitBreak) {}),
			qfhttp.PortLimits{Name: "callers", HeadBytes: func() int { return testHeadBytes }, ReadTimeouts: func(time.Time) qfhttp.ReadTimeouts {
				return qfhttp.ReadTimeouts{Head: time.Second, Idle: time.Duration(idle.Load())}
			}},
		)
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve() })
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
