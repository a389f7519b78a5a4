package qf

import "net/netip"

// Recipient is the node to which a digest is sent. Of a seed of the settings only the address is known.
type Recipient struct {
	address netip.AddrPort
	// node is the zero value unless isKnown is true.
	node    Node
	isKnown bool
}

// SeedRecipient returns the recipient at the address of a seed, of which nothing else is known.
func SeedRecipient(address netip.AddrPort) Recipient { return Recipient{address: address} }

// NodeRecipient returns a node as the recipient.
func NodeRecipient(node *Node) Recipient {
	return Recipient{address: node.PeerAddress, node: *node, isKnown: true}
}

// Address returns the address of the recipient, on the port for peers.
func (r *Recipient) Address() netip.AddrPort { return r.address }

// Node returns the node, and whether it is known.
func (r *Recipient) Node() (node Node, isKnown bool) { return r.node, r.isKnown }

// IsInZone reports whether the recipient is known to be in an availability zone.
func (r *Recipient) IsInZone(zone AvailabilityZone) bool {
	return r.isKnown && r.node.AvailabilityZone == zone
}
