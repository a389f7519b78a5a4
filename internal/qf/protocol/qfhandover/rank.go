// Package qfhandover decides how requests change their owner: which peer receives a
// request or its shadow, in which order, and which copy of a record is current. It does no
// I/O and reads no clock.
package qfhandover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

// RankPeers orders peers for a request by rendezvous hashing. Every node computes the same
// order, so that it can query the likely owners of a handed-over request first.
func RankPeers(id qf.RequestID, peers []qf.Node) []qf.Node {
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b qf.Node) int {
		if c := cmp.Compare(score(id, b.ID), score(id, a.ID)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ranked
}

// score is the rendezvous hash of a request and a node.
func score(id qf.RequestID, node qf.NodeID) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(node))
}

// Successors returns the peers that may take over requests from a node: live, with an
// address for callers, and outside its availability zone. If there are none, it returns
// such peers in the same zone.
func Successors(self qf.Node, peers []qf.Node) []qf.Node {
	var others, same []qf.Node
	for _, p := range peers {
		switch {
		case p.State != qf.NodeLive || !p.CallerAddress.IsValid() || p.ID == self.ID:
		case p.AvailabilityZone == self.AvailabilityZone:
			same = append(same, p)
		default:
			others = append(others, p)
		}
	}
	if len(others) > 0 {
		return others
	}
	return same
}
