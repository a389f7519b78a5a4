package qfrollout

import (
	"fmt"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// pooledAlpha bounds the probability of a false alarm in one rollout by the
// controller, which judges the evidence of all nodes together.
const pooledAlpha = 0.003

const (
	// checkpointEvery is the time between two writes of a plan that only record
	// progress.
	checkpointEvery = 5 * time.Second
	// maxStepTime bounds the time that one call of Step adds, so that a pause of the
	// holder doesn't count as time spent in a stage.
	maxStepTime = 2 * time.Second
	// Traffic is measured for measurePart of the rollout's time, within these bounds,
	// before the first share is computed.
	measurePart            = 0.04
	minMeasure, maxMeasure = 2 * time.Second, 30 * time.Second
	// idleAfter is the time without attempts after which a route no longer delays
	// others.
	idleAfter = 30 * time.Second
	// maxWatchFactor bounds the watch, as a multiple of WatchFor, while some routes have
	// had too few attempts since they moved.
	maxWatchFactor = 3
)

// Controller advances one entry's rollout from the last plan in the table, so that a
// successor can continue. Every change of stage or phase is a new plan, which takes
// effect only once it is written. It does no I/O and reads no clock.
type Controller struct {
	plan   qf.RolloutPlan
	timing Timing
	judge  *Judge
	// counted holds the attempts of each node that are already counted in the plan.
	counted map[qf.NodeID]nodeCounts
	// idle is the time since the last attempt on a route.
	idle map[qf.Route]time.Duration
	// sinceWrite is the time since the plan was last written.
	sinceWrite time.Duration
}

type nodeCounts struct {
	incarnation qf.Incarnation
	routes      map[qf.Route][2]uint64
}

// NewController returns a controller that continues from a plan; the zero plan means
// that there is none.
func NewController(plan qf.RolloutPlan, timing Timing) *Controller {
	c := &Controller{timing: timing}
	c.SetPlan(plan)
	c.sinceWrite = checkpointEvery // The first write announces the holder.
	return c
}

// SetPlan sets a plan that was written to the table.
func (c *Controller) SetPlan(plan qf.RolloutPlan) {
	if c.judge == nil || plan.Generation != c.plan.Generation {
		c.judge = NewJudge(pooledAlpha, plan.Within+plan.WatchFor)
		c.counted = map[qf.NodeID]nodeCounts{}
		c.idle = map[qf.Route]time.Duration{}
	}
	c.plan = plan
	c.plan.Routes = slices.Clone(plan.Routes)
	c.sinceWrite = 0
}

// Plan returns the plan with the progress so far.
func (c *Controller) Plan() *qf.RolloutPlan { return &c.plan }

// AddEvidence adds a node's evidence. Attempts from before this controller first
// received evidence of the node are judged, but not counted for the stage again.
func (c *Controller) AddEvidence(e *qf.RolloutEvidence) {
	if e.Generation != c.plan.Generation || !c.plan.IsActive() {
		return
	}
	c.judge.AddEvidence(e)
	counts, known := c.counted[e.Node]
	if !known || counts.incarnation != e.Incarnation {
		counts = nodeCounts{incarnation: e.Incarnation, routes: map[qf.Route][2]uint64{}}
	}
	isCounted := known || c.plan.Elapsed == 0
	for i := range e.Routes {
		r := &e.Routes[i]
		before, seen := counts.routes[r.Route]
		if r.New < before[0] || r.Old < before[1] {
			continue
		}
		counts.routes[r.Route] = [2]uint64{r.New, r.Old}
		if isCounted || seen {
			c.count(r.Route, r.New-before[0], r.Old-before[1])
		}
	}
	c.counted[e.Node] = counts
}

func (c *Controller) count(route qf.Route, isNew, old uint64) {
	if isNew+old == 0 {
		return
	}
	p := c.plan.Progress(route)
	if p == nil {
		if len(c.plan.Routes) >= maxRoutes {
			return
		}
		share := c.plan.RestShare
		if route.OnceOnly {
			share = 0
		}
		c.plan.Routes = append(c.plan.Routes, qf.RouteProgress{Route: route, Share: share})
		p = &c.plan.Routes[len(c.plan.Routes)-1]
	}
	p.New += isNew
	p.Old += old
	p.StageNew += isNew
	c.idle[route] = 0
}

// StepInput holds the conditions of a step.
type StepInput struct {
	Holder  qf.NodeID
	Fencing qf.FencingNumber
	// IsFresh says whether the node's catalogue is fresh; if not, no share is raised.
	IsFresh bool
	// Stop is a stop received from a node; its Epoch is 0 if there is none.
	Stop qf.RolloutStop
}

// Step adds the elapsed time and returns the plan to write, or nil. The plan takes
// effect once it is written and passed to SetPlan; a node's stop takes effect at
// once.
func (c *Controller) Step(now time.Time, elapsed time.Duration, spec *RolloutSpec, input StepInput) *qf.RolloutPlan {
	elapsed = min(elapsed, maxStepTime)
	next := c.next(now, elapsed, spec, input)
	if next == nil {
		return nil
	}
	next.Holder, next.Fencing = input.Holder, input.Fencing
	return next
}

func (c *Controller) next(now time.Time, elapsed time.Duration, spec *RolloutSpec, input StepInput) *qf.RolloutPlan {
	if input.IsFresh {
		if next := planFor(now, &c.plan, spec, c.timing); next != nil {
			return next
		}
	}
	if !c.plan.IsActive() {
		return nil
	}
	if input.Stop.Epoch >= c.plan.Generation && input.Stop.Version == c.plan.To {
		return c.rollBack(input.Stop.Reason)
	}
	if verdict := c.judge.Evaluate(elapsed); verdict.Bad {
		return c.rollBack(verdict.Reason)
	}
	c.addElapsed(elapsed)
	if !input.IsFresh {
		return nil
	}
	return c.advance(now, spec.HasOnceOnly)
}

// rollBack returns a plan that sends all traffic to the old version.
func (c *Controller) rollBack(reason string) *qf.RolloutPlan {
	next := c.copyPlan()
	next.Phase, next.Reason, next.Late = qf.RolloutRolledBack, reason, ""
	return next
}

// copyPlan returns a copy of the plan with the next step number.
func (c *Controller) copyPlan() *qf.RolloutPlan {
	next := c.plan
	next.Routes = slices.Clone(c.plan.Routes)
	next.Step++
	return &next
}

// addElapsed adds elapsed time to the plan and its routes.
func (c *Controller) addElapsed(elapsed time.Duration) {
	p := &c.plan
	p.Elapsed += elapsed
	c.sinceWrite += elapsed
	if p.Phase == qf.RolloutWatching {
		p.Watched += elapsed
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		c.idle[r.Route] += elapsed
		if r.Share > 0 {
			r.Dwelled += elapsed
		}
		r.Rate = float64(r.New+r.Old) / max(p.Elapsed.Seconds(), 1)
	}
}

// isIdle reports whether a route has had no attempts for so long that it doesn't
// delay others.
func (c *Controller) isIdle(r *qf.RouteProgress) bool {
	return c.idle[r.Route] > idleAfter+c.plan.Within/20
}

// advance returns the plan with all changes that are due, or nil.
func (c *Controller) advance(now time.Time, hasOnceOnly bool) *qf.RolloutPlan {
	next := c.copyPlan()
	isChanged := false
	if next.FirstShare == 0 {
		isChanged = c.setFirstShare(next)
	} else {
		isChanged = c.raiseShares(now, next, hasOnceOnly)
	}
	late := c.lateReason(now, next, hasOnceOnly)
	isChanged = isChanged || (late == "") != (next.Late == "")
	next.Late = late
	if isChanged || c.sinceWrite >= checkpointEvery {
		next.Baseline = c.baseline()
		return next
	}
	return nil
}

// setFirstShare sets the first share once traffic has been measured.
func (c *Controller) setFirstShare(next *qf.RolloutPlan) bool {
	measure := time.Duration(float64(next.Within) * measurePart)
	if next.Elapsed < min(maxMeasure, max(minMeasure, measure)) {
		return false
	}
	rate := 0.0
	for i := range next.Routes {
		rate += next.Routes[i].Rate
	}
	next.FirstShare = firstShare(next.Within, rate)
	next.RestShare = next.FirstShare
	for i := range next.Routes {
		if r := &next.Routes[i]; !r.Route.OnceOnly {
			r.Share = next.FirstShare
		}
	}
	return true
}

// raiseShares moves routes that have passed their stage to the next one, and changes
// the phase if that is due.
func (c *Controller) raiseShares(now time.Time, next *qf.RolloutPlan, hasOnceOnly bool) bool {
	isChanged := false
	mayMoveOnceOnly := c.haveRepeatableMoved(next)
	isProven := c.judge.all.new >= firstStageTotal
	for i := range next.Routes {
		r := &next.Routes[i]
		if hasMoved(next, r) {
			continue
		}
		if r.Route.OnceOnly && r.Share == 0 {
			if mayMoveOnceOnly {
				r.First = routeShare(next, r, rampTime(next, true, hasOnceOnly))
				r.Share, r.Dwelled, r.StageNew = r.First, 0, 0
				isChanged = true
			}
			continue
		}
		if r.First == 0 && isProven {
			r.First = routeShare(next, r, rampTime(next, false, hasOnceOnly))
			r.Share = r.First
			isChanged = true
		}
		if c.hasPassed(now, next, r, hasOnceOnly) {
			r.Stage++
			r.Share, r.Dwelled, r.StageNew = shareOf(routeFirstShare(next, r), r.Stage), 0, 0
			isChanged = true
		}
	}
	return c.changePhase(now, next) || isChanged
}

// haveRepeatableMoved reports whether once-only calls may follow: all repeatable
// routes with traffic have moved, or there are none.
func (c *Controller) haveRepeatableMoved(next *qf.RolloutPlan) bool {
	hasAny := false
	for i := range next.Routes {
		r := &next.Routes[i]
		if r.Route.OnceOnly || c.isIdle(r) || isLowTraffic(next, r) {
			continue
		}
		hasAny = true
		if !hasMoved(next, r) {
			return false
		}
	}
	return hasAny || next.Elapsed >= time.Duration(float64(next.Within)*(1-rampPart))
}

// hasPassed reports whether a route has been judged for long enough in its stage. A
// route without attempts at the new version never passes.
func (c *Controller) hasPassed(now time.Time, plan *qf.RolloutPlan, r *qf.RouteProgress, hasOnceOnly bool) bool {
	dwell := shortenedDwell(plan, now, r, dwellOf(plan, r, hasOnceOnly))
	hasEnoughAttempts := r.StageNew >= requiredAttempts(plan, r, dwell) && c.judge.all.new >= requiredTotalAttempts(r)
	if hasEnoughAttempts && r.Dwelled >= minDwellOf(dwell) {
		return true
	}
	return r.StageNew > 0 && r.Dwelled >= dwell
}

// changePhase starts the watch once all routes with traffic have moved, and ends the
// rollout after it, but not before the deadline: the old version must be kept until
// then in any case.
func (c *Controller) changePhase(now time.Time, next *qf.RolloutPlan) bool {
	moved, pending := 0, 0
	for i := range next.Routes {
		switch r := &next.Routes[i]; {
		case hasMoved(next, r):
			moved++
		case !c.isIdle(r) && !isLowTraffic(next, r):
			pending++
		}
	}
	switch {
	case next.Phase == qf.RolloutRamping && moved > 0 && pending == 0:
		next.Phase, next.Watched = qf.RolloutWatching, 0
		next.Reason = fmt.Sprintf("all routes with traffic have moved; %s is kept for %s", next.From, next.WatchFor)
		return true
	case next.Phase == qf.RolloutWatching && !now.Before(next.MoveBy) && c.isWatched(next):
		next.Phase, next.RestShare = qf.RolloutDone, 1
		next.Routes = slices.DeleteFunc(next.Routes, func(r qf.RouteProgress) bool { return hasMoved(next, &r) })
		next.Reason = fmt.Sprintf("traffic has moved and nothing bad was seen for %s", next.Watched.Round(time.Second))
		if n := len(next.Routes); n > 0 {
			next.Reason += fmt.Sprintf("; %d routes had too little traffic to be judged and stay with %s for now", n, next.From)
		}
		return true
	default:
		return false
	}
}

// isWatched reports whether the watch has lasted long enough and every route with
// traffic has had enough attempts in it.
func (c *Controller) isWatched(next *qf.RolloutPlan) bool {
	if next.Watched < next.WatchFor {
		return false
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if hasMoved(next, r) && r.StageNew < stageAttempts && !c.isIdle(r) && !isLowTraffic(next, r) {
			return next.Watched >= maxWatchFactor*next.WatchFor
		}
	}
	return true
}

// lateReason says why traffic won't have moved by the deadline, or "" if it is
// expected to.
func (c *Controller) lateReason(now time.Time, next *qf.RolloutPlan, hasOnceOnly bool) string {
	if next.Phase != qf.RolloutRamping || next.MoveBy.IsZero() {
		return next.Late
	}
	if next.FirstShare == 0 {
		return next.Late
	}
	var repeatable, onceOnly time.Duration
	var slowest *qf.RouteProgress
	for i := range next.Routes {
		r := &next.Routes[i]
		if c.isIdle(r) || isLowTraffic(next, r) {
			continue
		}
		left := remaining(now, next, r, hasOnceOnly)
		if slowest == nil || left > max(repeatable, onceOnly) {
			slowest = r
		}
		if r.Route.OnceOnly {
			onceOnly = max(onceOnly, left)
		} else {
			repeatable = max(repeatable, left)
		}
	}
	end := now.Add(repeatable + onceOnly)
	switch {
	case slowest == nil && next.Elapsed > next.Within/4:
		return "there is no traffic to judge it by"
	case slowest != nil && end.After(next.MoveBy.Add(c.lateSlack(next))):
		return fmt.Sprintf("%s needs %s more at %.2g attempts a second, until %s", routeName(slowest.Route),
			(repeatable + onceOnly).Round(time.Minute), slowest.Rate, end.Round(time.Minute).UTC().Format(time.RFC3339))
	case !now.Before(next.MoveBy):
		return "the deadline has passed"
	default:
		return ""
	}
}

// lateSlack returns the hysteresis of the estimate, so that single attempts don't
// toggle it.
func (c *Controller) lateSlack(next *qf.RolloutPlan) time.Duration {
	slack := time.Duration(float64(next.Within) * deadlineReserve)
	if next.Late != "" {
		return -slack
	}
	return slack
}

// baseline returns the old version's event rate for each metric, once there are
// enough attempts.
func (c *Controller) baseline() []float64 {
	const minAttempts = 50
	all := c.judge.all
	if all.old < minAttempts {
		return c.plan.Baseline
	}
	rates := make([]float64, metricCount)
	for m := range rates {
		rates[m] = float64(all.oldEvents[m]+1) / float64(all.oldJudged[m]+2)
	}
	return rates
}
