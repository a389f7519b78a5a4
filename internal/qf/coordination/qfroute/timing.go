package qfroute

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// timing is what the router knows of how long work takes at an endpoint of an uneven pool. Its parts live for different
// times: speed for the incarnation, noise for some hundred milliseconds, deviation for the last answers.
type timing struct {
	speed speed
	noise noise
	// deviation is the moving average of the logarithm of the ratio of measured times to those predicted from speed and
	// noise. Only it ejects an endpoint.
	deviation float64
	// slowSince is when the deviation last rose above that of the pool by slowdownToEject, zero if it is below.
	slowSince time.Time
	// ownLoads is this node's load in progress over time, nil until the pool is uneven, and others that of other nodes
	// by the last report.
	ownLoads *history
	others   load
	// places is the number of requests that the endpoint states to run at once, 0 if it doesn't.
	places float64
	// factor is how many times as long as the mean of the version work takes, as of the last update.
	factor float64
}

const (
	// maxDeviation bounds the ratio of a measured time to the predicted one, in both directions.
	maxDeviation = 20.0
	// poolDeviationSamples is the number whose inverse is the weight of an answer in a pool's deviation.
	poolDeviationSamples = 64
	// slowFor is how long an endpoint is slower than predicted until it is ejected.
	slowFor = 1500 * time.Millisecond
	// deviationBand is the deviation, as a logarithm, up to which it doesn't count in choices.
	deviationBand = 0.25
)

// update computes the factor.
func (m *timing) update(now time.Time) {
	m.factor = m.speed.factor() * m.noise.factor(now) * math.Exp(m.choiceDeviation())
}

// choiceDeviation returns the part of the deviation that counts in choices.
func (m *timing) choiceDeviation() float64 {
	return min(m.deviation+deviationBand, 0) + max(m.deviation-deviationBand, 0)
}

// timeFactor returns how many times as long as the mean of its version work takes at the endpoint.
func (e *endpoint) timeFactor() float64 {
	factor := e.slowdown
	if e.pool.isUneven {
		factor = e.timing.factor
	}
	if e.isCold {
		factor *= coldSlowdown
	}
	return factor
}

// updateTimes updates the factors of candidates of uneven pools.
func updateTimes(list []*endpoint, now time.Time) {
	for _, e := range list {
		if e.pool.isUneven {
			e.timing.update(now)
			e.refresh(now)
		}
	}
}

// recordStated records what an endpoint of an uneven pool states of its machine.
func (e *endpoint) recordStated(made, now time.Time, r *qf.LoadReport) {
	if r.Slowdown > 0 {
		e.timing.noise.record(made, r.Slowdown)
	}
	e.timing.places = float64(r.Slots)
	e.timing.recordOthers(made, r, e.pool.meanTokens)
	e.pool.meanOthers += (e.timing.others.requests - e.pool.meanOthers) / meanOthersSamples
	e.timing.update(now)
}

// markUneven makes a pool uneven, and with it that of all versions of the entry.
func (p *Predictive) markUneven(now time.Time, uneven *pool) {
	if uneven.isUneven {
		return
	}
	uneven.isUneven, p.hasUneven = true, true
	if all := p.pools[poolKey{entry: uneven.key.entry}]; all != nil {
		all.isUneven = true
	}
	for _, e := range uneven.members {
		e.timing.recordOwnLoad(now, e.own)
		e.timing.update(now)
	}
}

// recordTiming updates speed, noise and deviation with the time to a first token.
func (e *endpoint) recordTiming(at time.Time, a *attempt, took time.Duration) {
	m := &e.timing
	lasting := m.speed.factor()
	stated := (a.noise + m.noise.stated(at)) / 2
	unit := (a.work*e.pool.perTokenSeconds + e.pool.serviceSeconds) * lasting
	fixed := (a.fixed + slowdownFloor).Seconds()
	deviate := func(noise float64) float64 {
		ratio := (took + slowdownFloor).Seconds() / (fixed + unit*noise)
		return math.Log(min(max(ratio, 1/maxDeviation), maxDeviation))
	}
	used, deviation := stated, deviate(stated)
	m.noise.recordDeviations(stated, deviation, deviate(1))
	if !m.noise.isConfirmed() {
		used, deviation = 1, deviate(1)
	}
	m.speed.record(m.speed.merged+deviation, unit*used/(fixed+unit*used))
	m.deviation += (deviation - m.deviation) / endpointSamples
	e.pool.deviation += (m.deviation - e.pool.deviation) / poolDeviationSamples
	switch isSlow := math.Exp(m.deviation-e.pool.deviation) > slowdownToEject; {
	case !isSlow:
		m.slowSince = time.Time{}
	case m.slowSince.IsZero():
		m.slowSince = at
	}
	e.pool.recordUnit(a.work, max(took-a.fixed, 0).Seconds()/(lasting*used))
	m.update(at)
}

// centreSpeeds moves the speeds of an uneven pool's members so that their mean is 1; the pool's times keep the products.
func (p *pool) centreSpeeds() {
	if !p.isUneven || len(p.members) == 0 || p != p.members[0].pool {
		return
	}
	mean := 0.0
	for _, e := range p.members {
		mean += e.timing.speed.merged
	}
	mean /= float64(len(p.members))
	for _, e := range p.members {
		e.timing.speed.shift(mean)
	}
	p.perTokenSeconds *= math.Exp(mean)
	p.serviceSeconds *= math.Exp(mean)
}
