package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// health is the circuit breaker of one endpoint, for failures and slowness.
type health struct {
	state qf.HealthState
	// failures counts the failures since the last success; failureRate is the moving
	// average of the share of attempts that fail.
	failures    int
	failureRate float64
	// samples counts the first tokens since trials last began.
	samples int
	// tokenSlowdown is the moving average of the ratio of the time between tokens to the
	// pool's.
	tokenSlowdown float64
	// ejections counts the ejections since the endpoint was last restored; each doubles
	// the duration of the next.
	ejections int
	// until is when the ejection ends and trials begin.
	until time.Time
	// runningTrials counts the trial attempts in progress, and passedTrials those that
	// succeeded.
	runningTrials, passedTrials int
}

const (
	failuresToEject    = 4
	failureRateToEject = 0.5
	failureRateSamples = 8
	// slowdownToEject is how many times slower than its pool an endpoint may be.
	slowdownToEject = 3.0
	slowdownSamples = 6
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	// trialsToRestore is the number of successful trials that restore an endpoint.
	trialsToRestore = 2
	// maxEjectedDivisor limits the share of a pool that is ejected or on trial to one over
	// this number, but allows at least one endpoint.
	maxEjectedDivisor = 3
)

// isAvailable reports whether the endpoint is healthy, or due for a trial attempt.
func (h *health) isAvailable() bool {
	return h.state == qf.HealthGood || h.state == qf.HealthHalfOpen && h.runningTrials == 0
}

// isFailing reports whether this node's own attempts at the endpoint keep failing.
func (h *health) isFailing() bool { return h.failures >= failuresToEject }

// recordOutcome counts a finished attempt, and ejects the endpoint if too many fail.
func (p *Predictive) recordOutcome(e *endpoint, a *attempt, ok bool) {
	h := &e.health
	failed := 1.0
	if ok {
		failed = 0
		h.failures = 0
	} else {
		h.failures++
	}
	h.failureRate += (failed - h.failureRate) / failureRateSamples
	if a.isTrial && h.state == qf.HealthHalfOpen {
		p.recordTrialOutcome(e, ok)
		return
	}
	if h.state == qf.HealthGood && !ok && (h.isFailing() || h.failureRate > failureRateToEject) {
		p.eject(e, e.failureCause())
	}
}

// recordTrialOutcome ejects the endpoint again after a failed trial, and restores it
// after enough successful ones.
func (p *Predictive) recordTrialOutcome(e *endpoint, ok bool) {
	h := &e.health
	h.runningTrials = 0
	if !ok {
		p.eject(e, e.failureCause())
		return
	}
	h.passedTrials++
	if h.passedTrials >= trialsToRestore {
		h.ejections = 0
		p.setHealth(e, qf.HealthGood, "")
	}
}

// failureCause returns the cause of this node's failures, given the results of peers.
func (e *endpoint) failureCause() qf.HealthCause {
	failing := false
	for i := range e.peerLoads {
		if e.peerLoads[i].answered && !e.peerLoads[i].failing {
			return qf.CauseUnreachable
		}
		failing = failing || e.peerLoads[i].failing
	}
	if failing {
		return qf.CauseDown
	}
	return qf.CauseFailing
}

// peersToEject is the number of peers whose failures eject an endpoint here.
const peersToEject = 2

// checkPeerFailures ejects an endpoint at which peers report failures and no node has
// received an answer recently.
func (p *Predictive) checkPeerFailures(e *endpoint) {
	failing := 0
	for i := range e.peerLoads {
		if e.peerLoads[i].answered {
			return
		}
		if e.peerLoads[i].failing {
			failing++
		}
	}
	answered := !e.answeredAt.IsZero() && p.now.Sub(e.answeredAt) < answeredFor
	if e.health.state == qf.HealthGood && failing >= peersToEject && !answered {
		p.eject(e, qf.CauseDown)
	}
}

// checkSlowdown ejects an endpoint whose first tokens are much later than the pool's.
func (p *Predictive) checkSlowdown(e *endpoint, a *attempt) {
	h := &e.health
	h.samples++
	if h.state == qf.HealthGood && h.samples >= slowdownSamples && p.isSlow(e) {
		p.eject(e, qf.CauseSlow)
	}
	if a.isTrial && h.state == qf.HealthHalfOpen && p.isSlow(e) {
		p.eject(e, qf.CauseSlow)
	}
}

// isSlow reports whether an endpoint's first tokens are much later than the pool's. In an uneven pool, they must be so
// for longer than noise lasts, and for other reasons than speed and noise.
func (p *Predictive) isSlow(e *endpoint) bool {
	if e.pool.isUneven {
		return !e.timing.slowSince.IsZero() && p.now.Sub(e.timing.slowSince) >= slowFor
	}
	return e.slowdown > slowdownToEject*e.pool.slowdown
}

// checkTokenTime ejects an endpoint whose time between tokens is much longer than the
// pool's.
func (p *Predictive) checkTokenTime(e *endpoint, between time.Duration) {
	h := &e.health
	if h.tokenSlowdown == 0 {
		h.tokenSlowdown = 1
	}
	ratio := float64(between) / float64(max(e.pool.betweenToken, 1))
	if e.pool.isUneven {
		ratio /= e.timing.speed.factor() * max(e.timing.noise.factor(p.now), 1)
	}
	h.tokenSlowdown += (ratio - h.tokenSlowdown) / endpointSamples
	if h.state == qf.HealthGood && h.tokenSlowdown > slowdownToEject {
		p.eject(e, qf.CauseSlow)
	}
}

// eject takes an endpoint out of use, unless too many of its pool are ejected already.
func (p *Predictive) eject(e *endpoint, cause qf.HealthCause) {
	h := &e.health
	if h.state == qf.HealthGood && !e.pool.canEject() {
		return
	}
	h.until = p.now.Add(min(firstEjection<<min(h.ejections, 5), maxEjection))
	h.ejections++
	p.setHealth(e, qf.HealthEjected, cause)
}

// canEject reports whether one more endpoint may be ejected. The last healthy one never
// is, so that the pool isn't left without any.
func (p *pool) canEject() bool {
	out, staying := 0, 0
	for _, e := range p.members {
		switch {
		case e.departing:
		case e.health.state == qf.HealthGood:
			staying++
		default:
			out++
		}
	}
	return staying > 1 && out < max((out+staying)/maxEjectedDivisor, 1)
}

// startDueTrial allows trial attempts at an endpoint whose ejection has ended.
func (p *Predictive) startDueTrial(e *endpoint) {
	if e.health.state != qf.HealthEjected || p.now.Before(e.health.until) {
		return
	}
	h := &e.health
	h.runningTrials, h.passedTrials, h.samples = 0, 0, 0
	h.failures, h.failureRate, h.tokenSlowdown = 0, 0, 1
	e.slowdown = e.pool.slowdown
	e.timing.deviation, e.timing.slowSince = e.pool.deviation, time.Time{}
	p.setHealth(e, qf.HealthHalfOpen, "")
}

// setHealth changes an endpoint's state and queues the change for TakeHealthChanges.
func (p *Predictive) setHealth(e *endpoint, state qf.HealthState, cause qf.HealthCause) {
	e.health.state = state
	p.changes = append(p.changes, qf.HealthChange{At: p.now, Endpoint: e.ID, State: state, Cause: cause})
}

// TakeHealthChanges implements qf.Router.
func (p *Predictive) TakeHealthChanges() []qf.HealthChange {
	changes := p.changes
	p.changes = nil
	return changes
}
