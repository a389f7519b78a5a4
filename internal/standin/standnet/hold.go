package standnet

import "net/netip"

// Hold makes an address receive nothing that is sent or closed from now on, like a process that doesn't come to
// read, until the returned function is called. New connections to the address are accepted.
func (n *Network) Hold(address netip.Addr) (release func()) {
	held := make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holds[address] = held
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.holds, address)
		close(held)
	}
}

// holdOf returns the channel that is closed when the address receives again, or nil if it does.
func (n *Network) holdOf(address netip.Addr) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holds[address]
}
