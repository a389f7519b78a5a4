package qfmember

import (
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// Relays says through whom a large fleet adds up its counts: members tell the relay of
// their zone, and the relays tell each other.
type Relays struct {
	// IsSelf says that this node is its zone's relay; Own is that relay otherwise.
	IsSelf bool
	Own    qf.Node
	// Others are the relays of all other zones.
	Others []qf.Node
	// Nodes is the number of nodes that aren't dead, this one included.
	Nodes int
}

// IsGrouped reports whether the fleet is too large for everybody to tell everybody
// everything.
func (m *Membership) IsGrouped() bool { return m.isGrouped() }

// Relays returns the relays as this node sees them: of each zone the live node whose
// name comes first, those left out that are to be avoided.
func (m *Membership) Relays(now time.Time, avoid func(qf.NodeID) bool) Relays {
	r := Relays{Nodes: 1, IsSelf: m.self.State != qf.NodeLeaving, Own: m.self}
	zones := map[qf.AvailabilityZone]qf.Node{}
	for _, p := range m.peers {
		state := m.stateOf(now, p)
		if state == qf.NodeDead {
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
