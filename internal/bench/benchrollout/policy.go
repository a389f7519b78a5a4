package benchrollout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrollout"
)

// policy moves one entry's traffic from the old version to the new one.
type policy interface {
	choose(now time.Time, node int, route qf.Route) qf.Version
	observe(node int, o qf.Observation)
	// second is called once a second and half a second later.
	second(now time.Time)
	half(now time.Time)
	// share is the largest share of any route, for the spread over endpoints.
	share() float64
	isMoved() bool
	// takenBackAt is when the first node stopped the version, or zero.
	takenBackAt() time.Time
}

const entryName qf.EntryName = "entry"

// staged is the system's own policy: a chooser at each node and a controller,
// which hear of each other half a second later.
type staged struct {
	random     *rand.Rand
	nodes      []*qfrollout.Chooser
	controller *qfrollout.Controller
	wish       qfrollout.RolloutSpec
	start      time.Time
	stopped    time.Time
}

func newStaged(start time.Time, w *workload, random *rand.Rand) *staged {
	s := &staged{random: random, wish: qfrollout.RolloutSpec{
		Entry: entryName, Versions: []qf.Version{oldVersion, newVersion}, Target: newVersion,
		MoveBy: start.Add(w.within), WatchFor: watchFor, HasOnceOnly: w.onceOnly > 0, Revision: 2,
	}}
	for i := range w.nodes {
		s.nodes = append(s.nodes, qfrollout.NewChooser(qf.Node{ID: qf.NodeID(fmt.Sprintf("node-%d", i+1)), Incarnation: 1}, random))
	}
	before := qf.RolloutPlan{
		Entry: entryName, From: oldVersion, To: oldVersion, Generation: 1, Step: 1, Phase: qf.RolloutDone, RestShare: 1, Revision: 1,
	}
	for _, n := range s.nodes {
		n.SetPlan(start, w.nodes, &before)
	}
	s.start = start
	s.controller = qfrollout.NewController(before, qfrollout.Timing{Within: w.within, WatchFor: watchFor, Least: time.Minute})
	return s
}

func (s *staged) choose(now time.Time, node int, route qf.Route) qf.Version {
	version, _ := s.nodes[node].ChooseVersion(qf.VersionQuery{
		Now: now, Entry: entryName, Organisation: route.Organisation, Region: route.Region,
		Class: route.Class, OnceOnly: route.OnceOnly, Draw: s.random.Float64(),
	})
	if version == "" {
		return oldVersion
	}
	return version
}

func (s *staged) observe(node int, o qf.Observation) { s.nodes[node].RecordObservation(o) }

// second lets nodes judge and the controller step.
func (s *staged) second(now time.Time) {
	if now.Before(s.start) {
		return
	}
	for _, n := range s.nodes {
		if len(n.StopBadVersions(now, time.Second)) > 0 {
			s.noteStop(now)
		}
		if e, ok := n.Evidence(entryName); ok {
			s.controller.AddEvidence(&e)
		}
	}
	facts := qfrollout.StepInput{Holder: "node-1", Fencing: 1, IsFresh: true}
	facts.Stop, _ = s.nodes[0].ActiveStop(entryName)
	if next := s.controller.Step(now, time.Second, &s.wish, facts); next != nil {
		s.controller.SetPlan(*next)
		s.nodes[0].SetPlan(now, len(s.nodes), next)
		if next.Phase == qf.RolloutRolledBack {
			s.noteStop(now)
		}
	}
}

func (s *staged) noteStop(now time.Time) {
	if s.stopped.IsZero() {
		s.stopped = now
	}
}

// half spreads plans and stops.
func (s *staged) half(now time.Time) {
	for _, from := range s.nodes {
		for _, to := range s.nodes {
			for _, stop := range from.ListStops() {
				to.ApplyStop(stop)
			}
			for _, plan := range from.Plans() {
				to.SetPlan(now, len(s.nodes), &plan)
			}
		}
	}
}

func (s *staged) share() float64 {
	_, share := s.nodes[0].EndpointShare(entryName)
	return share
}

func (s *staged) isMoved() bool {
	p := s.controller.Plan()
	return p.To == newVersion && (p.Phase == qf.RolloutWatching || p.Phase == qf.RolloutDone)
}

func (s *staged) takenBackAt() time.Time { return s.stopped }

// stepped is a baseline: fixed shares for fixed times, and thresholds on the
// means of all routes together.
type stepped struct {
	random   *rand.Rand
	start    time.Time
	within   time.Duration
	shares   []float64
	now      time.Time
	step     int
	old, new totals
	stopped  time.Time
}

type totals struct {
	count, failed int
	first         time.Duration
}

const (
	leastSamples      = 30
	failureThreshold  = 0.05
	slownessThreshold = 1.4
)

func newStepped(start time.Time, within time.Duration, shares []float64, random *rand.Rand) *stepped {
	return &stepped{random: random, start: start, within: within, shares: shares, now: start.Add(-time.Second)}
}

func (s *stepped) choose(_ time.Time, _ int, _ qf.Route) qf.Version {
	if s.stopped.IsZero() && s.random.Float64() < s.share() {
		return newVersion
	}
	return oldVersion
}

func (s *stepped) observe(_ int, o qf.Observation) {
	t := &s.old
	if o.Version == newVersion {
		t = &s.new
	}
	t.count++
	t.first += o.FirstToken
	if o.Failed {
		t.failed++
	}
}

func (s *stepped) second(now time.Time) {
	s.now = now
	if now.Before(s.start) {
		return
	}
	step := min(len(s.shares)-1, int(float64(now.Sub(s.start))/float64(s.within)*float64(len(s.shares))))
	if step != s.step {
		s.step, s.new = step, totals{}
	}
	if s.new.count < leastSamples || !s.stopped.IsZero() {
		return
	}
	isSlow := s.old.count > 0 && float64(s.new.first)/float64(s.new.count) > slownessThreshold*float64(s.old.first)/float64(s.old.count)
	if float64(s.new.failed)/float64(s.new.count) > failureThreshold || isSlow {
		s.stopped = now
	}
}

func (s *stepped) half(time.Time) {}

func (s *stepped) share() float64 {
	if s.now.Before(s.start) {
		return 0
	}
	return s.shares[s.step]
}

func (s *stepped) isMoved() bool { return s.stopped.IsZero() && s.step == len(s.shares)-1 }

func (s *stepped) takenBackAt() time.Time { return s.stopped }
