package qfroute

import (
	"math"
	"time"
)

// noise is what an endpoint states of the noise of its machine: how many times as long as usual work takes there at the
// moment. What is usual is the mean of what it states, so that a figure that never changes means nothing.
type noise struct {
	// slowdown is the last figure, as of at; 0 means that none was received.
	slowdown float64
	at       time.Time
	// mean is the mean of the figures over time, and meanOver the time that it covers, at most noiseMeanWindow.
	mean     float64
	meanOver time.Duration
	// errorWith and errorWithout are moving averages of the deviation of measured times from those predicted with
	// and without the figure.
	errorWith, errorWithout float64
}

const (
	// noiseLife is the age at which a figure says nothing any more; until then it is believed less and less.
	noiseLife = 400 * time.Millisecond
	// noiseFresh is the age up to which a figure is believed fully.
	noiseFresh = 50 * time.Millisecond
	// noiseMeanWindow is the time over which the mean is taken, and noiseFirstWeight that which the first figure
	// stands for.
	noiseMeanWindow  = 20 * time.Second
	noiseFirstWeight = time.Second
	// noiseMaxGap bounds the time that one figure stands for in the mean.
	noiseMaxGap = noiseLife
	// maxNoise bounds how far noise is from usual, in both directions.
	maxNoise = 4.0
	// noiseErrorSamples is the number whose inverse is the weight of a new sample in the errors.
	noiseErrorSamples = 12
	// minNoise is the least deviation from usual, as a logarithm, at which a measurement shows whether a figure is true.
	minNoise = 0.15
	// noiseMinGain is how much smaller the error with the figure must be than that without it.
	noiseMinGain = 0.05
)

// record records a figure.
func (n *noise) record(at time.Time, slowdown float64) {
	if n.slowdown > 0 && !at.After(n.at) {
		return
	}
	if n.slowdown == 0 {
		n.mean, n.meanOver = slowdown, noiseFirstWeight
	} else {
		lasted := min(at.Sub(n.at), noiseMaxGap)
		n.meanOver = min(n.meanOver+lasted, noiseMeanWindow)
		n.mean += (n.slowdown - n.mean) * float64(lasted) / float64(n.meanOver)
	}
	n.slowdown, n.at = slowdown, at
}

// stated returns how many times as long as usual work takes by the last figure, which is believed less as it ages.
func (n *noise) stated(now time.Time) float64 {
	age := now.Sub(n.at)
	if n.slowdown == 0 || age >= noiseLife {
		return 1
	}
	belief := min(float64(noiseLife-age)/float64(noiseLife-noiseFresh), 1)
	ratio := min(max(n.slowdown/n.mean, 1/maxNoise), maxNoise)
	return 1 + (ratio-1)*belief
}

// factor returns how many times as long as usual work takes, or 1 unless measurements confirm the figure.
func (n *noise) factor(now time.Time) float64 {
	if !n.isConfirmed() {
		return 1
	}
	return n.stated(now)
}

// isConfirmed reports whether predictions with the figure are better than those without. A new endpoint's isn't believed
// until then, so that a lie costs no more than no figure.
func (n *noise) isConfirmed() bool { return n.errorWith < n.errorWithout-noiseMinGain }

// recordDeviations records the deviations, as logarithms, of a measured time from those predicted with and without the figure
// that stated the given noise.
func (n *noise) recordDeviations(stated, with, without float64) {
	if math.Abs(math.Log(stated)) < minNoise {
		return
	}
	n.errorWith += (math.Abs(with) - n.errorWith) / noiseErrorSamples
	n.errorWithout += (math.Abs(without) - n.errorWithout) / noiseErrorSamples
}
