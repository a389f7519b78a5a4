package qfroute

import (
	"math"
	"time"
)

const (
	// serviceSamples is the number whose inverse is the weight of an answer in a pool's service time.
	serviceSamples = 64
	// placeMargin is how many requests more or less than known an endpoint may have.
	placeMargin = 1.0
	// maxExponent keeps an exponential within the range of numbers.
	maxExponent = 500
	// crowdingWeight is how many service times full places add to a score.
	crowdingWeight = 6.0
)

// recordUnit updates the time per token, or without a prompt the service time, with a sample in seconds at a factor of 1.
func (p *pool) recordUnit(work, sample float64) {
	if work >= minSampleTokens {
		p.updatePerToken(max(sample-p.serviceSeconds, 0) / work)
		return
	}
	p.serviceCount = min(p.serviceCount+1, serviceSamples)
	if p.serviceCount >= minSteadyReports {
		sample = min(sample, p.serviceSeconds*maxSampleFactor+slowdownFloor.Seconds())
	}
	p.serviceSeconds += (max(sample-work*p.perTokenSeconds, 0) - p.serviceSeconds) / float64(p.serviceCount)
}

// serviceTime predicts the part of the time to first token that doesn't depend on the prompt.
func (e *endpoint) serviceTime() time.Duration {
	if !e.pool.isUneven {
		return 0
	}
	return seconds(e.pool.serviceSeconds * e.timing.factor)
}

// sharedTime returns the part of a request's service time in which the endpoint serves others beside it.
func (e *endpoint) sharedTime() time.Duration {
	if e.timing.places <= 1 {
		return 0
	}
	return time.Duration(float64(e.serviceTime()) * (1 - 1/e.timing.places))
}

// waitForPlace predicts the time until the endpoint of an uneven pool runs another request. The number that it runs is
// known roughly, so that the wait begins before all places are taken.
func (e *endpoint) waitForPlace() time.Duration {
	places := e.timing.places
	if places <= 0 {
		return 0
	}
	excess := min((e.load.requests+1-places)/placeMargin, maxExponent)
	waiting := placeMargin * math.Log1p(math.Exp(excess))
	return seconds(waiting / places * e.pool.heldSeconds() * e.timing.factor)
}

// crowding returns what the requests in progress add to the score, in seconds: many mean that an endpoint is slow at the
// moment, although none waits.
func (e *endpoint) crowding() float64 {
	if !e.pool.isUneven || e.timing.places <= 0 {
		return 0
	}
	return e.load.requests / e.timing.places * e.pool.serviceSeconds * e.timing.factor * crowdingWeight
}

// seconds returns the duration of a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
