package entry

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftally"
)

const (
	// An answer counts as bad if it starts later than slowFactor times the baseline plus
	// slowMargin, or if its events are slowFactor times as far apart as the baseline, plus
	// slowEventMargin.
	slowFactor      = 3
	slowMargin      = 60 * time.Millisecond
	slowEventMargin = 10 * time.Millisecond
	// minPacedEvents is the least number of events from which their distance is judged.
	minPacedEvents = 4
	// baselineSamples is the inverse of the weight of a new sample in a baseline.
	baselineSamples = 16
)

// versionJudge counts good and bad attempts by version and route while a rollout compares
// versions. An attempt counts once its answer starts or is overdue, so that a slow
// version doesn't give its evidence last. The endpointPicker's lock guards it.
type versionJudge struct {
	plans    map[qf.EntryName]*qf.RolloutPlan
	counters *qftally.Counters[qf.VersionKey]
	// baselines holds what is usual on each route, at the versions that aren't under judgement.
	baselines map[string]*routeBaseline
	// attempts holds the attempts in progress by their identifiers.
	attempts map[uint64]*judgedAttempt
	last     uint64
}

// routeBaseline holds moving averages; 0 means that there is no sample yet.
type routeBaseline struct {
	// began is the time to the start of an answer, pace that between two events.
	began, pace time.Duration
}

// judgedAttempt is an attempt in progress.
type judgedAttempt struct {
	key       qf.VersionKey
	startedAt time.Time
	// isCounted and isBad are set once the attempt was counted, and as bad.
	isCounted, isBad bool
}

func newVersionJudge(plans map[qf.EntryName]*qf.RolloutPlan, counters *qftally.Counters[qf.VersionKey]) *versionJudge {
	return &versionJudge{plans: plans, counters: counters, baselines: map[string]*routeBaseline{}, attempts: map[uint64]*judgedAttempt{}}
}

// start registers an attempt if a rollout of its entry is under way, and returns its identifier.
func (j *versionJudge) start(p *qf.PickedEndpoint) uint64 {
	plan := j.plans[p.Endpoint.Entry]
	if plan == nil || plan.Phase == qf.RolloutDone || plan.Phase == qf.RolloutRolledBack {
		return 0
	}
	j.last++
	j.attempts[j.last] = &judgedAttempt{
		key:       qf.VersionKey{Generation: plan.Generation, Entry: plan.Entry, Version: p.Endpoint.Version, Route: p.Route},
		startedAt: p.StartedAt,
	}
	return j.last
}

// count counts an attempt once, and once more as bad.
func (j *versionJudge) count(a *judgedAttempt, isBad bool) {
	if !a.isCounted {
		a.isCounted = true
		j.counters.Add(a.key, 1)
	}
	if isBad && !a.isBad {
		a.isBad = true
		key := a.key
		key.Bad = true
		j.counters.Add(key, 1)
	}
}

// isSlowStart reports whether an answer that starts after some time is slow on its route.
func (j *versionJudge) isSlowStart(route string, began time.Duration) bool {
	b := j.baselines[route]
	return b != nil && b.began > 0 && began > slowFactor*b.began+slowMargin
}

// countOverdue counts the attempts whose answers should have started.
func (j *versionJudge) countOverdue(now time.Time) {
	for _, a := range j.attempts {
		if !a.isCounted && j.isSlowStart(a.key.Route, now.Sub(a.startedAt)) {
			j.count(a, true)
		}
	}
}

// isJudged reports whether an attempt ran at a version that is compared with the usual one.
func (j *versionJudge) isJudged(p *qf.PickedEndpoint) bool {
	plan := j.plans[p.Endpoint.Entry]
	return plan != nil && plan.To == p.Endpoint.Version && plan.Phase != qf.RolloutDone
}

// recordFirstToken records that an answer starts.
func (j *versionJudge) recordFirstToken(p *qf.PickedEndpoint) {
	if a := j.attempts[p.Judgement]; a != nil {
		j.count(a, j.isSlowStart(p.Route, p.Began))
	}
	if j.isJudged(p) {
		return
	}
	b := j.baselines[p.Route]
	if b == nil {
		b = &routeBaseline{}
		j.baselines[p.Route] = b
	}
	b.began = average(b.began, p.Began)
}

func average(baseline, sample time.Duration) time.Duration {
	if baseline == 0 {
		return sample
	}
	return baseline + (sample-baseline)/baselineSamples
}

// isSlowPace reports whether the events of a stream are slow on its route.
func (j *versionJudge) isSlowPace(route string, pace time.Duration) bool {
	b := j.baselines[route]
	return b != nil && b.pace > 0 && pace > slowFactor*b.pace+slowEventMargin
}

// recordProgress records that a stream goes on.
func (j *versionJudge) recordProgress(at time.Time, p *qf.PickedEndpoint) {
	if a := j.attempts[p.Judgement]; a != nil && j.isSlowPace(p.Route, paceOf(at, p)) {
		j.count(a, true)
	}
}

// recordAttemptEnd records the end of an attempt.
func (j *versionJudge) recordAttemptEnd(at time.Time, p *qf.PickedEndpoint, end qf.AttemptEnd) {
	pace := paceOf(at, p)
	b := j.baselines[p.Route]
	if a := j.attempts[p.Judgement]; a != nil {
		delete(j.attempts, p.Judgement)
		isSlowPace := j.isSlowPace(p.Route, pace)
		switch end {
		case qf.AttemptFailed, qf.AttemptBroken:
			j.count(a, true)
		case qf.AttemptAnswered:
			j.count(a, isSlowPace)
		case qf.AttemptCancelled:
			// The caller or the node gave up; that proves nothing unless the answer was overdue.
			if a.isCounted && isSlowPace || !a.isCounted && j.isSlowStart(p.Route, at.Sub(p.StartedAt)) {
				j.count(a, true)
			}
		default:
		}
	}
	if end == qf.AttemptAnswered && pace > 0 && b != nil && !j.isJudged(p) {
		b.pace = average(b.pace, pace)
	}
}

// paceOf returns the time between two events of a stream, or 0 if there are too few.
func paceOf(at time.Time, p *qf.PickedEndpoint) time.Duration {
	if p.Events < minPacedEvents {
		return 0
	}
	return (at.Sub(p.StartedAt) - p.Began) / time.Duration(p.Events-1)
}
