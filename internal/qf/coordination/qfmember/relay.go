package qfmember

import (
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// maxDeputies is the number of nodes that may soon be a zone's relay, or were it a short time ago.
const maxDeputies = 4

// Relays holds the relays through which a large fleet adds up its counts: members report
// to the relay of their zone, and the relays exchange the sums.
type Relays struct {
	// IsSelf is true if this node is its zone's relay. Own is the zone's relay.
	IsSelf bool
	Own    qf.Node
	// Others are the relays of all other zones.
	Others []qf.Node
	// Deputies are the live nodes of the own zone, besides this one, that come first, at most maxDeputies: the
	// relay, or those that become it when this one ends, or were it until this one started.
	Deputies []qf.Node
	// Nodes is the number of nodes that aren't dead, this one included.
	Nodes int
	// Lost is the number of nodes that went silent without notice less than lostFor ago and count as dead: they
	// may be cut off from this node, and go on elsewhere.
	Lost int
}

// lostFor is how long a node that went silent may be cut off rather than gone.
const lostFor = 30 * time.Second

// IsGrouped reports whether the fleet is too large for full exchanges, so that nodes
// exchange through relays.
func (m *Membership) IsGrouped() bool { return m.isGrouped() }

// Relays returns the relays in this node's view: of each zone the live node with the
// lowest identifier, except nodes to be avoided.
func (m *Membership) Relays(now time.Time, avoid func(qf.NodeID) bool) Relays {
	r := Relays{Nodes: 1, IsSelf: m.self.State != qf.NodeLeaving, Own: m.self}
	zones := map[qf.AvailabilityZone]qf.Node{}
	for _, p := range m.ownZone() {
		if len(r.Deputies) < maxDeputies && m.stateOf(now, p) == qf.NodeLive && !avoid(p.node.ID) {
			r.Deputies = append(r.Deputies, p.node)
		}
	}
	for _, p := range m.peers {
		state := m.stateOf(now, p)
		if state == qf.NodeDead {
			if m.isLost(now, p) {
				r.Lost++
			}
			continue
		}
		r.Nodes++
		zone := p.node.AvailabilityZone
		known, ok := zones[zone]
		if state == qf.NodeLive && (!ok || p.node.ID < known.ID) && !avoid(p.node.ID) {
			zones[zone] = p.node
		}
	}
	for zone, relay := range zones {
		switch {
		case zone != m.self.AvailabilityZone:
			r.Others = append(r.Others, relay)
		case !r.IsSelf || relay.ID < m.self.ID:
			r.IsSelf, r.Own = false, relay
		}
	}
	slices.SortFunc(r.Others, func(a, b qf.Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return r
}

// isLost reports whether a dead node may be cut off from this one.
func (m *Membership) isLost(now time.Time, p *member) bool {
	age, _ := m.updateAge(now, p)
	return age < lostFor && p.node.State != qf.NodeLeaving && !m.isVMDeparting(&p.node)
}
