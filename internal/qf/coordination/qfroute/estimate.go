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
	// coldSlowdown is how many times as long an endpoint takes while it is cold.
	coldSlowdown = 1.6
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
	t := times{work: e.load.tokens + tokens, queue: e.queue(), link: 2 * e.link, fixed: e.fixed()}
	t.prefill = e.prefillTime(tokens) + e.serviceTime()
	t.fixed += t.link
	return t
}

// queue predicts the time from a request's arrival to the start of its prefill.
func (e *endpoint) queue() time.Duration { return e.fixed() + e.prefillTime(e.load.tokens) }

// prefillTime predicts the time to compute a number of tokens.
func (e *endpoint) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens * e.pool.perTokenSeconds * e.timeFactor() * float64(time.Second))
}

// updateSpeed updates the pool's time per token and the slowdown of endpoint and pool.
func (e *endpoint) updateSpeed(a *attempt, took time.Duration) {
	if a.work >= minSampleTokens && !a.isCold {
		// An answer that came sooner than the fixed part is a sample too: without it only
		// slow answers would count, and a time per token that is far too long would stay.
		e.pool.updatePerToken(max(took-a.fixed, 0).Seconds() / a.work)
	}
	ratio := float64(took+slowdownFloor) / float64(a.predicted+slowdownFloor) * e.slowdown
	e.slowdown += (min(max(ratio, minSlowdown), maxSlowdown) - e.slowdown) / endpointSamples
	e.pool.slowdown += (e.slowdown - e.pool.slowdown) / poolSlowdownSamples
}

// updatePerToken moves the time per token towards a sample in seconds.
func (p *pool) updatePerToken(sample float64) {
	sample = min(max(sample, p.perTokenSeconds/maxSampleFactor), p.perTokenSeconds*maxSampleFactor)
	sample = min(max(sample, minPerToken.Seconds()), maxPerToken.Seconds())
	p.perTokenSamples = min(p.perTokenSamples+1, poolSamples)
	p.perTokenSeconds += (sample - p.perTokenSeconds) / float64(p.perTokenSamples)
}

// updateDecodeTime updates the pool's mean time from first token to end.
func (e *endpoint) updateDecodeTime(a *attempt, at time.Time) {
	since := a.firstAt
	if since.IsZero() {
		since = a.startedAt
	}
	took := at.Sub(since)
	if e.pool.isUneven {
		took = time.Duration(float64(took) / e.timing.speed.factor())
	}
	e.pool.decodeTime += (took - e.pool.decodeTime) / poolSamples
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
