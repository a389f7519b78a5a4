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
	// evaluate and exchange are each called once a second, exchange half a second after
	// evaluate.
	evaluate(now time.Time)
	exchange(now time.Time)
	// share is the largest share that the new version has on any route; it decides how
	// many endpoints the new version has.
	share() float64
	isMoved() bool
	// stoppedAt is when the first node stopped the new version, or zero.
	stoppedAt() time.Time
}

const entryName qf.EntryName = "entry"

// staged is the product's policy: a chooser at each node and one controller. Plans and
// stops reach the other nodes half a second later.
type staged struct {
	random     *rand.Rand
	nodes      []*qfrollout.Chooser
	controller *qfrollout.Controller
	spec       qfrollout.RolloutSpec
	start      time.Time
	stopTime   time.Time
}

func newStaged(start time.Time, w *workload, random *rand.Rand) *staged {
	s := &staged{random: random, spec: qfrollout.RolloutSpec{
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

// evaluate runs the check for bad versions at each node and then one step of the
// controller.
func (s *staged) evaluate(now time.Time) {
	if now.Before(s.start) {
		return
	}
	for _, n := range s.nodes {
		if len(n.StopBadVersions(now, time.Second)) > 0 {
			s.recordStop(now)
		}
		if e, ok := n.Evidence(entryName); ok {
			s.controller.AddEvidence(&e)
		}
	}
	input := qfrollout.StepInput{Holder: "node-1", Fencing: 1, IsFresh: true}
	input.Stop, _ = s.nodes[0].ActiveStop(entryName)
	if next := s.controller.Step(now, time.Second, &s.spec, input); next != nil {
		s.controller.SetPlan(*next)
		s.nodes[0].SetPlan(now, len(s.nodes), next)
		if next.Phase == qf.RolloutRolledBack {
			s.recordStop(now)
		}
	}
}

func (s *staged) recordStop(now time.Time) {
	if s.stopTime.IsZero() {
		s.stopTime = now
	}
}

// exchange sends each node's plans and stops to all nodes.
func (s *staged) exchange(now time.Time) {
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

func (s *staged) stoppedAt() time.Time { return s.stopTime }

// stepped is a baseline with fixed shares for fixed times. It stops the version by
// thresholds on the means over all routes.
type stepped struct {
	random   *rand.Rand
	start    time.Time
	within   time.Duration
	shares   []float64
	now      time.Time
	step     int
	old, new totals
	stopTime time.Time
}

// totals sums the observations of one version.
type totals struct {
	count, failed int
	first         time.Duration
}

const (
	// minSamples is the number of observations below which the new version isn't judged.
	minSamples        = 30
	failureThreshold  = 0.05
	slowdownThreshold = 1.4
)

func newStepped(start time.Time, within time.Duration, shares []float64, random *rand.Rand) *stepped {
	return &stepped{random: random, start: start, within: within, shares: shares, now: start.Add(-time.Second)}
}

func (s *stepped) choose(_ time.Time, _ int, _ qf.Route) qf.Version {
	if s.stopTime.IsZero() && s.random.Float64() < s.share() {
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

func (s *stepped) evaluate(now time.Time) {
	s.now = now
	if now.Before(s.start) {
		return
	}
	step := min(len(s.shares)-1, int(float64(now.Sub(s.start))/float64(s.within)*float64(len(s.shares))))
	if step != s.step {
		s.step, s.new = step, totals{}
	}
	if s.new.count < minSamples || !s.stopTime.IsZero() {
		return
	}
	isSlow := s.old.count > 0 && float64(s.new.first)/float64(s.new.count) > slowdownThreshold*float64(s.old.first)/float64(s.old.count)
	if float64(s.new.failed)/float64(s.new.count) > failureThreshold || isSlow {
		s.stopTime = now
	}
}

func (s *stepped) exchange(time.Time) {}

func (s *stepped) share() float64 {
	if s.now.Before(s.start) {
		return 0
	}
	return s.shares[s.step]
}

func (s *stepped) isMoved() bool { return s.stopTime.IsZero() && s.step == len(s.shares)-1 }

func (s *stepped) stoppedAt() time.Time { return s.stopTime }
