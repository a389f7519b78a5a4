package standnet

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// listener is a listening address of a Network. It implements net.Listener.
type listener struct {
	network *Network
	address netip.AddrPort
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// connection is a connection with its two ends.
type connection struct {
	network *Network
	source  netip.Addr
	target  netip.AddrPort
	// blackholed is set once everything that is written to the connection is lost.
	blackholed     atomic.Bool
	client, server *end
}

// connect creates a connection and registers it with the network.
func (n *Network) connect(source netip.Addr, target netip.AddrPort) *connection {
	a, b := net.Pipe()
	c := &connection{network: n, source: source, target: target}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextPort++
	local := netip.AddrPortFrom(source, n.nextPort)
	c.client = &end{Conn: a, connection: c, local: local, remote: target}
	c.server = &end{Conn: b, connection: c, local: target, remote: local}
	c.client.other, c.server.other = c.server, c.client
	n.connections[c] = struct{}{}
	return c
}

// matches reports whether the link matches the connection in either direction.
func (c *connection) matches(link Link) bool {
	return link(c.source, c.target.Addr()) || link(c.target.Addr(), c.source)
}

// close closes both ends, as a reset does.
func (c *connection) close() {
	_ = c.client.Conn.Close() // Closing a pipe never fails.
	_ = c.server.Conn.Close()
	c.unregister()
}

// unregister removes the connection from the network's open connections.
func (c *connection) unregister() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.connections, c)
}

// end is one end of a connection.
type end struct {
	net.Conn
	connection    *connection
	local, remote netip.AddrPort
	sendBuffer    sendBuffer
	// other is the other end of the connection.
	other *end
	// isClosed is set once this end was closed.
	isClosed atomic.Bool
}

// Write implements net.Conn. Data written to a blackholed connection is lost.
func (e *end) Write(b []byte) (int, error) {
	if e.connection.blackholed.Load() {
		return len(b), nil
	}
	if e.sendBuffer.isBusy() || e.connection.network.isLimited(e.local.Addr(), e.remote.Addr()) {
		return e.sendBuffer.add(e, b)
	}
	return e.Conn.Write(b)
}

// past is a deadline that has passed on any clock.
var past = time.Unix(1, 0)

// Close implements net.Conn. The other end reads io.EOF. On a blackholed connection the
// other end isn't notified, and only the calls of this end return.
func (e *end) Close() error {
	if e.connection.blackholed.Load() {
		return e.SetDeadline(past)
	}
	e.connection.unregister()
	e.isClosed.Store(true)
	if e.connection.network.holdOf(e.remote.Addr()) != nil {
		e.sendBuffer.begin(e)
	}
	if e.sendBuffer.closeWhenSent() {
		return e.SetReadDeadline(past)
	}
	return e.Conn.Close()
}

// HasEnded reports whether this end was closed, or the other end was and nothing of what it sent is still on the way.
func (e *end) HasEnded() bool {
	return e.isClosed.Load() || e.other.isClosed.Load() && e.other.sendBuffer.isEmpty()
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(e.local) }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(e.remote) }
