package qflease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"quetzalfront/internal/qf"
)

// Candidates is the number of nodes that try to get one lease, so that reads and
// writes don't grow with the number of nodes.
const Candidates = 3

// Rank returns the node's place among the candidates for a duty, or
// NotCandidate. All nodes that see the same live nodes agree on it, and the
// duties are spread evenly over them.
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
