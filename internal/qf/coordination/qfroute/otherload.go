package qfroute

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// othersFor is how long a report of an endpoint of an uneven pool is used for the load of other nodes there, rather than
// what they send of it.
const othersFor = time.Second

const (
	// minHeld bounds the time that requests are in progress.
	minHeld = time.Millisecond
	// meanOthersSamples is the number whose inverse is the weight of a report in the mean load of other nodes.
	meanOthersSamples = 64
)

// recordOwnLoad records this node's load in progress.
func (m *timing) recordOwnLoad(at time.Time, own load) {
	if m.ownLoads == nil {
		m.ownLoads = &history{}
	}
	m.ownLoads.record(at, own)
}

// recordOthers records the load of other nodes by a report. One that states no tokens has a mean request's for each that
// waits.
func (m *timing) recordOthers(made time.Time, r *qf.LoadReport, meanTokens float64) {
	reported := load{requests: float64(r.Running + r.Queued), tokens: float64(r.QueuedTokens)}
	if r.QueuedTokens == 0 {
		reported.tokens = float64(r.Queued) * meanTokens
	}
	if m.ownLoads != nil {
		reported = reported.minus(m.ownLoads.at(made))
	}
	m.others = reported.atLeast(load{})
}

// heldSeconds returns how long a request is in progress, in seconds.
func (p *pool) heldSeconds() float64 {
	return max(p.decodeTime.Seconds()+p.serviceSeconds, minHeld.Seconds())
}

// estimateByReport returns this node's load, with that of the others by the last report or by what they send. The requests
// of a report end meanwhile and others begin, so that their number goes to the pool's mean.
func (e *endpoint) estimateByReport(now time.Time) load {
	if e.reportAt.IsZero() || now.Sub(e.reportAt) > othersFor {
		return e.knownLoad()
	}
	others, mean := e.timing.others, e.pool.meanOthers
	others.requests = mean + (others.requests-mean)*math.Exp(-now.Sub(e.reportAt).Seconds()/e.pool.heldSeconds())
	return e.own.plus(others)
}
