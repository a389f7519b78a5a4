package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// peerTracker holds when each peer last sent a load update, to count the active peers.
type peerTracker struct {
	lastReport map[qf.NodeID]time.Time
}

const (
	// minUnreportedWork is added to the unreported work, in seconds, so that endpoints
	// whose scores differ by less share the requests even without peers.
	minUnreportedWork = 0.001
	// peerReportDelay is how long it takes until a node receives a peer's load on
	// average: half a gossip interval and the network delay.
	peerReportDelay = 300 * time.Millisecond
	// maxLevelRounds bounds the iterations that compute the fill level.
	maxLevelRounds = 4
)

// unreportedWork estimates the prefill time, in seconds, that peers have sent to one
// candidate since their last load updates. Peers are assumed to have the same request
// rate as this node, and to spread their requests evenly.
func (p *Predictive) unreportedWork(pool *pool, candidates int, now time.Time) float64 {
	return minUnreportedWork + p.unreportedRequests(pool, now)*pool.prefillSeconds/float64(candidates)
}

// unreportedRequests estimates the requests that active peers have sent to the pool
// since their last load updates.
func (p *Predictive) unreportedRequests(pool *pool, now time.Time) float64 {
	peers := 0
	for _, at := range p.peers.lastReport {
		if now.Sub(at) < peerLoadMaxAge {
			peers++
		}
	}
	return float64(peers) * pool.requestRate(now) * pool.unreportedFor().Seconds()
}

// drawCandidate picks a candidate at random, weighted by water-filling: the unreported
// work raises the lowest scores to a common level, and each candidate's weight is its
// share of that work. Nodes with the same outdated reports therefore don't all pick the
// same endpoint, while a node without peers picks the best one.
func (p *Predictive) drawCandidate(list []*endpoint, work float64) int {
	level := p.fillLevel(len(list), work)
	drawn := p.random.Float64() * work
	best := 0
	for i := range list {
		if p.scores[i] < p.scores[best] {
			best = i
		}
		room := level - p.scores[i]
		if room <= 0 {
			continue
		}
		if drawn < room {
			return i
		}
		drawn -= room
	}
	return best
}

// fillLevel returns the common score that the lowest-scored candidates reach when the
// work is spread over them.
func (p *Predictive) fillLevel(count int, work float64) float64 {
	level := p.scores[0]
	for i := range count {
		level = min(level, p.scores[i])
	}
	level += work
	for range maxLevelRounds {
		sum, below := work, 0
		for i := range count {
			if p.scores[i] < level {
				sum += p.scores[i]
				below++
			}
		}
		next := sum / float64(below)
		if next >= level {
			break
		}
		level = next
	}
	return level
}
