// Package qfshare divides what endpoints take among the nodes of a fleet without messages: each unit,
// such as a request's turn or a place at an endpoint, belongs to the node for which a hash of the
// unit and the node, weighted by the nodes' demand, is highest. Nodes that differ about the
// members of the fleet for a moment differ about the units of those members only.
package qfshare

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

// Table holds the members of the fleet, their demand and their shares. All times are the fleet's. It
// isn't safe for concurrent use.
type Table struct {
	self qf.NodeID
	// members are empty until the members of the fleet are known: until then, the node has no
	// shares.
	members []member
	// lostAt is when most of the members were missing at once, or zero.
	lostAt  time.Time
	demands demands
	// shares holds the members' shares by entry. They are dropped when the members change.
	shares map[qf.EntryName]*Shares
}

// member is one node of the fleet.
type member struct {
	id   qf.NodeID
	hash uint64
}

// NewTable returns a table of a node that doesn't know the members of its fleet.
func NewTable(self qf.NodeID) *Table {
	return &Table{self: self, demands: newDemands(), shares: map[qf.EntryName]*Shares{}}
}

// lossHold is how long a node that loses most of its peers at once keeps their shares free: it
// may be cut off from peers that still send.
const lossHold = time.Minute

// SetMembers sets the nodes that share, this one included, in the same order at all nodes.
func (t *Table) SetMembers(now time.Time, nodes []qf.NodeID) {
	if t.hasMembers(nodes) {
		t.lostAt = time.Time{}
		return
	}
	if 2*len(nodes) <= len(t.members) {
		if t.lostAt.IsZero() {
			t.lostAt = now
		}
		if now.Sub(t.lostAt) < lossHold {
			return
		}
	}
	t.lostAt = time.Time{}
	t.members = make([]member, len(nodes))
	for i, id := range nodes {
		t.members[i] = member{id: id, hash: xxhash.Sum64String(string(id))}
	}
	clear(t.shares)
}

// CountMembers returns the number of members, this node included.
func (t *Table) CountMembers() int { return len(t.members) }

func (t *Table) hasMembers(nodes []qf.NodeID) bool {
	if len(nodes) != len(t.members) {
		return false
	}
	for i, id := range nodes {
		if t.members[i].id != id {
			return false
		}
	}
	return true
}
