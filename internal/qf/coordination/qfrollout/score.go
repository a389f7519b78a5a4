package qfrollout

import (
	"math"

	"quetzalfront/internal/qf"
)

// metric is a criterion by which an attempt can be bad.
type metric int

// The metrics.
const (
	metricFailed metric = iota
	metricFirstToken
	metricBetweenToken
	metricLength
	metricCount
)

var metricNames = [metricCount]string{
	"attempts that failed or were incomplete", "slow first tokens", "slow tokens", "answers of unusual length",
}

// Each metric has two tests. The concurrent one compares the versions while both
// get traffic: among bad events, the new version's part is bounded by its share
// if it is no worse. The absolute one compares the new version with the old one's
// earlier rate of events, once there is no traffic to compare with.
const (
	testCount        = 2 * int(metricCount)
	alternativeCount = 3
	scoreCount       = testCount * alternativeCount
)

// toleratedRatio is the ratio of the new version's event rate to the old one's up to
// which the new version counts as no worse, by metric.
var toleratedRatio = [metricCount]float64{1.5, 2, 2, 2}

// rateRatios are the alternatives of the concurrent tests, and oddsRatios those
// of the absolute ones.
var (
	rateRatios = [alternativeCount]float64{3, 8, 30}
	oddsRatios = [alternativeCount]float64{2, 4, 12}
)

// The absolute tests tolerate some events in any case, because traffic changes
// with the time of day.
const (
	toleratedRate    = 0.02
	maxToleratedRate = 0.5
)

// concurrentBelow is the share from which the versions are no longer compared at the
// same time: the old version's endpoints then have so little load that the
// comparison would be unfair to the new one.
const concurrentBelow = 0.6

func scoreIndex(test, alternative int) int { return test*alternativeCount + alternative }

// addConcurrent adds one bad event's logarithm of the likelihood ratio. With the
// share s of the new version, the event is the new version's with odds of at most
// toleratedRatio*s/(1-s) if it is no worse.
func addConcurrent(scores []float64, m metric, share float64, isNew bool) {
	tolerated := partOf(share, toleratedRatio[m])
	for a, ratio := range rateRatios {
		part := partOf(share, ratio)
		score := math.Log((1 - part) / (1 - tolerated))
		if isNew {
			score = math.Log(part / tolerated)
		}
		scores[scoreIndex(int(m), a)] += score
	}
}

// partOf returns the new version's part of the bad events if its rate of them is
// the ratio times the old version's.
func partOf(share, ratio float64) float64 { return share * ratio / (share*ratio + 1 - share) }

// addAbsolute adds the score of one attempt at the new version.
func addAbsolute(scores []float64, m metric, baseline float64, isEvent bool) {
	tolerated := min(maxToleratedRate, baseline*toleratedRatio[m]+toleratedRate)
	for a, ratio := range oddsRatios {
		rate := partOf(tolerated, ratio)
		score := math.Log((1 - rate) / (1 - tolerated))
		if isEvent {
			score = math.Log(rate / tolerated)
		}
		scores[scoreIndex(int(metricCount+m), a)] += score
	}
}

// addLogs returns the logarithm of the sum of two numbers that are given by their
// logarithms.
func addLogs(a, b float64) float64 {
	high, low := max(a, b), min(a, b)
	if math.IsInf(low, -1) {
		return high
	}
	return high + math.Log1p(math.Exp(low-high))
}

// routeOf returns the route of a request.
func routeOf(organisation qf.Organisation, region qf.Region, class qf.Class, onceOnly bool) qf.Route {
	return qf.Route{Organisation: organisation, Region: region, Class: class, OnceOnly: onceOnly}
}
