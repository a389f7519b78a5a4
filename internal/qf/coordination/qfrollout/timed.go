package qfrollout

import (
	"fmt"
	"math"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// canaryShare is the new version's part of the requests while it is judged.
	canaryShare = 0.06
	// settlePart is the part of a rollout's time at whose end the old version's requests
	// are over; the rest is a reserve for the last calls.
	settlePart = 0.9
	// moveFor is how long the old version finishes its requests before it is stopped, at
	// most moveAtMost of a rollout's time.
	moveFor    = 2500 * time.Millisecond
	moveAtMost = 0.25
	// leastJudged is the least number of requests on which a version passes.
	leastJudged = 8
	// leastBad is the least number of bad answers that shows a bad version.
	leastBad = 4
	// badDeviations is by how many standard deviations the bad answers must exceed those
	// of the old version.
	badDeviations = 3.5
	// leastRate is the rate of bad answers that is always allowed for.
	leastRate = 0.01
)

// VersionCounts are what all nodes have seen of one version on one route, or on all.
type VersionCounts struct {
	Judged, Bad uint64
}

// TimedInput are what a step of a timed rollout is taken under.
type TimedInput struct {
	// Now is the time of day on which the nodes agree.
	Now time.Time
	// Order asks for the rollout.
	Order qf.RolloutOrder
	// Current is the version that most endpoints run and that isn't the order's.
	Current qf.Version
	// HasNew says whether endpoints of the new version are listed.
	HasNew bool
	// Old and New are the sums since the order, all routes first, then route by route in
	// the same order.
	Old, New []VersionCounts
}

// StepTimed returns the next plan of a rollout that must end within seconds, or nil if
// nothing changes. The new version gets a small constant part of the requests while it
// is judged; then all go to it while the old version finishes its own; then the rollout
// is done. A bad version is taken back at once, whenever that shows.
func StepTimed(plan *qf.RolloutPlan, facts *TimedInput) *qf.RolloutPlan {
	if plan == nil || plan.Generation < facts.Order.Stamp {
		return begin(plan, facts)
	}
	if plan.Phase != qf.RolloutRamping && plan.Phase != qf.RolloutWatching {
		return nil
	}
	if reason := badReason(facts); reason != "" {
		return changed(plan, qf.RolloutRolledBack, 0, reason)
	}
	left := plan.MoveBy.Sub(facts.Now)
	move := min(moveFor, time.Duration(float64(plan.Within)*moveAtMost))
	switch {
	case plan.Phase == qf.RolloutRamping && left <= move && facts.HasNew && facts.New[0].Judged >= leastJudged:
		return changed(plan, qf.RolloutWatching, 1, fmt.Sprintf("nothing bad was seen in %d requests", facts.New[0].Judged))
	case plan.Phase == qf.RolloutWatching && left <= 0:
		return changed(plan, qf.RolloutDone, 1, "the old version has finished its requests")
	default:
		return nil
	}
}

// begin starts a rollout. One for a version that is in use already is done at once.
func begin(plan *qf.RolloutPlan, facts *TimedInput) *qf.RolloutPlan {
	next := &qf.RolloutPlan{
		Entry: facts.Order.Entry, From: facts.Current, To: facts.Order.To, Generation: facts.Order.Stamp, Step: 1,
		Phase: qf.RolloutRamping, RestShare: canaryShare, Within: facts.Order.Within,
		MoveBy: facts.Now.Add(time.Duration(float64(facts.Order.Within) * settlePart)), Reason: "the operator asks for it",
	}
	if plan != nil {
		next.From = fallBack(plan)
	}
	if next.From == next.To || next.From == "" {
		next.Phase, next.RestShare, next.Reason = qf.RolloutDone, 1, "the version is in use already"
	}
	return next
}

func changed(plan *qf.RolloutPlan, phase qf.RolloutPhase, share float64, reason string) *qf.RolloutPlan {
	next := *plan
	next.Step++
	next.Phase, next.RestShare, next.Reason = phase, share, reason
	return &next
}

// badReason says why the new version is bad, or nothing. Each route is judged besides
// all together, because a version may be bad on one only.
func badReason(facts *TimedInput) string {
	for i := range facts.New {
		n, o := &facts.New[i], &facts.Old[i]
		if n.Bad < leastBad {
			continue
		}
		rate := max(float64(o.Bad)/float64(max(o.Judged, 1)), leastRate)
		expected := float64(n.Judged) * rate
		deviation := math.Sqrt(expected*(1-min(rate, 1)) + 0.25)
		if float64(n.Bad) > expected+badDeviations*deviation {
			return fmt.Sprintf("%d of %d requests were bad, against %d of %d before", n.Bad, n.Judged, o.Bad, o.Judged)
		}
	}
	return ""
}
