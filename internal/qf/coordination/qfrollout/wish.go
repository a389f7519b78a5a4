package qfrollout

import (
	"fmt"
	"time"

	"quetzalfront/internal/qf"
)

// Timing holds the times of rollouts for which the catalogue gives none.
type Timing struct {
	Within   time.Duration
	WatchFor time.Duration
	// Least is the time that a rollout takes even if its deadline is nearer, or
	// past.
	Least time.Duration
}

// fallBack returns the version that traffic goes back to.
func fallBack(plan *qf.RolloutPlan) qf.Version {
	if plan.Phase == qf.RolloutDone {
		return plan.To
	}
	return plan.From
}

// IsSpecMet reports whether nothing has to be done for a wish.
func IsSpecMet(plan *qf.RolloutPlan, wish *RolloutSpec) bool {
	if plan == nil {
		return wish.Target == ""
	}
	return !plan.IsActive() && wished(plan, wish) == wishNone
}

// wishChange says what a wish changes.
type wishChange string

const (
	wishNone     wishChange = "None"
	wishFirst    wishChange = "First"
	wishStart    wishChange = "Start"
	wishRollBack wishChange = "RollBack"
	wishTimes    wishChange = "Times"
)

// settled returns the version that counts as good while no plan is known: the
// first one listed that isn't the target, so that a target that changes before
// the first plan is written still moves by stages.
func (w *RolloutSpec) settled() qf.Version {
	for _, v := range w.Versions {
		if v != w.Target {
			return v
		}
	}
	return w.Target
}

// wished compares a wish with the plan. A wish of an older catalogue revision than
// the plan's changes nothing: this node hasn't the newer one yet.
func wished(plan *qf.RolloutPlan, wish *RolloutSpec) wishChange {
	isUnderWay := plan.Phase == qf.RolloutRamping || plan.Phase == qf.RolloutWatching
	switch {
	case wish.Target == "" || wish.Revision < plan.Revision:
		return wishNone
	case plan.Generation == 0:
		return wishFirst
	case wish.Target == plan.To && isUnderWay:
		if !wish.MoveBy.Equal(plan.MoveBy) || (wish.WatchFor > 0 && wish.WatchFor != plan.WatchFor) {
			return wishTimes
		}
		return wishNone
	case wish.Target == plan.To && plan.Phase == qf.RolloutRolledBack:
		return wishNone // It was bad; wishing for it once more changes nothing.
	case wish.Target == fallBack(plan) && plan.Phase == qf.RolloutDone:
		return wishNone
	case wish.Target == fallBack(plan):
		return wishRollBack
	default:
		return wishStart
	}
}

// planFor returns the plan that a wish asks for, or nil if it changes nothing.
func planFor(now time.Time, plan *qf.RolloutPlan, wish *RolloutSpec, pace Timing) *qf.RolloutPlan {
	change := wished(plan, wish)
	if change == wishNone {
		return nil
	}
	if change == wishTimes {
		next := *plan
		next.Revision = wish.Revision
		next.Step++
		setTimes(now, &next, wish, pace)
		return &next
	}
	fresh := &qf.RolloutPlan{
		Entry: wish.Entry, Revision: wish.Revision, Generation: plan.Generation + 1, Step: 1,
		From: fallBack(plan), To: wish.Target, Phase: qf.RolloutDone, RestShare: 1,
	}
	switch change {
	case wishFirst:
		fresh.From = wish.settled()
		fresh.Reason = "it is the entry's first version"
		if fresh.From != fresh.To {
			fresh.Phase, fresh.RestShare = qf.RolloutRamping, 0
			fresh.Reason = fmt.Sprintf("%s was listed before it and no plan was known", fresh.From)
			setTimes(now, fresh, wish, pace)
		}
	case wishRollBack:
		fresh.Reason = fmt.Sprintf("revision %d set the target back to %s while %s was %s", wish.Revision, wish.Target, plan.To, plan.Phase)
	case wishStart:
		fresh.Phase, fresh.RestShare = qf.RolloutRamping, 0
		fresh.Reason = fmt.Sprintf("revision %d asks for it", wish.Revision)
		if plan.IsActive() && plan.Phase != qf.RolloutDone {
			fresh.Reason += fmt.Sprintf("; the rollout of %s was given up for it", plan.To)
		}
		setTimes(now, fresh, wish, pace)
	}
	return fresh
}

// setTimes works out how long the rollout may take. A deadline that is too near
// or past doesn't make it faster than is safe; the plan then says that it is late.
func setTimes(now time.Time, plan *qf.RolloutPlan, wish *RolloutSpec, pace Timing) {
	plan.MoveBy, plan.Within, plan.WatchFor, plan.Late = wish.MoveBy, pace.Within, wish.WatchFor, ""
	if plan.WatchFor <= 0 {
		plan.WatchFor = pace.WatchFor
	}
	if wish.MoveBy.IsZero() {
		return
	}
	left := wish.MoveBy.Sub(now)
	plan.Within = max(left+plan.Elapsed, pace.Least)
	switch {
	case left <= 0:
		plan.Late = fmt.Sprintf("the deadline %s was past when revision %d asked for it", wish.MoveBy.UTC().Format(time.RFC3339), wish.Revision)
	case left < pace.Least:
		plan.Late = fmt.Sprintf("the deadline was only %s away; moving takes at least %s", left.Round(time.Second), pace.Least)
	}
}
