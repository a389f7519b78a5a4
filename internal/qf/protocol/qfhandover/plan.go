package qfhandover

import (
	"cmp"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// Candidate is a request that can move.
type Candidate struct {
	ID       qf.RequestID
	Deadline time.Time
	// Shadow is the peer that holds the request's shadow, if any does. It needs
	// the least bytes to take over.
	Shadow qf.NodeID
	// Excluded lists peers that didn't take the request before.
	Excluded []qf.NodeID
}

// Batch is what one peer is offered in one call.
type Batch struct {
	Peer     qf.Node
	Requests []qf.RequestID
}

const (
	// MaxBatch bounds the requests of one call, so that a lost call loses little
	// time and the first answers come soon.
	MaxBatch = 32
	// loadBound is how much more than its even share a peer may get, in hundredths.
	loadBound = 125
)

// PlanBatches assigns requests to peers. Batches come in the order of the most urgent
// deadline in them. A request goes to the peer that has its shadow, else to the
// first peer of its rank that has less than its bounded share, so that a node
// that leaves doesn't bury one peer.
func PlanBatches(candidates []Candidate, peers []qf.Node) []Batch {
	if len(peers) == 0 {
		return nil
	}
	ordered := slices.Clone(candidates)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	p := &planner{bound: shareBound(len(ordered), len(peers)), load: map[qf.NodeID]int{}, open: map[qf.NodeID]int{}}
	for i := range ordered {
		if peer, ok := p.choose(&ordered[i], peers); ok {
			p.add(peer, ordered[i].ID)
		}
	}
	return p.batches
}

// shareBound is the most requests that one peer gets: its even share and a
// quarter, rounded up.
func shareBound(requests, peers int) int {
	const hundred = 100
	return (requests*loadBound + hundred*peers - 1) / (hundred * peers)
}

// planner is one run of Plan.
type planner struct {
	bound int
	load  map[qf.NodeID]int
	// open is the index of a peer's batch that has room.
	open    map[qf.NodeID]int
	batches []Batch
}

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
