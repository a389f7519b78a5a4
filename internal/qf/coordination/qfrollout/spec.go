package qfrollout

import (
	"fmt"
	"time"

	"quetzalfront/internal/qf"
)

// Timing holds the durations of rollouts for which the catalogue gives none.
type Timing struct {
	Within   time.Duration
	WatchFor time.Duration
	// Least is the shortest duration of a rollout, even if its deadline is nearer or
	// past.
	Least time.Duration
}

// FallbackVersion returns the last good version, which traffic goes back to if a
// rollout is rolled back.
func FallbackVersion(plan *qf.RolloutPlan) qf.Version {
	if plan.Phase == qf.RolloutDone {
		return plan.To
	}
	return plan.From
}

// IsSpecMet reports whether nothing has to be done for a spec.
func IsSpecMet(plan *qf.RolloutPlan, spec *RolloutSpec) bool {
	if plan == nil {
		return spec.Target == ""
	}
	return !plan.IsActive() && compareSpec(plan, spec) == changeNone
}

// specChange is the change that a spec requires of the plan.
type specChange string

const (
	changeNone     specChange = "None"
	changeFirst    specChange = "First"
	changeStart    specChange = "Start"
	changeRollBack specChange = "RollBack"
	changeTimes    specChange = "Times"
)

// initialVersion returns the version in use before the first plan: the first one
// listed that isn't the target, so that a target that changes before the first plan
// is written still moves in stages.
func (s *RolloutSpec) initialVersion() qf.Version {
	for _, v := range s.Versions {
		if v != s.Target {
			return v
		}
	}
	return s.Target
}

// compareSpec compares a spec with the plan. A spec of an older catalogue revision
// than the plan's changes nothing: this node hasn't received the newer one yet.
func compareSpec(plan *qf.RolloutPlan, spec *RolloutSpec) specChange {
	isUnderWay := plan.Phase == qf.RolloutRamping || plan.Phase == qf.RolloutWatching
	switch {
	case spec.Target == "" || spec.Revision < plan.Revision:
		return changeNone
	case plan.Generation == 0:
		return changeFirst
	case spec.Target == plan.To && isUnderWay:
		if !spec.MoveBy.Equal(plan.MoveBy) || (spec.WatchFor > 0 && spec.WatchFor != plan.WatchFor) {
			return changeTimes
		}
		return changeNone
	case spec.Target == plan.To && plan.Phase == qf.RolloutRolledBack:
		return changeNone // It was bad; requesting it again changes nothing.
	case spec.Target == FallbackVersion(plan) && plan.Phase == qf.RolloutDone:
		return changeNone
	case spec.Target == FallbackVersion(plan):
		return changeRollBack
	default:
		return changeStart
	}
}

// planFor returns the plan that a spec requires, or nil if it changes nothing.
func planFor(now time.Time, plan *qf.RolloutPlan, spec *RolloutSpec, timing Timing) *qf.RolloutPlan {
	change := compareSpec(plan, spec)
	if change == changeNone {
		return nil
	}
	if change == changeTimes {
		next := *plan
		next.Revision = spec.Revision
		next.Step++
		setTimes(now, &next, spec, timing)
		return &next
	}
	fresh := &qf.RolloutPlan{
		Entry: spec.Entry, Revision: spec.Revision, Generation: plan.Generation + 1, Step: 1,
		From: FallbackVersion(plan), To: spec.Target, Phase: qf.RolloutDone, RestShare: 1,
	}
	switch change {
	case changeFirst:
		fresh.From = spec.initialVersion()
		fresh.Reason = "it is the entry's first version"
		if fresh.From != fresh.To {
			fresh.Phase, fresh.RestShare = qf.RolloutRamping, 0
			fresh.Reason = fmt.Sprintf("%s was listed before it and no plan was known", fresh.From)
			setTimes(now, fresh, spec, timing)
		}
	case changeRollBack:
		fresh.Reason = fmt.Sprintf("revision %d set the target back to %s while %s was %s", spec.Revision, spec.Target, plan.To, plan.Phase)
	case changeStart:
		fresh.Phase, fresh.RestShare = qf.RolloutRamping, 0
		fresh.Reason = fmt.Sprintf("revision %d asks for it", spec.Revision)
		if plan.IsActive() && plan.Phase != qf.RolloutDone {
			fresh.Reason += fmt.Sprintf("; the rollout of %s was given up for it", plan.To)
		}
		setTimes(now, fresh, spec, timing)
	}
	return fresh
}

// setTimes computes how long the rollout may take. A deadline that is too near or
// past doesn't make it faster than is safe; the plan then says why it is late.
func setTimes(now time.Time, plan *qf.RolloutPlan, spec *RolloutSpec, timing Timing) {
	plan.MoveBy, plan.Within, plan.WatchFor, plan.Late = spec.MoveBy, timing.Within, spec.WatchFor, ""
	if plan.WatchFor <= 0 {
		plan.WatchFor = timing.WatchFor
	}
	if spec.MoveBy.IsZero() {
		return
	}
	left := spec.MoveBy.Sub(now)
	plan.Within = max(left+plan.Elapsed, timing.Least)
	switch {
	case left <= 0:
		plan.Late = fmt.Sprintf("the deadline %s was past when revision %d asked for it", spec.MoveBy.UTC().Format(time.RFC3339), spec.Revision)
	case left < timing.Least:
		plan.Late = fmt.Sprintf("the deadline was only %s away; moving takes at least %s", left.Round(time.Second), timing.Least)
	}
}
