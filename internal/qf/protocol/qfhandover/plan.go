package qfhandover

import (
	"cmp"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// Candidate is a request that can be handed over.
type Candidate struct {
	ID       qf.RequestID
	Deadline time.Time
	// Shadow is the peer that holds the request's shadow, if any. Handing over to it
	// transfers the fewest bytes.
	Shadow qf.NodeID
	// Excluded lists the peers that didn't accept the request before.
	Excluded []qf.NodeID
}

// Batch is the requests that are offered to one peer in one call.
type Batch struct {
	Peer     qf.Node
	Requests []qf.RequestID
}

const (
	// MaxBatch is the maximum number of requests in one call. It is small so that a lost
	// call costs little time and the first answers arrive early.
	MaxBatch = 32
	// maxSharePercent is the maximum share of a peer, in percent of its even share.
	maxSharePercent = 125
)

// PlanBatches assigns requests to peers. Batches are ordered by the earliest deadline in
// them. A request is assigned to the peer that holds its shadow, else to the first peer in
// its rank order that has less than its maximum share, so that a leaving node doesn't
// overload one peer.
func PlanBatches(candidates []Candidate, peers []qf.Node) []Batch {
	if len(peers) == 0 {
		return nil
	}
	ordered := slices.Clone(candidates)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	p := &planner{bound: maxRequestsPerPeer(len(ordered), len(peers)), load: map[qf.NodeID]int{}, open: map[qf.NodeID]int{}}
	for i := range ordered {
		if peer, ok := p.choose(&ordered[i], peers); ok {
			p.add(peer, ordered[i].ID)
		}
	}
	return p.batches
}

// maxRequestsPerPeer returns the maximum number of requests for one peer: its even share
// plus a quarter, rounded up.
func maxRequestsPerPeer(requests, peers int) int {
	const hundred = 100
	return (requests*maxSharePercent + hundred*peers - 1) / (hundred * peers)
}

// planner holds the state of one call of PlanBatches.
type planner struct {
	bound int
	load  map[qf.NodeID]int
	// open holds the index of each peer's latest batch.
	open    map[qf.NodeID]int
	batches []Batch
}

// choose returns the peer for a request, or false if all peers are excluded. If all
// eligible peers are at the bound, it returns the least loaded one.
func (p *planner) choose(c *Candidate, peers []qf.Node) (qf.Node, bool) {
	var fallback qf.Node
	for _, peer := range RankPeers(c.ID, peers) {
		if slices.Contains(c.Excluded, peer.ID) {
			continue
		}
		if peer.ID == c.Shadow {
			return peer, true
		}
		if fallback.ID == "" || p.load[fallback.ID] >= p.bound && p.load[peer.ID] < p.load[fallback.ID] {
			fallback = peer
		}
	}
	return fallback, fallback.ID != ""
}

// add adds a request to the peer's latest batch, or to a new one if that is full.
func (p *planner) add(peer qf.Node, id qf.RequestID) {
	p.load[peer.ID]++
	i, ok := p.open[peer.ID]
	if !ok || len(p.batches[i].Requests) == MaxBatch {
		i = len(p.batches)
		p.batches = append(p.batches, Batch{Peer: peer})
		p.open[peer.ID] = i
	}
	p.batches[i].Requests = append(p.batches[i].Requests, id)
}
