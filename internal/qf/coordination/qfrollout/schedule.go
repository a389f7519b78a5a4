package qfrollout

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// rampPart is the fraction of a rollout's time in which traffic moves; the rest
	// is a reserve for changes of the controller's holder. If the entry has once-only
	// calls, the repeatable requests move first, in a fraction of their own.
	rampPart           = 0.8
	rampPartRepeatable = 0.5
	rampPartOnceOnly   = 0.3
	// routeAttempts is the number of attempts at the new version that a route with
	// little traffic should have in each stage; maxRouteShare bounds its first share.
	routeAttempts = 8
	maxRouteShare = 0.3
	// lowTrafficShare is the first share of a route with hardly any traffic: it moves
	// after its first attempt at the new version.
	lowTrafficShare = 0.5
	// firstStageTotal and laterStageTotal are the numbers of attempts at the new
	// version, on all routes, before a route may leave its first, or a later, stage
	// early.
	firstStageTotal = 40
	laterStageTotal = 100
	// stageFactor is the ratio of the shares of two stages.
	stageFactor = 3.0
	// firstAttempts is the number of attempts at the new version in the first stage for
	// which the first share is computed.
	firstAttempts = 60
	minShare      = 0.01
	maxShare      = 0.15
	// stageAttempts is the number of attempts after which a route may leave a stage
	// early. With little traffic it is stagePart of the attempts expected in the stage,
	// but at least minStageAttempts.
	stageAttempts    = 40
	stagePart        = 0.4
	minStageAttempts = 2
	// minDwellPart is the fraction of a stage's time that is spent in it in any case.
	minDwellPart = 0.4
	minDwell     = 5 * time.Second
	// deadlineReserve is the fraction of a rollout's time that is kept free before the
	// deadline.
	deadlineReserve = 0.05
)

// firstShare computes the first stage's share from the rollout's time and the
// entry's attempts per second.
func firstShare(within time.Duration, rate float64) float64 {
	const typicalStages = 4
	dwell := within.Seconds() * rampPart / typicalStages
	if rate <= 0 {
		return maxShare
	}
	return min(maxShare, max(minShare, firstAttempts/(rate*dwell)))
}

// stageCount returns the number of stages from the first share to all traffic.
func stageCount(first float64) int {
	return int(math.Ceil(math.Log(1/first)/math.Log(stageFactor)-1e-9)) + 1
}

// shareOf returns the share of a stage; stages are numbered from 0.
func shareOf(first float64, stage int) float64 {
	if stage >= stageCount(first)-1 {
		return 1
	}
	return first * math.Pow(stageFactor, float64(stage))
}

// dwellOf returns the longest time in a stage with which all stages fit in the ramp
// time.
func dwellOf(plan *qf.RolloutPlan, r *qf.RouteProgress, hasOnceOnly bool) time.Duration {
	return rampTime(plan, r.Route.OnceOnly, hasOnceOnly) / time.Duration(stageCount(routeFirstShare(plan, r))-1)
}

// rampTime returns the time in which a route's traffic is to move.
func rampTime(plan *qf.RolloutPlan, onceOnly, hasOnceOnly bool) time.Duration {
	part := rampPart
	switch {
	case hasOnceOnly && onceOnly:
		part = rampPartOnceOnly
	case hasOnceOnly:
		part = rampPartRepeatable
	}
	return time.Duration(float64(plan.Within) * part)
}

// routeFirstShare returns the share of the route's first stage.
func routeFirstShare(plan *qf.RolloutPlan, r *qf.RouteProgress) float64 {
	if r.First > 0 {
		return r.First
	}
	return plan.FirstShare
}

// requiredTotalAttempts returns the number of attempts on all routes after which a
// route may leave its stage early.
func requiredTotalAttempts(r *qf.RouteProgress) uint64 {
	if r.Stage == 0 {
		return firstStageTotal
	}
	return laterStageTotal
}

// isLowTraffic reports whether a route has too little traffic to be judged within
// the rollout's time. It advances at its own pace and doesn't delay other routes.
func isLowTraffic(plan *qf.RolloutPlan, r *qf.RouteProgress) bool {
	const minAttempts = 3
	return r.Rate*rampTime(plan, r.Route.OnceOnly, r.Route.OnceOnly).Seconds()*maxRouteShare < minAttempts
}

// routeShare computes the first share of a route with little traffic, so that each
// of its stages has some attempts at the new version.
func routeShare(plan *qf.RolloutPlan, r *qf.RouteProgress, ramp time.Duration) float64 {
	const typicalStages = 2
	if isLowTraffic(plan, r) {
		return lowTrafficShare
	}
	expected := r.Rate * ramp.Seconds() / typicalStages
	return max(plan.FirstShare, min(maxRouteShare, routeAttempts/math.Max(expected, 1e-9)))
}

// requiredAttempts returns the number of attempts after which a route may leave its
// stage early.
func requiredAttempts(plan *qf.RolloutPlan, r *qf.RouteProgress, dwell time.Duration) uint64 {
	if isLowTraffic(plan, r) {
		return 1
	}
	expected := r.Rate * r.Share * dwell.Seconds() * stagePart
	return uint64(min(stageAttempts, max(minStageAttempts, expected)))
}

// minDwellOf returns the shortest time in a stage.
func minDwellOf(dwell time.Duration) time.Duration {
	return min(dwell, max(minDwell, time.Duration(float64(dwell)*minDwellPart)))
}

// hasMoved reports whether all of a route's traffic goes to the new version.
func hasMoved(plan *qf.RolloutPlan, r *qf.RouteProgress) bool {
	return r.Stage >= stageCount(routeFirstShare(plan, r))-1
}

// remaining estimates the time until all of a route's traffic has moved.
func remaining(now time.Time, plan *qf.RolloutPlan, r *qf.RouteProgress, hasOnceOnly bool) time.Duration {
	dwell := dwellOf(plan, r, hasOnceOnly)
	least := minDwellOf(dwell)
	dwell = shortenedDwell(plan, now, r, dwell)
	var left time.Duration
	first := routeFirstShare(plan, r)
	for stage := r.Stage; stage < stageCount(first)-1; stage++ {
		share := shareOf(first, stage)
		each := time.Duration(float64(time.Second) / math.Max(r.Rate*share, 1e-6))
		left += max(least, min(stageAttempts*each, time.Duration(float64(dwell)*stagePart)), minStageAttempts*each)
	}
	return max(0, left-r.Dwelled)
}

// shortenedDwell shortens the time in a stage if the rollout is behind its schedule,
// but never below minDwellOf.
func shortenedDwell(plan *qf.RolloutPlan, now time.Time, r *qf.RouteProgress, dwell time.Duration) time.Duration {
	if plan.MoveBy.IsZero() {
		return dwell
	}
	left := plan.MoveBy.Sub(now) - time.Duration(float64(plan.Within)*deadlineReserve)
	stagesLeft := stageCount(routeFirstShare(plan, r)) - 1 - r.Stage
	return max(minDwellOf(dwell), min(dwell, left/time.Duration(max(1, stagesLeft))))
}
