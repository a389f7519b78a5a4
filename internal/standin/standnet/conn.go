package standnet

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// listener implements net.Listener.
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

// pair is one connection with its two ends.
type pair struct {
	network        *Network
	source         netip.Addr
	target         netip.AddrPort
	silent         atomic.Bool
	client, server *end
}

func (n *Network) newPair(source netip.Addr, target netip.AddrPort) *pair {
	a, b := net.Pipe()
	p := &pair{network: n, source: source, target: target}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextPort++
	local := netip.AddrPortFrom(source, n.nextPort)
	p.client = &end{Conn: a, pair: p, local: local, remote: target}
	p.server = &end{Conn: b, pair: p, local: target, remote: local}
	n.pairs[p] = struct{}{}
	return p
}

// on reports whether the connection is on one of the links.
func (p *pair) on(link Link) bool {
	return link(p.source, p.target.Addr()) || link(p.target.Addr(), p.source)
}

// close closes both ends, as a reset does.
func (p *pair) close() {
	_ = p.client.Conn.Close() // Closing a pipe never fails.
	_ = p.server.Conn.Close()
	p.forget()
}

func (p *pair) forget() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	delete(p.network.pairs, p)
}

// end is one end of a connection.
type end struct {
	net.Conn
	pair          *pair
	local, remote netip.AddrPort
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (e *end) Write(b []byte) (int, error) {
	if e.pair.silent.Load() {
		return len(b), nil
	}
	return e.Conn.Write(b)
}

// past is a deadline that has passed on any clock.
var past = time.Unix(1, 0)

// Close implements net.Conn. The other end reads the end of what was sent; that of a
// silent connection doesn't hear of it, and only this end's calls return.
func (e *end) Close() error {
	if e.pair.silent.Load() {
		return e.SetDeadline(past)
	}
	e.pair.forget()
	return e.Conn.Close()
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(e.local) }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(e.remote) }
