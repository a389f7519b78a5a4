package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// health follows one endpoint's failures and slowness.
type health struct {
	state qf.HealthState
	// failures counts those since the last success; failed is the moving share
	// of failures among the last attempts.
	failures int
	failed   float64
	// samples counts the first tokens since the last trial.
	samples int
	// pace is how much longer the time between tokens is than the pool's.
	pace float64
	// ejections counts those in a row; each doubles the time out.
	ejections int
	// until is when the trial begins.
	until time.Time
	// trials counts the attempts of a trial that are in progress, passed those
	// that went well.
	trials, passed int
}

const (
	failuresToEject = 4
	failedToEject   = 0.5
	failedSamples   = 8
	// slowToEject is how many times slower than its pool an endpoint may be.
	slowToEject   = 3.0
	slowSamples   = 6
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// passedToReturn is the number of good attempts that end a trial.
	passedToReturn = 2
	// ejectedShare is the share of a pool that may be out at once, one over this
	// number.
	ejectedShare = 3
)

// takesWork reports whether the endpoint may be chosen.
func (h *health) takesWork() bool {
	return h.state == qf.HealthGood || h.state == qf.HealthHalfOpen && h.trials == 0
}

// fails reports whether this node's own attempts fail there.
func (h *health) fails() bool { return h.failures >= failuresToEject }

// judgeOutcome counts a finished attempt.
func (p *Predictive) judgeOutcome(e *endpoint, a *attempt, ok bool) {
	h := &e.health
	failed := 1.0
	if ok {
		failed = 0
		h.failures = 0
	} else {
		h.failures++
	}
	h.failed += (failed - h.failed) / failedSamples
	if a.isTrial && h.state == qf.HealthHalfOpen {
		p.judgeTrial(e, ok)
		return
	}
	if h.state == qf.HealthGood && !ok && (h.fails() || h.failed > failedToEject) {
		p.eject(e, e.causeOfFailure())
	}
}

func (p *Predictive) judgeTrial(e *endpoint, ok bool) {
	h := &e.health
	h.trials = 0
	if !ok {
		p.eject(e, e.causeOfFailure())
		return
	}
	h.passed++
	if h.passed >= passedToReturn {
		h.ejections = 0
		p.change(e, qf.HealthGood, "")
	}
}

// causeOfFailure weighs what peers see at the endpoint.
func (e *endpoint) causeOfFailure() qf.HealthCause {
	failing := false
	for i := range e.sent {
		if e.sent[i].answered && !e.sent[i].failing {
			return qf.CauseUnreachable
		}
		failing = failing || e.sent[i].failing
	}
	if failing {
		return qf.CauseDown
	}
	return qf.CauseFailing
}

// peersToEject is the number of peers whose failures eject an endpoint here.
const peersToEject = 2

// judgePeers ejects an endpoint at which peers fail and nobody gets answers.
func (p *Predictive) judgePeers(e *endpoint) {
	failing := 0
	for i := range e.sent {
		if e.sent[i].answered {
			return
		}
		if e.sent[i].failing {
			failing++
		}
	}
	answered := !e.answeredAt.IsZero() && p.now.Sub(e.answeredAt) < answeredFor
	if e.health.state == qf.HealthGood && failing >= peersToEject && !answered {
		p.eject(e, qf.CauseDown)
	}
}

// judgeSlowness compares first tokens with the pool's.
func (p *Predictive) judgeSlowness(e *endpoint, a *attempt) {
	h := &e.health
	h.samples++
	if h.state == qf.HealthGood && h.samples >= slowSamples && e.slow > slowToEject*e.pool.slow {
		p.eject(e, qf.CauseSlow)
	}
	if a.isTrial && h.state == qf.HealthHalfOpen && e.slow > slowToEject*e.pool.slow {
		p.eject(e, qf.CauseSlow)
	}
}

// judgePace compares the time between tokens with the pool's.
func (p *Predictive) judgePace(e *endpoint, between time.Duration) {
	h := &e.health
	if h.pace == 0 {
		h.pace = 1
	}
	ratio := float64(between) / float64(max(e.pool.betweenToken, 1))
	h.pace += (ratio - h.pace) / endpointSamples
	if h.state == qf.HealthGood && h.pace > slowToEject {
		p.eject(e, qf.CauseSlow)
	}
}

// eject takes an endpoint out unless too many of its pool are out already.
func (p *Predictive) eject(e *endpoint, cause qf.HealthCause) {
	h := &e.health
	if h.state == qf.HealthGood && !e.pool.mayEject() {
		return
	}
	h.until = p.now.Add(min(firstEjection<<min(h.ejections, 5), maxEjection))
	h.ejections++
	p.change(e, qf.HealthEjected, cause)
}

// mayEject reports whether one more endpoint may be out. The last one never is.
func (p *pool) mayEject() bool {
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
	return staying > 1 && out < max((out+staying)/ejectedShare, 1)
}

// advance begins the trial of an endpoint whose time out has passed.
func (p *Predictive) advance(e *endpoint) {
	if e.health.state != qf.HealthEjected || p.now.Before(e.health.until) {
		return
	}
	h := &e.health
	h.trials, h.passed, h.samples = 0, 0, 0
	h.failures, h.failed, h.pace = 0, 0, 1
	e.slow = e.pool.slow
	p.change(e, qf.HealthHalfOpen, "")
}

func (p *Predictive) change(e *endpoint, state qf.HealthState, cause qf.HealthCause) {
	e.health.state = state
	p.changes = append(p.changes, qf.HealthChange{At: p.now, Endpoint: e.ID, State: state, Cause: cause})
}

// TakeHealthChanges implements qf.Router.
func (p *Predictive) TakeHealthChanges() []qf.HealthChange {
	changes := p.changes
	p.changes = nil
	return changes
}
