package qfrpc

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// forwardPreface is the first byte of a connection that carries forwarded requests. No message of
	// net/rpc begins with it. The server echoes it, so that a client never sends a request to a
	// server that doesn't take them.
	forwardPreface = 0
	// prefaceTimeout bounds how long a new connection may take to send its first byte.
	prefaceTimeout = 10 * time.Second
	// minAcceptDelay and maxAcceptDelay bound the delay after a connection couldn't be accepted, for lack of
	// descriptors for example.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	// maxSilent bounds the new connections that have sent nothing. Above it the oldest of them is closed.
	maxSilent = 128
	// maxQueued is the number of connections that wait for their server from which no more are accepted.
	maxQueued = 64
)

// SplitListener accepts connections of net/rpc and of forwarded requests on one address.
type SplitListener struct {
	clock    qf.Clock
	listener net.Listener
	// observe is called with each error of the listener after which it goes on.
	observe  func(error)
	isClosed atomic.Bool
	calls    *splitQueue
	forwards *splitQueue

	mu sync.Mutex
	// silent holds the connections that have sent nothing yet, the oldest first.
	silent list.List
	// queued is the number of connections that wait for their server, and taken is signalled when one of them is taken.
	queued int
	taken  *sync.Cond
}

// Split returns a listener whose connections are told apart by their first byte. It goes on after errors that may pass,
// and calls observe with them.
func Split(clock qf.Clock, listener net.Listener, observe func(error)) *SplitListener {
	s := &SplitListener{clock: clock, listener: listener, observe: observe, calls: newSplitQueue(listener.Addr()), forwards: newSplitQueue(listener.Addr())}
	s.taken = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Calls returns the listener of net/rpc connections, Forwards that of forwarded requests. A server that
// stops closes its own; Close ends both.
func (s *SplitListener) Calls() net.Listener { return s.calls }

// Forwards returns the listener of forwarded requests.
func (s *SplitListener) Forwards() net.Listener { return s.forwards }

// Close closes the address.
func (s *SplitListener) Close() error {
	s.isClosed.Store(true)
	return s.listener.Close()
}

func (s *SplitListener) run() {
	delay := minAcceptDelay
	for {
		s.awaitQueue()
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
			go s.route(conn, s.addSilent(conn))
		case s.isClosed.Load() || errors.Is(err, net.ErrClosed):
			s.calls.fail(err)
			s.forwards.fail(err)
			return
		default:
			s.observe(err)
			<-s.clock.After(delay).C()
			delay = min(2*delay, maxAcceptDelay)
		}
	}
}

// addSilent adds a connection to those that have sent nothing, and closes the oldest of too many.
func (s *SplitListener) addSilent(conn net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent.Len() >= maxSilent {
		_ = s.silent.Remove(s.silent.Front()).(net.Conn).Close() // Nothing was received.
	}
	return s.silent.PushBack(conn)
}

// removeSilent removes a connection that has sent something or is closed.
func (s *SplitListener) removeSilent(element *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.Remove(element)
}

// awaitQueue waits until another connection may be accepted.
func (s *SplitListener) awaitQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queued >= maxQueued {
		s.taken.Wait()
	}
}

// putQueued passes a connection that isn't silent any more to a server. It returns false if none takes it.
func (s *SplitListener) putQueued(queue *splitQueue, conn net.Conn, element *list.Element) bool {
	s.mu.Lock()
	s.silent.Remove(element)
	s.queued++
	s.mu.Unlock()
	isTaken := queue.put(conn)
	s.mu.Lock()
	s.queued--
	s.mu.Unlock()
	s.taken.Signal()
	return isTaken
}

// route reads a connection's first byte and passes the connection on.
func (s *SplitListener) route(conn net.Conn, element *list.Element) {
	var first [1]byte
	_ = conn.SetReadDeadline(s.clock.Now().Add(prefaceTimeout)) // Without a deadline the read ends with the connection.
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		s.removeSilent(element)
		_ = conn.Close() // Nothing was received.
		return
	}
	_ = conn.SetReadDeadline(time.Time{}) // As above.
	if first[0] != forwardPreface {
		s.putQueued(s.calls, &prefixedConn{Conn: conn, prefix: first[:]}, element)
		return
	}
	if !s.putQueued(s.forwards, conn, element) {
		return
	}
	if _, err := conn.Write(first[:]); err != nil { // Only a connection that is served is confirmed.
		_ = conn.Close() // The client has gone; the server finds the connection closed.
	}
}

// splitQueue is one of the two listeners.
type splitQueue struct {
	address  net.Addr
	accepted chan net.Conn
	// closed is closed by close, which may be called more than once.
	closed chan struct{}
	close  func()

	mu  sync.Mutex
	err error
}

func newSplitQueue(address net.Addr) *splitQueue {
	closed := make(chan struct{})
	return &splitQueue{address: address, accepted: make(chan net.Conn), closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

// fail ends the listener with an error.
func (q *splitQueue) fail(err error) {
	q.mu.Lock()
	q.err = err
	q.mu.Unlock()
	q.close()
}

// put passes a connection to the server. It closes the connection and returns false if nobody accepts it any more.
func (q *splitQueue) put(conn net.Conn) bool {
	select {
	case q.accepted <- conn:
		return true
	case <-q.closed:
		_ = conn.Close() // Nothing was confirmed.
		return false
	}
}

// Accept implements net.Listener.
func (q *splitQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.accepted:
		return conn, nil
	case <-q.closed:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil || errors.Is(q.err, net.ErrClosed) {
		return nil, net.ErrClosed
	}
	return nil, q.err
}

// Close implements net.Listener.
func (q *splitQueue) Close() error {
	q.close()
	return nil
}

// Addr implements net.Listener.
func (q *splitQueue) Addr() net.Addr { return q.address }

// prefixedConn is a connection of which a first part was read already.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read implements net.Conn.
func (c *prefixedConn) Read(b []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}

// DialForward returns a dial of connections for forwarded requests. It fails if the server doesn't
// confirm within the timeout that it takes them.
func DialForward(dial qf.Dial, timeout time.Duration) qf.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		if err := confirmForward(conn); err != nil {
			_ = conn.Close() // The handshake's error is the one to report.
			peer, _ := netip.ParseAddrPort(address)
			return nil, peerError(peer, "the peer takes no forwarded requests", err)
		}
		if !stop() {
			return nil, context.Cause(ctx) // The connection was closed meanwhile.
		}
		return conn, nil
	}
}

func confirmForward(conn net.Conn) error {
	preface := [1]byte{forwardPreface}
	if _, err := conn.Write(preface[:]); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, preface[:])
	if err == nil && preface[0] != forwardPreface {
		err = errors.New("unexpected byte")
	}
	return err
}
