// Package standnet is a small stand-in for the network: in-memory connections that a
// test can reset, blackhole or partition. It works inside testing/synctest.
package standnet

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"

	"quetzalfront/internal/qf"
)

// Link reports whether a fault applies between two addresses. It is called without the network's lock.
type Link func(a, b netip.Addr) bool

// Network connects listeners and dialers in memory.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	// connections holds the open connections.
	connections map[*connection]struct{}
	nextPort    uint16
	// partition matches the links on which a dial blocks. It is nil while every
	// link works.
	partition Link
	// refused matches the links on which a dial is refused.
	refused Link
	// partitionChanged is closed and replaced whenever partition changes.
	partitionChanged chan struct{}
	// rates holds the limited links by address.
	rates map[netip.Addr]*rate
	// holds holds the addresses that receive nothing; a channel is closed when its address does again.
	holds map[netip.Addr]chan struct{}
}

// basePort is the port below the first one that is assigned to a client or for port 0.
const basePort = 20000

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners:        map[netip.AddrPort]*listener{},
		connections:      map[*connection]struct{}{},
		nextPort:         basePort,
		partitionChanged: make(chan struct{}),
		rates:            map[netip.Addr]*rate{},
		holds:            map[netip.Addr]chan struct{}{},
	}
}

// From returns the network for a process whose connections originate at the address.
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

// listen opens a listener. Port 0 assigns a free port.
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

// dial connects to a listener. It blocks while the link is partitioned.
func (n *Network) dial(ctx context.Context, source netip.Addr, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, dialError(err)
	}
	if err := n.waitForLink(ctx, source, target.Addr()); err != nil {
		return nil, dialError(err)
	}
	n.mu.Lock()
	l, refused := n.listeners[target], n.refused
	n.mu.Unlock()
	if l == nil || refused != nil && refused(source, target.Addr()) {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	c := n.connect(source, target)
	select {
	case l.backlog <- c.server:
		return c.client, nil
	case <-l.closed:
		return nil, dialError(syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, dialError(ctx.Err())
	}
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

// waitForLink blocks while the link is partitioned.
func (n *Network) waitForLink(ctx context.Context, a, b netip.Addr) error {
	for {
		n.mu.Lock()
		partition, changed := n.partition, n.partitionChanged
		n.mu.Unlock()
		if partition == nil || !partition(a, b) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Partition blackholes the open connections on the links for good, and blocks dials
// over them until Heal. It replaces an earlier partition.
func (n *Network) Partition(link Link) {
	n.Blackhole(link)
	n.setPartition(link)
}

// Heal ends a partition. Blackholed connections remain so.
func (n *Network) Heal() { n.setPartition(nil) }

func (n *Network) setPartition(link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = link
	close(n.partitionChanged)
	n.partitionChanged = make(chan struct{})
}

// BlockDials blocks new dials over the links until Heal, and leaves open connections alone.
func (n *Network) BlockDials(link Link) { n.setPartition(link) }

// RefuseDials refuses new dials over the links, and leaves open connections alone. Nil ends it.
func (n *Network) RefuseDials(link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = link
}

// Blackhole makes the open connections on the links lose everything that is written
// to them, without an error at either end. New connections work.
func (n *Network) Blackhole(link Link) {
	for _, c := range n.listConnections() {
		if c.matches(link) {
			c.blackholed.Store(true)
		}
	}
}

// Reset closes the open connections on the links.
func (n *Network) Reset(link Link) {
	n.resetMatching(func(c *connection) bool { return c.matches(link) })
}

// Close closes every open connection, including the blackholed ones.
func (n *Network) Close() { n.resetMatching(func(*connection) bool { return true }) }

// resetMatching closes the open connections that match.
func (n *Network) resetMatching(match func(c *connection) bool) {
	for _, c := range n.listConnections() {
		if match(c) {
			c.close()
		}
	}
}

// listConnections returns the open connections. Links are matched without the network's lock, since
// they may ask for locks of their own.
func (n *Network) listConnections() []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.connections))
}
