package qfroute

import "time"

// loadReportDelay is the mean age of what a node knows of the requests of others at an uneven pool's endpoints, which
// report their load with each answer.
const loadReportDelay = 100 * time.Millisecond

// unreportedFor returns the time for which peers' requests at the pool aren't known.
func (p *pool) unreportedFor() time.Duration {
	if p.isUneven {
		return loadReportDelay
	}
	return peerReportDelay
}

// drawByFactor picks a candidate at random, weighted by water-filling as drawCandidate does, but an endpoint takes less of
// the work the longer work takes there.
func (p *Predictive) drawByFactor(list []*endpoint, work float64) int {
	level := p.fillLevelByFactor(list, work)
	drawn := p.random.Float64() * work
	best := 0
	for i, e := range list {
		if p.scores[i] < p.scores[best] {
			best = i
		}
		room := (level - p.scores[i]) / e.timeFactor()
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

// fillLevelByFactor returns the common score that the lowest-scored candidates reach when the work is spread over them.
func (p *Predictive) fillLevelByFactor(list []*endpoint, work float64) float64 {
	level := p.scores[0]
	slowest := 0.0
	for i, e := range list {
		level = min(level, p.scores[i])
		slowest = max(slowest, e.timeFactor())
	}
	level += work * slowest
	for range maxLevelRounds {
		sum, share := work, 0.0
		for i, e := range list {
			if p.scores[i] < level {
				sum += p.scores[i] / e.timeFactor()
				share += 1 / e.timeFactor()
			}
		}
		next := sum / share
		if next >= level {
			break
		}
		level = next
	}
	return level
}
