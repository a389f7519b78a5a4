package qfadmit

import (
	"math"
	"time"
)

const (
	// hopelessFrom is how much of its objective a request may be expected to wait for others
	// before its own prompt is computed. Beyond that it is refused: what would be late anyway
	// must not make others late.
	hopelessFrom = 0.8
	// forecastWindow is the time over which waits are compared with what was foreseen.
	forecastWindow = 5 * time.Second
	// forecastFrom is the least wait that is compared, as a share of the objective. Short
	// ones say nothing about long ones: they are the link and the prompt itself.
	forecastFrom = 0.2
	// usualRatio is what is assumed while no wait was compared of late: endpoints read
	// prompts side by side, and their reports are late, so that the router foresees too
	// much. It is low, because who is refused can't show how long he would have waited.
	usualRatio = 0.32
	// usualWeight is how many seconds of foreseen waits the assumption counts as much as.
	usualWeight = 1.0
	// leastRatio and mostRatio bound the ratio.
	leastRatio, mostRatio = 0.05, 1.5
)

// WaitEstimator learns how long first tokens take against what the router foresees. It isn't
// safe for concurrent use.
type WaitEstimator struct {
	// foreseen and measured are sums of seconds, with exponential decay as of at.
	foreseen, measured float64
	at                 time.Time
}

// RecordFirstToken compares a first token that came with what was foreseen.
func (f *WaitEstimator) RecordFirstToken(at time.Time, foreseen, measured, objective time.Duration) {
	if objective <= 0 || float64(foreseen) < forecastFrom*float64(objective) {
		return
	}
	f.decay(at)
	f.foreseen += foreseen.Seconds()
	f.measured += measured.Seconds()
}

func (f *WaitEstimator) decay(now time.Time) {
	keep := math.Exp(-now.Sub(f.at).Seconds() / forecastWindow.Seconds())
	f.foreseen *= keep
	f.measured *= keep
	f.at = now
}

// EstimateWait is how long a wait will be that the router foresees.
func (f *WaitEstimator) EstimateWait(now time.Time, foreseen time.Duration) time.Duration {
	f.decay(now)
	ratio := (f.measured + usualRatio*usualWeight) / (f.foreseen + usualWeight)
	return time.Duration(min(max(ratio, leastRatio), mostRatio) * float64(foreseen))
}

// CheckObjective returns how long a request will wait for others by what the router foresees, and
// whether that is too long for its objective. The size of the request itself is no reason.
func (f *WaitEstimator) CheckObjective(now time.Time, foreseen, objective time.Duration) (wait time.Duration, isHopeless bool) {
	wait = f.EstimateWait(now, foreseen)
	return wait, float64(wait) > hopelessFrom*float64(objective)
}
