package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// peerNews keeps how often and from how many peers news comes.
type peerNews struct {
	peers map[qf.NodeID]time.Time
}

const (
	// equalWork is the unseen work, in seconds, below which scores count as equal.
	equalWork = 0.001
	// blindTime is how long a node doesn't see what peers send: half an exchange
	// and the way.
	blindTime = 300 * time.Millisecond
	// levelRounds bounds the rounds in which the water level is found.
	levelRounds = 4
)

// unseenWork is the prefill time, in seconds, that peers may have sent to one
// candidate since their last news. Peers are taken to be as busy as this node,
// and to spread their requests.
func (p *Predictive) unseenWork(pool *pool, candidates int, now time.Time) float64 {
	return equalWork + p.unseenRequests(pool, now)*pool.prefill/float64(candidates)
}

func (p *Predictive) unseenRequests(pool *pool, now time.Time) float64 {
	peers := 0
	for _, at := range p.news.peers {
		if now.Sub(at) < peerNewsFor {
			peers++
		}
	}
	return float64(peers) * pool.rateOf(now) * blindTime.Seconds()
}

// draw picks a candidate at random, with weights that would even out the queues
// if every node spread the unseen work in this way: candidates are filled up to
// a common level, and each weighs as much as it takes. So nodes with the same
// late reports don't pick the same endpoint, and one without peers picks the
// best.
func (p *Predictive) draw(list []*endpoint, work float64) int {
	level := p.level(len(list), work)
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

// level finds the score up to which the work fills the best candidates.
func (p *Predictive) level(count int, work float64) float64 {
	level := p.scores[0]
	for i := range count {
		level = min(level, p.scores[i])
	}
	level += work
	for range levelRounds {
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
