package qfreach

import (
	"math/rand/v2"

	"quetzalfront/internal/qf"
)

// Candidate is a node through which requests may be sent.
type Candidate struct {
	Node qf.Node
	// InProgress is the number of this node's requests in progress through it.
	InProgress int
}

// The weights of candidates: near ones are preferred, but not so much that a few of them get the
// requests of all nodes of a zone that is cut off.
const (
	sameZoneWeight   = 4.0
	sameRegionWeight = 2.0
	otherWeight      = 1.0
)

// ChoosePeer draws two candidates and returns the one with less to do, so that the requests of
// nodes that are cut off are spread over those that aren't. It returns false if there is none.
func ChoosePeer(random *rand.Rand, self *qf.Node, candidates []Candidate) (qf.Node, bool) {
	if len(candidates) == 0 {
		return qf.Node{}, false
	}
	first, second := draw(random, self, candidates), draw(random, self, candidates)
	if second.load() < first.load() {
		first = second
	}
	return first.Node, true
}

// PreferOtherZones leaves out the candidates in zones whose nodes have failed to serve the request, if
// others are left: a zone may be cut off as a whole.
func PreferOtherZones(candidates []Candidate, failed map[qf.AvailabilityZone]bool) []Candidate {
	var others []Candidate
	for i := range candidates {
		if !failed[candidates[i].Node.AvailabilityZone] {
			others = append(others, candidates[i])
		}
	}
	if len(others) == 0 {
		return candidates
	}
	return others
}

func (c *Candidate) load() int { return c.InProgress + c.Node.Load }

func draw(random *rand.Rand, self *qf.Node, candidates []Candidate) *Candidate {
	total := 0.0
	for i := range candidates {
		total += weightOf(self, &candidates[i].Node)
	}
	drawn := random.Float64() * total
	for i := range candidates {
		if drawn -= weightOf(self, &candidates[i].Node); drawn < 0 {
			return &candidates[i]
		}
	}
	return &candidates[len(candidates)-1]
}

func weightOf(self, node *qf.Node) float64 {
	switch {
	case node.AvailabilityZone == self.AvailabilityZone:
		return sameZoneWeight
	case node.Region == self.Region:
		return sameRegionWeight
	default:
		return otherWeight
	}
}

const (
	// minFromPeers and fromPeersFactor bound the requests in progress that a node takes from peers: a
	// number, and a multiple of those of its own callers.
	minFromPeers    = 32
	fromPeersFactor = 2
)

// MayAcceptFromPeers reports whether a node takes one more request from a peer.
func MayAcceptFromPeers(fromPeers, own int) bool { return fromPeers < minFromPeers+fromPeersFactor*own }
