package qfrollout

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// rampPart is the part of a rollout's time in which traffic moves; the rest
	// is a reserve for handovers of the controller. With once-only calls, those
	// of them that may be repeated go first, in their own part.
	rampPart           = 0.8
	rampPartRepeatable = 0.5
	rampPartOnceOnly   = 0.3
	// routeAttempts is the number of attempts at the new version that a route with
	// little traffic should see in each stage; mostRouteShare bounds its first
	// share.
	routeAttempts  = 8
	mostRouteShare = 0.3
	// trickleShare is the first share of a route with hardly any traffic: it moves
	// after its first attempt at the new version.
	trickleShare = 0.5
	// firstPooled and laterPooled are the numbers of attempts at the new version on
	// all routes before any route leaves its first, or a later, stage early.
	firstPooled = 40
	laterPooled = 100
	// stageFactor is the ratio of the shares of two stages.
	stageFactor = 3.0
	// firstAttempts is the number of attempts at the new version for which the
	// first share is worked out.
	firstAttempts = 60
	leastShare    = 0.01
	mostShare     = 0.15
	// stageAttempts is the number of attempts after which a route may pass a stage
	// early. With little traffic that is stagePart of those that the stage's time
	// would bring, but at least fewestAttempts.
	stageAttempts  = 40
	stagePart      = 0.4
	fewestAttempts = 2
	// leastDwellPart is the part of a stage's time that is spent in any case.
	leastDwellPart = 0.4
	leastDwell     = 5 * time.Second
	// hurryReserve is the part of a rollout's time that is kept free at its end.
	hurryReserve = 0.05
)

// firstShare works out the first stage's share from the time for a stage and
// from the entry's attempts a second.
func firstShare(within time.Duration, rate float64) float64 {
	const typicalStages = 4
	dwell := within.Seconds() * rampPart / typicalStages
	if rate <= 0 {
		return mostShare
	}
	return min(mostShare, max(leastShare, firstAttempts/(rate*dwell)))
}

// stages returns how many stages lead from the first share to all traffic.
func stages(first float64) int {
	return int(math.Ceil(math.Log(1/first)/math.Log(stageFactor)-1e-9)) + 1
}

// shareOf returns the share of a stage, counted from 0.
func shareOf(first float64, stage int) float64 {
	if stage >= stages(first)-1 {
		return 1
	}
	return first * math.Pow(stageFactor, float64(stage))
}

// dwellOf returns the longest time in a stage so that all stages fit.
func dwellOf(plan *qf.RolloutPlan, r *qf.RouteProgress, hasOnceOnly bool) time.Duration {
	return rampTime(plan, r.Route.OnceOnly, hasOnceOnly) / time.Duration(stages(ladder(plan, r))-1)
}

// rampTime is the time in which a route's traffic is to move.
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

// ladder returns the share from which the route's stages follow.
func ladder(plan *qf.RolloutPlan, r *qf.RouteProgress) float64 {
	if r.First > 0 {
		return r.First
	}
	return plan.FirstShare
}

// pooledEnough returns the number of attempts on all routes after which a route
// may pass its stage early.
func pooledEnough(r *qf.RouteProgress) uint64 {
	if r.Stage == 0 {
		return firstPooled
	}
	return laterPooled
}

// isTrickle reports whether a route has so little traffic that it couldn't be
// judged within the rollout's time. It goes on at its own pace and holds nothing
// up.
func isTrickle(plan *qf.RolloutPlan, r *qf.RouteProgress) bool {
	const leastAttempts = 3
	return r.Rate*rampTime(plan, r.Route.OnceOnly, r.Route.OnceOnly).Seconds()*mostRouteShare < leastAttempts
}

// routeShare works out the first share of a route with little traffic, so that
// each of its stages sees some attempts at the new version.
func routeShare(plan *qf.RolloutPlan, r *qf.RouteProgress, ramp time.Duration) float64 {
	const typicalStages = 2
	if isTrickle(plan, r) {
		return trickleShare
	}
	expected := r.Rate * ramp.Seconds() / typicalStages
	return max(plan.FirstShare, min(mostRouteShare, routeAttempts/math.Max(expected, 1e-9)))
}

// enough returns the number of attempts after which a route may pass its stage
// early.
func enough(plan *qf.RolloutPlan, r *qf.RouteProgress, dwell time.Duration) uint64 {
	if isTrickle(plan, r) {
		return 1
	}
	expected := r.Rate * r.Share * dwell.Seconds() * stagePart
	return uint64(min(stageAttempts, max(fewestAttempts, expected)))
}

// leastDwellOf returns the least time in a stage.
func leastDwellOf(dwell time.Duration) time.Duration {
	return min(dwell, max(leastDwell, time.Duration(float64(dwell)*leastDwellPart)))
}

// isThrough reports whether a route's traffic has moved.
func isThrough(plan *qf.RolloutPlan, r *qf.RouteProgress) bool {
	return r.Stage >= stages(ladder(plan, r))-1
}

// remaining estimates the time until a route's traffic has moved.
func remaining(now time.Time, plan *qf.RolloutPlan, r *qf.RouteProgress, hasOnceOnly bool) time.Duration {
	dwell := dwellOf(plan, r, hasOnceOnly)
	least := leastDwellOf(dwell)
	dwell = hurried(plan, now, r, dwell)
	var left time.Duration
	first := ladder(plan, r)
	for stage := r.Stage; stage < stages(first)-1; stage++ {
		share := shareOf(first, stage)
		each := time.Duration(float64(time.Second) / math.Max(r.Rate*share, 1e-6))
		left += max(least, min(stageAttempts*each, time.Duration(float64(dwell)*stagePart)), fewestAttempts*each)
	}
	return max(0, left-r.Dwelled)
}

// hurried shortens the time in a stage if time was lost before, but never below
// the least time.
func hurried(plan *qf.RolloutPlan, now time.Time, r *qf.RouteProgress, dwell time.Duration) time.Duration {
	if plan.MoveBy.IsZero() {
		return dwell
	}
	left := plan.MoveBy.Sub(now) - time.Duration(float64(plan.Within)*hurryReserve)
	stagesLeft := stages(ladder(plan, r)) - 1 - r.Stage
	return max(leastDwellOf(dwell), min(dwell, left/time.Duration(max(1, stagesLeft))))
}
