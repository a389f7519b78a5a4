package qfmember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

// partners returns the members with which this node exchanges, at most the given number: those that rank
// first by a hash of both ends, so that a node keeps its partners while others come and go. Dead ones are left out.
func (m *Membership) partners(now time.Time, members []*member, most int) []qf.Node {
	type ranked struct {
		rank uint64
		node *qf.Node
	}
	own := hashOf(&m.self)
	var list []ranked
	for _, p := range members {
		if m.stateOf(now, p) != qf.NodeDead {
			list = append(list, ranked{rank: rankOf(own, p.hash), node: &p.node})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	list = list[:min(most, len(list))]
	nodes := make([]qf.Node, len(list))
	for i := range list {
		nodes[i] = *list[i].node
	}
	return nodes
}

// rankOf returns the rank of a member among the partners of another. It differs in the two directions, so
// that the fleet stays connected.
func rankOf(from, to uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], from)
	binary.LittleEndian.PutUint64(b[8:], to)
	return xxhash.Sum64(b[:])
}
