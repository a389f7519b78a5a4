package qfrollout

import (
	"fmt"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// poolAlpha bounds the probability of a false alarm of one rollout by the
// evidence of all nodes together.
const poolAlpha = 0.003

const (
	// checkpointEvery is the time between two writes of a plan that only record
	// progress.
	checkpointEvery = 5 * time.Second
	// longestStep bounds the time that one call of Step counts, so that a pause
	// of the holder isn't taken for time spent in a stage.
	longestStep = 2 * time.Second
	// Traffic is measured for a part of the rollout's time before the first share
	// is worked out.
	measurePart                  = 0.04
	leastMeasure, longestMeasure = 2 * time.Second, 30 * time.Second
	// silentAfter is the time without attempts after which a route doesn't hold
	// others up.
	silentAfter = 30 * time.Second
	// longestWatch bounds the watch, as a multiple of its set time, if some routes
	// have seen too few attempts since they moved.
	longestWatch = 3
)

// Controller drives one entry's rollout from the plan that was last written to
// the table. A successor starts from there: every change of stage or phase is a
// new plan, which counts only once it is written. It does no I/O and reads no
// clock.
type Controller struct {
	plan  qf.RolloutPlan
	pace  Timing
	judge *Judge
	// counted holds the attempts of each node that the plan already counts.
	counted map[qf.NodeID]nodeCounts
	// idle holds the time since the last attempt of a route.
	idle map[qf.Route]time.Duration
	// sinceWrite is the time since the plan was last written.
	sinceWrite time.Duration
}

type nodeCounts struct {
	incarnation qf.Incarnation
	routes      map[qf.Route][2]uint64
}

// NewController continues from a plan; the zero plan stands for none.
func NewController(plan qf.RolloutPlan, pace Timing) *Controller {
	c := &Controller{pace: pace}
	c.SetPlan(plan)
	c.sinceWrite = checkpointEvery // The first write tells nodes of the holder.
	return c
}

// SetPlan takes a plan that was written.
func (c *Controller) SetPlan(plan qf.RolloutPlan) {
	if c.judge == nil || plan.Generation != c.plan.Generation {
		c.judge = NewJudge(poolAlpha, plan.Within+plan.WatchFor)
		c.counted = map[qf.NodeID]nodeCounts{}
		c.idle = map[qf.Route]time.Duration{}
	}
	c.plan = plan
	c.plan.Routes = slices.Clone(plan.Routes)
	c.sinceWrite = 0
}

// Plan returns the plan with the progress so far.
func (c *Controller) Plan() *qf.RolloutPlan { return &c.plan }

// AddEvidence adds a node's evidence. What a node had seen before this controller first
// heard of it is judged, but isn't counted for the stage again.
func (c *Controller) AddEvidence(e *qf.RolloutEvidence) {
	if e.Generation != c.plan.Generation || !c.plan.IsActive() {
		return
	}
	c.judge.AddEvidence(e)
	counts, known := c.counted[e.Node]
	if !known || counts.incarnation != e.Incarnation {
		counts = nodeCounts{incarnation: e.Incarnation, routes: map[qf.Route][2]uint64{}}
	}
	isNews := known || c.plan.Elapsed == 0
	for i := range e.Routes {
		r := &e.Routes[i]
		before, seen := counts.routes[r.Route]
		if r.New < before[0] || r.Old < before[1] {
			continue
		}
		counts.routes[r.Route] = [2]uint64{r.New, r.Old}
		if isNews || seen {
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

// StepInput are what a step is taken under.
type StepInput struct {
	Holder  qf.NodeID
	Fencing qf.FencingNumber
	// IsFresh says whether the node's catalogue is fresh; without that nothing
	// is raised.
	IsFresh bool
	// Stop is a stop that a node has told; its Epoch is 0 if there is none.
	Stop qf.RolloutStop
}

// Step lets time pass and returns the plan to write, or nil. The plan is in force
// once it is written and adopted; a stop is in force at once.
func (c *Controller) Step(now time.Time, elapsed time.Duration, wish *RolloutSpec, facts StepInput) *qf.RolloutPlan {
	elapsed = min(elapsed, longestStep)
	next := c.next(now, elapsed, wish, facts)
	if next == nil {
		return nil
	}
	next.Holder, next.Fencing = facts.Holder, facts.Fencing
	return next
}

func (c *Controller) next(now time.Time, elapsed time.Duration, wish *RolloutSpec, facts StepInput) *qf.RolloutPlan {
	if facts.IsFresh {
		if next := planFor(now, &c.plan, wish, c.pace); next != nil {
			return next
		}
	}
	if !c.plan.IsActive() {
		return nil
	}
	if facts.Stop.Epoch >= c.plan.Generation && facts.Stop.Version == c.plan.To {
		return c.takeBack(facts.Stop.Reason)
	}
	if verdict := c.judge.Evaluate(elapsed); verdict.Bad {
		return c.takeBack(verdict.Reason)
	}
	c.pass(elapsed)
	if !facts.IsFresh {
		return nil
	}
	return c.advance(now, wish.HasOnceOnly)
}

func (c *Controller) takeBack(reason string) *qf.RolloutPlan {
	next := c.copied()
	next.Phase, next.Reason, next.Late = qf.RolloutRolledBack, reason, ""
	return next
}

func (c *Controller) copied() *qf.RolloutPlan {
	next := c.plan
	next.Routes = slices.Clone(c.plan.Routes)
	next.Step++
	return &next
}

// pass counts time that was spent.
func (c *Controller) pass(elapsed time.Duration) {
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

func (c *Controller) isSilent(r *qf.RouteProgress) bool {
	return c.idle[r.Route] > silentAfter+c.plan.Within/20
}

// advance returns the plan with whatever may change now, or nil.
func (c *Controller) advance(now time.Time, hasOnceOnly bool) *qf.RolloutPlan {
	next := c.copied()
	isChanged := false
	if next.FirstShare == 0 {
		isChanged = c.begin(next)
	} else {
		isChanged = c.raise(now, next, hasOnceOnly)
	}
	late := c.late(now, next, hasOnceOnly)
	isChanged = isChanged || (late == "") != (next.Late == "")
	next.Late = late
	if isChanged || c.sinceWrite >= checkpointEvery {
		next.Baseline = c.baseline()
		return next
	}
	return nil
}

// begin sets the first share once traffic has been measured.
func (c *Controller) begin(next *qf.RolloutPlan) bool {
	measure := time.Duration(float64(next.Within) * measurePart)
	if next.Elapsed < min(longestMeasure, max(leastMeasure, measure)) {
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

// raise moves the routes that have passed their stage, and the phase.
func (c *Controller) raise(now time.Time, next *qf.RolloutPlan, hasOnceOnly bool) bool {
	isChanged := false
	mayOnceOnly := c.repeatableThrough(next)
	isProven := c.judge.all.new >= firstPooled
	for i := range next.Routes {
		r := &next.Routes[i]
		if isThrough(next, r) {
			continue
		}
		if r.Route.OnceOnly && r.Share == 0 {
			if mayOnceOnly {
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
			r.Share, r.Dwelled, r.StageNew = shareOf(ladder(next, r), r.Stage), 0, 0
			isChanged = true
		}
	}
	return c.changePhase(now, next) || isChanged
}

// repeatableThrough reports whether once-only calls may follow: all other routes
// with traffic have moved, or there are none.
func (c *Controller) repeatableThrough(next *qf.RolloutPlan) bool {
	isAny := false
	for i := range next.Routes {
		r := &next.Routes[i]
		if r.Route.OnceOnly || c.isSilent(r) || isTrickle(next, r) {
			continue
		}
		isAny = true
		if !isThrough(next, r) {
			return false
		}
	}
	return isAny || next.Elapsed >= time.Duration(float64(next.Within)*(1-rampPart))
}

// hasPassed reports whether a route has been judged for long enough in its stage.
// A route without attempts at the new version never has.
func (c *Controller) hasPassed(now time.Time, plan *qf.RolloutPlan, r *qf.RouteProgress, hasOnceOnly bool) bool {
	dwell := hurried(plan, now, r, dwellOf(plan, r, hasOnceOnly))
	isEnough := r.StageNew >= enough(plan, r, dwell) && c.judge.all.new >= pooledEnough(r)
	if isEnough && r.Dwelled >= leastDwellOf(dwell) {
		return true
	}
	return r.StageNew > 0 && r.Dwelled >= dwell
}

// changePhase begins the watch once all routes with traffic have moved, and ends
// the rollout after it, but not before the deadline: the old version is needed
// until then in any case.
func (c *Controller) changePhase(now time.Time, next *qf.RolloutPlan) bool {
	through, open := 0, 0
	for i := range next.Routes {
		switch r := &next.Routes[i]; {
		case isThrough(next, r):
			through++
		case !c.isSilent(r) && !isTrickle(next, r):
			open++
		}
	}
	switch {
	case next.Phase == qf.RolloutRamping && through > 0 && open == 0:
		next.Phase, next.Watched = qf.RolloutWatching, 0
		next.Reason = fmt.Sprintf("all routes with traffic have moved; %s is kept for %s", next.From, next.WatchFor)
		return true
	case next.Phase == qf.RolloutWatching && !now.Before(next.MoveBy) && c.isWatched(next):
		next.Phase, next.RestShare = qf.RolloutDone, 1
		next.Routes = slices.DeleteFunc(next.Routes, func(r qf.RouteProgress) bool { return isThrough(next, &r) })
		next.Reason = fmt.Sprintf("traffic has moved and nothing bad was seen for %s", next.Watched.Round(time.Second))
		if n := len(next.Routes); n > 0 {
			next.Reason += fmt.Sprintf("; %d routes had too little traffic to be judged and stay with %s for now", n, next.From)
		}
		return true
	default:
		return false
	}
}

// isWatched reports whether the watch has lasted long enough, and every route with
// traffic has seen enough attempts in it.
func (c *Controller) isWatched(next *qf.RolloutPlan) bool {
	if next.Watched < next.WatchFor {
		return false
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if isThrough(next, r) && r.StageNew < stageAttempts && !c.isSilent(r) && !isTrickle(next, r) {
			return next.Watched >= longestWatch*next.WatchFor
		}
	}
	return true
}

// late says why traffic won't have moved by the deadline, as soon as that shows.
func (c *Controller) late(now time.Time, next *qf.RolloutPlan, hasOnceOnly bool) string {
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
		if c.isSilent(r) || isTrickle(next, r) {
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

// lateSlack keeps the estimate from switching with every attempt.
func (c *Controller) lateSlack(next *qf.RolloutPlan) time.Duration {
	slack := time.Duration(float64(next.Within) * hurryReserve)
	if next.Late != "" {
		return -slack
	}
	return slack
}

// baseline returns the old version's rates of events, once there are enough.
func (c *Controller) baseline() []float64 {
	const enough = 50
	all := c.judge.all
	if all.old < enough {
		return c.plan.Baseline
	}
	rates := make([]float64, metricCount)
	for m := range rates {
		rates[m] = float64(all.oldEvents[m]+1) / float64(all.oldJudged[m]+2)
	}
	return rates
}
