package qf

import (
	"context"
	"net"
	"net/netip"
)

// Dial opens a connection. It has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Listen opens a listener.
type Listen func(ctx context.Context, address netip.AddrPort) (net.Listener, error)

// Network opens connections and listeners, so that a process can run on a simulated
// network.
type Network struct {
	// Dial and Listen are never nil.
	Dial   Dial
	Listen Listen
}

// TCP returns the machine's TCP network.
func TCP() Network {
	return Network{
		Dial: (&net.Dialer{}).DialContext,
		Listen: func(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
			return (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
		},
	}
}
