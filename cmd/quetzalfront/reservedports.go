package main

import (
	"context"
	"net"
	"net/netip"

	"quetzalfront/internal/qf"
)

// reservedPorts holds listeners on free loopback ports until a node listens on them, so that no other socket of the machine
// gets one of the ports in between. It isn't safe for concurrent use.
type reservedPorts map[netip.AddrPort]net.Listener

// reserve reserves a free port and returns its address.
func (p reservedPorts) reserve() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	p[address] = listener
	return address, nil
}

// wrap returns a function that hands out the listener of a reserved port once, and listens with the given one otherwise.
func (p reservedPorts) wrap(listen qf.Listen) qf.Listen {
	return func(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
		if listener, isReserved := p[address]; isReserved {
			delete(p, address)
			return listener, nil
		}
		return listen(ctx, address)
	}
}

// close frees the ports on which nothing has listened.
func (p reservedPorts) close() {
	for _, listener := range p {
		_ = listener.Close() // It has accepted no connection.
	}
}
