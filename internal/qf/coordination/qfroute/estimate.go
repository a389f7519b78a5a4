package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

const (
	// minSampleTokens is the least number of tokens from which the speed is estimated.
	minSampleTokens = 128
	// A new sample's weight in a moving average is one over these numbers.
	poolSamples     = 32
	endpointSamples = 6
	// maxSampleFactor bounds the ratio of a sample to the mean, so that one slow endpoint
	// doesn't distort the pool's estimate.
	maxSampleFactor = 3
	// slowdownFloor is added to both times of a ratio, so that small differences between
	// short times don't count as slowness.
	slowdownFloor            = 20 * time.Millisecond
	minPerToken              = time.Microsecond
	maxPerToken              = 5 * time.Millisecond
	minSlowdown, maxSlowdown = 0.5, 20.0
	poolSlowdownSamples      = 64
	// minObservedTokens is the least number of tokens from which the time between tokens
	// is estimated.
	minObservedTokens = 4
)

// times holds the parts of a predicted time to first token.
type times struct {
	// work is the number of tokens to compute, including those ahead in the queue.
	work                 float64
	queue, prefill, link time.Duration
	// fixed is the time that doesn't depend on work.
	fixed time.Duration
}

func (t *times) firstToken() time.Duration { return t.queue + t.prefill + t.link }

// times predicts the time to first token of a request with the given number of tokens to
// compute.
func (e *endpoint) times(tokens float64) times {
	perToken := e.pool.perTokenSeconds * e.slowdown * float64(time.Second)
	t := times{work: e.load.tokens + tokens, link: 2 * e.link, fixed: e.fixed()}
	t.queue = t.fixed + time.Duration(e.load.tokens*perToken)
	t.prefill = time.Duration(tokens * perToken)
	t.fixed += t.link
	return t
}

// updateSpeed updates the pool's time per token and the slowdown of endpoint and pool.
func (e *endpoint) updateSpeed(a *attempt, took time.Duration) {
	if rest := took - a.fixed; a.work >= minSampleTokens && rest > 0 {
		perToken := e.pool.perTokenSeconds * float64(time.Second)
		sample := min(max(float64(rest)/a.work, perToken/maxSampleFactor), perToken*maxSampleFactor)
		sample = min(max(sample, float64(minPerToken)), float64(maxPerToken))
		e.pool.perTokenSeconds += (sample/float64(time.Second) - e.pool.perTokenSeconds) / poolSamples
	}
	ratio := float64(took+slowdownFloor) / float64(a.predicted+slowdownFloor) * e.slowdown
	e.slowdown += (min(max(ratio, minSlowdown), maxSlowdown) - e.slowdown) / endpointSamples
	e.pool.slowdown += (e.slowdown - e.pool.slowdown) / poolSlowdownSamples
}

// updateDecodeTime updates the pool's mean time from first token to end.
func (e *endpoint) updateDecodeTime(a *attempt, at time.Time) {
	since := a.firstAt
	if since.IsZero() {
		since = a.startedAt
	}
	e.pool.decodeTime += (at.Sub(since) - e.pool.decodeTime) / poolSamples
}

// RecordObservation implements qf.Router.
func (p *Predictive) RecordObservation(o qf.Observation) {
	p.tick(o.At)
	e := p.endpoints[o.Endpoint]
	if e == nil || o.BetweenToken <= 0 || o.Tokens < minObservedTokens {
		return
	}
	e.pool.betweenToken += (o.BetweenToken - e.pool.betweenToken) / poolSamples
	p.checkTokenTime(e, o.BetweenToken)
}
