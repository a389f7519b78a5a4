package qfrollout

import (
	"fmt"
	"math"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// canaryShare is the new version's share of the requests while it is judged.
	canaryShare = 0.06
	// settlePart is the fraction of a rollout's time after which the old version has
	// finished its requests; the rest is a reserve for the last calls.
	settlePart = 0.9
	// moveFor is the time in which the old version finishes its requests before it is
	// stopped, at most maxMovePart of a rollout's time.
	moveFor     = 2500 * time.Millisecond
	maxMovePart = 0.25
	// minJudged is the least number of requests after which a version may pass, and
	// minFlawless the least if none of them was bad.
	minJudged, minFlawless = 8, 4
	// wantJudged is the number of requests that the share is raised for if traffic is low, up
	// to maxCanaryShare: few requests are exposed in any case.
	wantJudged     = 16
	maxCanaryShare = 0.5
	// shareRaise is the least factor of a raise, measureFor the fraction of a rollout's time
	// after which the rate of requests is known.
	shareRaise = 1.5
	measureFor = 0.15
	// minBad is the least number of bad responses after which a version may count as
	// bad.
	minBad = 4
	// badDeviations is the number of standard deviations by which the bad responses must
	// exceed the number expected from the old version.
	badDeviations = 3.5
	// passDeviations is the number by which they may exceed it if the version is to pass.
	passDeviations = 3
	// minBadRate is the rate of bad responses that is tolerated in any case.
	minBadRate = 0.01
)

// VersionCounts holds the requests that all nodes counted for one version, on one
// route or on all.
type VersionCounts struct {
	Judged, Bad uint64
}

// TimedInput holds the conditions of a step of a timed rollout.
type TimedInput struct {
	// Now is the time of the clock that the nodes have agreed on.
	Now time.Time
	// Order is the operator's order of the rollout.
	Order qf.RolloutOrder
	// Current is the version, other than the order's, that most endpoints run.
	Current qf.Version
	// HasNew says whether endpoints of the new version are registered.
	HasNew bool
	// Old and New are the counts since the order: first those of all routes, then route
	// by route in the same order.
	Old, New []VersionCounts
}

// StepTimed returns the next plan of a rollout with a deadline of seconds, or nil if
// nothing changes. The new version gets a small constant share of the requests while
// it is judged; then all requests go to it while the old version finishes its own;
// then the rollout is done. A bad version is rolled back as soon as it is detected, and one
// that can't be shown to be good by the deadline is rolled back then.
func StepTimed(plan *qf.RolloutPlan, input *TimedInput) *qf.RolloutPlan {
	if plan == nil || plan.Generation < input.Order.Stamp {
		return startTimed(plan, input)
	}
	if plan.Phase != qf.RolloutRamping && plan.Phase != qf.RolloutWatching {
		return nil
	}
	if reason := findBadReason(input); reason != "" {
		return withPhase(plan, qf.RolloutRolledBack, 0, reason)
	}
	left := plan.MoveBy.Sub(input.Now)
	move := min(moveFor, time.Duration(float64(plan.Within)*maxMovePart))
	switch {
	case plan.Phase == qf.RolloutWatching && left <= 0:
		return withPhase(plan, qf.RolloutDone, 1, "the old version has finished its requests")
	case plan.Phase == qf.RolloutWatching:
		return nil
	case left <= move && input.HasNew && hasPassed(input):
		return withPhase(plan, qf.RolloutWatching, 1, fmt.Sprintf("%d of %d requests were bad", input.New[0].Bad, input.New[0].Judged))
	case left <= 0:
		return withPhase(plan, qf.RolloutRolledBack, 0, fmt.Sprintf("it isn't shown to be good: %d of %d requests were bad", input.New[0].Bad, input.New[0].Judged))
	default:
		return raiseShare(plan, input, left-move)
	}
}

// RollBackTimed returns the plan with which a node that doesn't hold the lease rolls a bad version back by the counts
// that it knows, or nil if nothing shows that the version is bad.
func RollBackTimed(plan *qf.RolloutPlan, input *TimedInput) *qf.RolloutPlan {
	if plan == nil || plan.Phase != qf.RolloutRamping && plan.Phase != qf.RolloutWatching {
		return nil
	}
	if reason := findBadReason(input); reason != "" {
		return withPhase(plan, qf.RolloutRolledBack, 0, reason)
	}
	return nil
}

// ReplacesTimed reports whether a plan of a timed rollout replaces another one of its entry. Within a rollout its end
// replaces every plan that leads there, because any node may roll a version back while the holder of the lease takes
// another step. If both ends were reached, the rollout is done: the old version may be gone.
func ReplacesTimed(plan, other *qf.RolloutPlan) bool {
	if plan.Generation != other.Generation || finality(plan) == finality(other) {
		return plan.IsNewerThan(other)
	}
	return finality(plan) > finality(other)
}

// finality ranks the ends of a rollout above the plans that lead there.
func finality(plan *qf.RolloutPlan) int {
	switch plan.Phase {
	case qf.RolloutDone:
		return 2
	case qf.RolloutRolledBack:
		return 1
	default:
		return 0
	}
}

// hasPassed reports whether enough requests were judged and none of the routes looks bad.
func hasPassed(input *TimedInput) bool {
	all := &input.New[0]
	if all.Judged < minJudged && (all.Judged < minFlawless || all.Bad > 0) {
		return false
	}
	for i := range input.New {
		if exceeds(&input.New[i], &input.Old[i], passDeviations) {
			return false
		}
	}
	return true
}

// raiseShare returns the plan with a larger share if too few requests would be judged in the
// time that is left for it, or nil.
func raiseShare(plan *qf.RolloutPlan, input *TimedInput, left time.Duration) *qf.RolloutPlan {
	elapsed := time.Duration(float64(plan.Within)*settlePart) - plan.MoveBy.Sub(input.Now)
	if left <= 0 || !input.HasNew || elapsed < time.Duration(float64(plan.Within)*measureFor) {
		return nil
	}
	missing := wantJudged - float64(input.New[0].Judged)
	expected := float64(input.New[0].Judged+input.Old[0].Judged) * left.Seconds() / elapsed.Seconds()
	share := maxCanaryShare
	if expected > 0 {
		share = min(missing/expected, maxCanaryShare)
	}
	if missing <= 0 || share < plan.RestShare*shareRaise {
		return nil
	}
	return withPhase(plan, qf.RolloutRamping, share, fmt.Sprintf("%.0f requests are expected until it is judged", expected))
}

// startTimed returns the first plan of a rollout. A rollout to the version in use is
// done at once.
func startTimed(plan *qf.RolloutPlan, input *TimedInput) *qf.RolloutPlan {
	next := &qf.RolloutPlan{
		Entry: input.Order.Entry, From: input.Current, To: input.Order.To, Generation: input.Order.Stamp, Step: 1,
		Phase: qf.RolloutRamping, RestShare: canaryShare, Within: input.Order.Within,
		MoveBy: input.Now.Add(time.Duration(float64(input.Order.Within) * settlePart)), Reason: "the operator asks for it",
	}
	if plan != nil {
		next.From = FallbackVersion(plan)
	}
	if next.From == next.To || next.From == "" {
		next.Phase, next.RestShare, next.Reason = qf.RolloutDone, 1, "the version is in use already"
	}
	return next
}

// withPhase returns the next step of a plan, in another phase.
func withPhase(plan *qf.RolloutPlan, phase qf.RolloutPhase, share float64, reason string) *qf.RolloutPlan {
	next := *plan
	next.Step++
	next.Phase, next.RestShare, next.Reason = phase, share, reason
	return &next
}

// findBadReason says why the new version is bad, or returns "". Each route is judged
// as well as all together, because a version may be bad on one route only.
func findBadReason(input *TimedInput) string {
	for i := range input.New {
		n, o := &input.New[i], &input.Old[i]
		if n.Bad >= minBad && exceeds(n, o, badDeviations) {
			return fmt.Sprintf("%d of %d requests were bad, against %d of %d before", n.Bad, n.Judged, o.Bad, o.Judged)
		}
	}
	return ""
}

// exceeds reports whether the bad responses of the new version exceed the number expected from
// the old one by more than a number of standard deviations.
func exceeds(n, o *VersionCounts, deviations float64) bool {
	rate := max(float64(o.Bad)/float64(max(o.Judged, 1)), minBadRate)
	expected := float64(n.Judged) * rate
	deviation := math.Sqrt(expected*(1-min(rate, 1)) + 0.25)
	return float64(n.Bad) > expected+deviations*deviation
}
