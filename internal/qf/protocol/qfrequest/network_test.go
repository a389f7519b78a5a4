package qfrequest_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
)

// network carries connections in memory, so that they run on virtual time. It can
// silence the open connections: they then carry nothing but look open to both ends, while
// new connections work.
type network struct {
	mu        sync.Mutex
	servers   map[string]*http.Server
	listeners map[string]*pipeListener
	conns     []*silentConn
}

func newNetwork() *network {
	return &network{servers: map[string]*http.Server{}, listeners: map[string]*pipeListener{}}
}

// serve opens a server on the address until the test ends.
func (n *network) serve(t *testing.T, address netip.AddrPort, handler http.Handler) {
	server := &http.Server{Handler: handler}
	l := &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
	n.servers[address.String()], n.listeners[address.String()] = server, l
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// kill closes the server of the address.
func (n *network) kill(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.servers[address.String()].Close()
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	near, far := net.Pipe()
	select {
	case l.accept <- far:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	conn := &silentConn{Conn: near, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, conn)
	return conn, nil
}

// silence makes the open connections drop all data.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silent.Store(true)
	}
}

func (n *network) client(t *testing.T) *http.Client {
	transport := &http.Transport{DialContext: n.dial, MaxIdleConnsPerHost: 8}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// silentConn drops all data in both directions once it is silent.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

type pipeListener struct {
	accept chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
