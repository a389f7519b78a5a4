package qfmember

import (
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// ZoneRelay is the node through which a zone's counts pass.
type ZoneRelay struct {
	Node qf.Node
	// Covers is the number of the zone's nodes that aren't dead.
	Covers int
}

// Relays says through whom a large fleet adds up its counts: members tell the relay of
// their zone, and the relays tell each other.
type Relays struct {
	// IsSelf says that this node is its zone's relay; Own is that relay otherwise.
	IsSelf bool
	Own    qf.Node
	// Others are the relays of all other zones.
	Others []ZoneRelay
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
	zones := map[qf.AvailabilityZone]*ZoneRelay{}
	for _, p := range m.peers {
		state := m.stateOf(now, p)
		if state == qf.NodeDead {
			continue
		}
		r.Nodes++
		z := zones[p.node.AvailabilityZone]
		if z == nil {
			z = &ZoneRelay{}
			zones[p.node.AvailabilityZone] = z
		}
		z.Covers++
		isBetter := z.Node.ID == "" || p.node.ID < z.Node.ID
		if state == qf.NodeLive && isBetter && !avoid(p.node.ID) {
			z.Node = p.node
		}
	}
	for zone, z := range zones {
		switch {
		case z.Node.ID == "":
		case zone != m.self.AvailabilityZone:
			r.Others = append(r.Others, *z)
		case !r.IsSelf || z.Node.ID < m.self.ID:
			r.IsSelf, r.Own = false, z.Node
		}
	}
	slices.SortFunc(r.Others, func(a, b ZoneRelay) int { return strings.Compare(string(a.Node.ID), string(b.Node.ID)) })
	return r
}
