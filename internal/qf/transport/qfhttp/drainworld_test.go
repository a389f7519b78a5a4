package qfhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
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
	// read counts the bytes that the server has read.
	read atomic.Int64
}

// Read implements net.Conn.
func (c *lateConn) Read(b []byte) (int, error) {
	isHeld := c.isArmed.Swap(false)
	if isHeld && c.moment == lateToRead {
		c.awaitEnd()
	}
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(max(n, 0)))
	if isHeld && c.moment != lateToRead {
		c.awaitEnd()
	}
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
