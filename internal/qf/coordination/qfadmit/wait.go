package qfadmit

import (
	"math"
	"time"
)

const (
	// maxWaitShare is the share of its objective that a request may be expected to wait in
	// the queue. A request that would wait longer is refused: it would be late anyway, and
	// must not delay others.
	maxWaitShare = 0.8
	// ratioWindow is the time over which measured and predicted waits are compared.
	ratioWindow = 5 * time.Second
	// minSampleShare is the shortest predicted wait that is compared, as a share of the
	// objective. Shorter ones consist of the network and the prompt itself, and don't
	// predict longer ones.
	minSampleShare = 0.2
	// defaultRatio is the ratio assumed without recent samples. The router predicts too
	// long waits, because endpoints prefill prompts in parallel and their reports are
	// delayed. The ratio is low because refused requests give no samples that could
	// correct a high one.
	defaultRatio = 0.32
	// defaultWeight is the weight of defaultRatio, in seconds of predicted waits.
	defaultWeight = 1.0
	// minRatio and maxRatio bound the ratio.
	minRatio, maxRatio = 0.05, 1.5
)

// WaitEstimator corrects the router's predicted waits by the ratio of measured to predicted
// times of recent requests. It isn't safe for concurrent use.
type WaitEstimator struct {
	// predicted and measured are sums of seconds, with exponential decay as of at.
	predicted, measured float64
	at                  time.Time
}

// RecordFirstToken adds the measured and the predicted time of a first token.
func (w *WaitEstimator) RecordFirstToken(at time.Time, predicted, measured, objective time.Duration) {
	if objective <= 0 || float64(predicted) < minSampleShare*float64(objective) {
		return
	}
	w.decay(at)
	w.predicted += predicted.Seconds()
	w.measured += measured.Seconds()
}

// decay reduces the weight of the samples by their age.
func (w *WaitEstimator) decay(now time.Time) {
	keep := math.Exp(-now.Sub(w.at).Seconds() / ratioWindow.Seconds())
	w.predicted *= keep
	w.measured *= keep
	w.at = now
}

// ratio returns the ratio of measured to predicted waits.
func (w *WaitEstimator) ratio(now time.Time) float64 {
	w.decay(now)
	return min(max((w.measured+defaultRatio*defaultWeight)/(w.predicted+defaultWeight), minRatio), maxRatio)
}

// EstimateWait returns the corrected estimate of a wait that the router predicts.
func (w *WaitEstimator) EstimateWait(now time.Time, predicted time.Duration) time.Duration {
	return time.Duration(w.ratio(now) * float64(predicted))
}

// MaxQueue returns the longest queue, as the router predicts it, in which a request can wait
// and still meet its objective. The time for the request's own prompt doesn't count, so that
// no request is refused for its size.
func (w *WaitEstimator) MaxQueue(now time.Time, objective time.Duration) time.Duration {
	return time.Duration(maxWaitShare * float64(objective) / w.ratio(now))
}
