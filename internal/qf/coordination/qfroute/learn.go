package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

const (
	// learnWork is the least number of tokens that tells something of speed.
	learnWork = 128
	// The weights of a new sample in a moving mean, one over these numbers.
	poolSamples     = 32
	endpointSamples = 6
	// trustedFactor bounds how far one sample is taken to differ from the mean, so
	// that one slow endpoint doesn't spoil it.
	trustedFactor = 3
	// slowFloor keeps small times from counting as slowness.
	slowFloor            = 20 * time.Millisecond
	minPerToken          = time.Microsecond
	maxPerToken          = 5 * time.Millisecond
	minSlow, maxSlow     = 0.5, 20.0
	poolShareOfSlowness  = 64
	leastTokensForPacing = 4
)

// times are the parts of a predicted time to first token.
type times struct {
	// work is in tokens, those ahead in the queue included.
	work                 float64
	queue, prefill, link time.Duration
	// fixed is all that isn't work.
	fixed time.Duration
}

func (t *times) firstToken() time.Duration { return t.queue + t.prefill + t.link }

// times predicts the first token of a request with so many tokens to compute.
func (e *endpoint) times(tokens float64) times {
	pace := e.pool.perTokenSeconds * e.slow * float64(time.Second)
	t := times{work: e.load.tokens + tokens, link: 2 * e.link, fixed: e.fixed()}
	t.queue = t.fixed + time.Duration(e.load.tokens*pace)
	t.prefill = time.Duration(tokens * pace)
	t.fixed += t.link
	return t
}

// learnFirstToken corrects the pool's pace and the endpoint's slowness.
func (e *endpoint) learnFirstToken(a *attempt, took time.Duration) {
	if rest := took - a.fixed; a.work >= learnWork && rest > 0 {
		pace := e.pool.perTokenSeconds * float64(time.Second)
		sample := min(max(float64(rest)/a.work, pace/trustedFactor), pace*trustedFactor)
		sample = min(max(sample, float64(minPerToken)), float64(maxPerToken))
		e.pool.perTokenSeconds += (sample/float64(time.Second) - e.pool.perTokenSeconds) / poolSamples
	}
	ratio := float64(took+slowFloor) / float64(a.predicted+slowFloor) * e.slow
	e.slow += (min(max(ratio, minSlow), maxSlow) - e.slow) / endpointSamples
	e.pool.slow += (e.slow - e.pool.slow) / poolShareOfSlowness
}

// learnHold corrects the time from first token to end.
func (e *endpoint) learnHold(a *attempt, at time.Time) {
	since := a.firstAt
	if since.IsZero() {
		since = a.startedAt
	}
	e.pool.hold += (at.Sub(since) - e.pool.hold) / poolSamples
}

// RecordObservation implements qf.Router.
func (p *Predictive) RecordObservation(o qf.Observation) {
	p.tick(o.At)
	e := p.endpoints[o.Endpoint]
	if e == nil || o.BetweenToken <= 0 || o.Tokens < leastTokensForPacing {
		return
	}
	e.pool.betweenToken += (o.BetweenToken - e.pool.betweenToken) / poolSamples
	p.judgePace(e, o.BetweenToken)
}
