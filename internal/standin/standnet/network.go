// Package standnet is a small stand-in for the network: connections in memory
// that a test can cut or make silent. It works inside testing/synctest.
package standnet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"quetzalfront/internal/qf"
)

// Link reports whether a fault applies between two addresses.
type Link func(a, b netip.Addr) bool

// Network connects listeners and dialers in memory.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	// pairs are the open connections.
	pairs    map[*pair]struct{}
	nextPort uint16
	// cut is nil while every link works. A dial over a cut link hangs.
	cut Link
	// healed is closed and replaced whenever the cut changes.
	healed chan struct{}
}

// firstPort is the first port that is given out for port 0.
const firstPort = 20000

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners: map[netip.AddrPort]*listener{},
		pairs:     map[*pair]struct{}{},
		nextPort:  firstPort,
		healed:    make(chan struct{}),
	}
}

// From returns the network as a process at the address sees it.
func (n *Network) From(source netip.Addr) qf.Network {
	return qf.Network{
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.dial(ctx, source, address)
		},
		Listen: func(_ context.Context, address netip.AddrPort) (net.Listener, error) {
			return n.listen(address)
		},
	}
}

func (n *Network) listen(address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address.Port() == 0 {
		n.nextPort++
		address = netip.AddrPortFrom(address.Addr(), n.nextPort)
	}
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: errors.New("address in use")}
	}
	l := &listener{network: n, address: address, backlog: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (n *Network) dial(ctx context.Context, source netip.Addr, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, dialError(err)
	}
	if err := n.waitForLink(ctx, source, target.Addr()); err != nil {
		return nil, dialError(err)
	}
	n.mu.Lock()
	l := n.listeners[target]
	n.mu.Unlock()
	if l == nil {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	p := n.newPair(source, target)
	select {
	case l.backlog <- p.server:
		return p.client, nil
	case <-l.closed:
		return nil, dialError(syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, dialError(ctx.Err())
	}
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

// waitForLink blocks while the link is cut.
func (n *Network) waitForLink(ctx context.Context, a, b netip.Addr) error {
	for {
		n.mu.Lock()
		isCut := n.cut != nil && n.cut(a, b)
		healed := n.healed
		n.mu.Unlock()
		if !isCut {
			return nil
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Partition makes the links useless until Heal: open connections go silent for good
// and new ones hang.
func (n *Network) Partition(link Link) {
	n.Blackhole(link)
	n.setCut(link)
}

// Heal ends a cut.
func (n *Network) Heal() { n.setCut(nil) }

func (n *Network) setCut(link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = link
	close(n.healed)
	n.healed = make(chan struct{})
}

// Blackhole makes the open connections of the links silent for good: what is
// written to them is lost, and neither end hears of it. New ones work.
func (n *Network) Blackhole(link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pairs {
		if p.on(link) {
			p.silent.Store(true)
		}
	}
}

// Reset closes the open connections of the links.
func (n *Network) Reset(link Link) { n.resetAll(func(p *pair) bool { return p.on(link) }) }

// Close closes every connection, the silent ones included.
func (n *Network) Close() { n.resetAll(func(*pair) bool { return true }) }

func (n *Network) resetAll(match func(p *pair) bool) {
	n.mu.Lock()
	var hit []*pair
	for p := range n.pairs {
		if match(p) {
			hit = append(hit, p)
		}
	}
	n.mu.Unlock()
	for _, p := range hit {
		p.close()
	}
}
