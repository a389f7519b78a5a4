package qflease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"quetzalfront/internal/qf"
)

// Candidates is the number of nodes that try to acquire one lease. It is fixed so that
// reads and writes don't grow with the number of nodes.
const Candidates = 3

// Rank returns the node's rank among the candidates for a duty, 0 for the first, or
// NotCandidate. It uses rendezvous hashing: all nodes with the same view of the live
// nodes agree on it, duties are spread evenly over them, and a node that joins or
// leaves moves only its share.
func Rank(duty string, self qf.NodeID, live []qf.NodeID) int {
	rest := make([]string, 0, len(live))
	for _, id := range live {
		rest = append(rest, string(id))
	}
	slices.Sort(rest)
	for rank := range min(Candidates, len(rest)) {
		first := rendezvous.New(rest, xxhash.Sum64String).Lookup(duty)
		if first == string(self) {
			return rank
		}
		rest = slices.DeleteFunc(rest, func(id string) bool { return id == first })
	}
	return NotCandidate
}
