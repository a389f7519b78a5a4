package qfrollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalfront/internal/qf"
)

// bench simulates one node and a controller under steady traffic; the new version is
// good unless failing is set.
type bench struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Time
	node       *Chooser
	controller *Controller
	spec       RolloutSpec
	// row is the plan in the table; storeDown makes writes fail.
	row       qf.RolloutPlan
	storeDown bool
	isStale   bool
	// organisations send one request per second each.
	organisations []qf.Organisation
	onceOnly      bool
	// failing is the new version's probability of failure.
	failing float64
	// onceOnlyNew counts the once-only calls sent to the new version.
	onceOnlyNew int
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		t: t, random: rand.New(rand.NewPCG(1, 2)), now: testStart,
		organisations: []qf.Organisation{"a", "b", "c", "d"},
		row:           qf.RolloutPlan{Entry: "e", From: "v1", To: "v1", Generation: 1, Step: 1, Phase: qf.RolloutDone, RestShare: 1, Revision: 1},
		spec:          RolloutSpec{Entry: "e", Versions: []qf.Version{"v1", "v2"}, Target: "v2", MoveBy: testStart.Add(20 * time.Minute), WatchFor: time.Minute, Revision: 2},
	}
	b.node = NewChooser(qf.Node{ID: "node-1", Incarnation: 1}, b.random)
	b.node.SetPlan(b.now, 1, &b.row)
	b.replaceController()
	return b
}

// replaceController replaces the controller by a successor that reads the table's row.
func (b *bench) replaceController() { b.controller = NewController(b.row, testTiming) }

// second simulates a second of traffic and one step of the controller.
func (b *bench) second() {
	b.now = b.now.Add(time.Second)
	for _, organisation := range b.organisations {
		b.request(organisation, false)
		if b.onceOnly {
			b.request(organisation, true)
		}
	}
	b.node.StopBadVersions(b.now, time.Second)
	if e, ok := b.node.Evidence("e"); ok {
		b.controller.AddEvidence(&e)
	}
	input := StepInput{Holder: "node-1", Fencing: 1, IsFresh: !b.isStale}
	input.Stop, _ = b.node.ActiveStop("e")
	next := b.controller.Step(b.now, time.Second, &b.spec, input)
	if next == nil || b.storeDown {
		return
	}
	b.check(next)
	b.row = *next
	b.controller.SetPlan(*next)
	b.node.SetPlan(b.now, 1, next)
}

func (b *bench) request(organisation qf.Organisation, onceOnly bool) {
	version, _ := b.node.ChooseVersion(qf.VersionQuery{
		Now: b.now, Entry: "e", Organisation: organisation, Class: qf.ClassInteractive, OnceOnly: onceOnly, Draw: b.random.Float64(),
	})
	failed := version == "v2" && b.random.Float64() < b.failing
	if version == "v2" && onceOnly {
		b.onceOnlyNew++
	}
	b.node.RecordObservation(qf.Observation{
		Entry: "e", Version: version, Organisation: organisation, Class: qf.ClassInteractive, OnceOnly: onceOnly,
		StartedAt: b.now, Failed: failed, Complete: !failed, FirstToken: time.Second, Tokens: 100,
	})
}

// check fails if a plan skips a stage or goes back by one.
func (b *bench) check(next *qf.RolloutPlan) {
	b.t.Helper()
	if !next.IsNewerThan(&b.row) {
		b.t.Fatalf("plan %d.%d follows %d.%d", next.Generation, next.Step, b.row.Generation, b.row.Step)
	}
	if next.Generation != b.row.Generation || next.Phase == qf.RolloutDone || next.Phase == qf.RolloutRolledBack {
		return
	}
	for i := range b.row.Routes {
		before := &b.row.Routes[i]
		after := next.Progress(before.Route)
		if after == nil || after.Stage < before.Stage || after.Stage > before.Stage+1 {
			b.t.Fatalf("route %v goes from stage %d to %v", before.Route, before.Stage, after)
		}
	}
}

func (b *bench) until(limit time.Duration, holds func() bool) bool {
	for end := b.now.Add(limit); b.now.Before(end); {
		if holds() {
			return true
		}
		b.second()
	}
	return holds()
}

func (b *bench) phase() qf.RolloutPhase { return b.row.Phase }

func (b *bench) share() float64 {
	if b.row.Phase == qf.RolloutDone && b.row.To == "v2" {
		return 1
	}
	most := 0.0
	for i := range b.row.Routes {
		most = max(most, b.node.entry("e").share(b.row.Routes[i].Route))
	}
	return most
}

func (b *bench) isDone() bool { return b.phase() == qf.RolloutDone && b.row.To == "v2" }

// TestSuccessorsContinue catches a rollout that stalls or repeats stages when its holder
// dies every few seconds and each successor has only the table's row.
func TestSuccessorsContinue(t *testing.T) {
	for _, life := range []int{1, 7, 30, 200} {
		t.Run(fmt.Sprintf("life %d s", life), func(t *testing.T) {
			b := newBench(t)
			lived := 0
			moved := b.until(20*time.Minute, func() bool {
				if lived++; lived%max(life, 6) == 0 {
					b.replaceController()
				}
				return b.phase() == qf.RolloutWatching
			})
			if !moved {
				t.Fatalf("not moved in time: %s, %+v", b.phase(), b.row.Routes)
			}
			if !b.until(20*time.Minute, b.isDone) {
				t.Fatalf("not done: %s", b.phase())
			}
		})
	}
}

// TestNoShareRisesInAnOutage catches shares that are raised while the store is down or
// the catalogue is stale, and bad versions that aren't stopped meanwhile.
func TestNoShareRisesInAnOutage(t *testing.T) {
	for _, cause := range []string{"store down", "stale catalogue"} {
		t.Run(cause, func(t *testing.T) {
			b := newBench(t)
			b.until(10*time.Minute, func() bool { return b.share() > 0.05 })
			before := b.share()
			b.storeDown, b.isStale = cause == "store down", cause != "store down"
			b.until(10*time.Minute, func() bool { return b.share() > before })
			if b.share() != before {
				t.Fatalf("share %g -> %g", before, b.share())
			}
			b.failing = 0.5
			if !b.until(2*time.Minute, func() bool { return b.share() == 0 }) {
				t.Fatal("a bad version wasn't stopped")
			}
			b.storeDown, b.isStale = false, false
			b.replaceController()
			if !b.until(10*time.Second, func() bool { return b.phase() == qf.RolloutRolledBack }) || b.share() != 0 {
				t.Fatalf("afterwards: %s at %g", b.phase(), b.share())
			}
		})
	}
}

// TestOnceOnlyCallsMoveLast catches once-only calls at the new version before all other
// requests have moved.
func TestOnceOnlyCallsMoveLast(t *testing.T) {
	b := newBench(t)
	b.onceOnly, b.spec.HasOnceOnly = true, true
	b.until(20*time.Minute, func() bool {
		for i := range b.row.Routes {
			if r := &b.row.Routes[i]; !r.Route.OnceOnly && r.Share < 1 && b.onceOnlyNew > 0 {
				t.Fatalf("a once-only call went to the new version while %v was at %g", r.Route, r.Share)
			}
		}
		return b.phase() == qf.RolloutWatching
	})
	if b.phase() != qf.RolloutWatching || b.onceOnlyNew == 0 {
		t.Errorf("%s with %d once-only calls at the new version", b.phase(), b.onceOnlyNew)
	}
}

// TestNoTraffic catches a version that passes without traffic, and a plan that doesn't
// report the lack of traffic before the deadline.
func TestNoTraffic(t *testing.T) {
	b := newBench(t)
	b.organisations = nil
	b.until(19*time.Minute, func() bool { return b.row.Late != "" })
	if b.phase() != qf.RolloutRamping || !strings.Contains(b.row.Late, "no traffic") || b.now.After(b.spec.MoveBy) {
		t.Errorf("%s, late %q", b.phase(), b.row.Late)
	}
	b.organisations = []qf.Organisation{"a"}
	if !b.until(time.Hour, b.isDone) {
		t.Fatalf("not done with traffic: %+v", b.row)
	}
}

// TestBadVersionIsRolledBack catches a bad version that stays: one that is bad from the
// start, turns bad later, or turns bad in the watch.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, since := range []time.Duration{0, 8 * time.Minute, 19 * time.Minute} {
		t.Run(since.String(), func(t *testing.T) {
			b := newBench(t)
			b.until(since, func() bool { return false })
			b.failing = 0.4
			if !b.until(15*time.Minute, func() bool { return b.phase() == qf.RolloutRolledBack }) {
				t.Fatalf("still %s", b.phase())
			}
			if b.share() != 0 || !strings.Contains(b.row.Reason, "failed or were incomplete") {
				t.Errorf("share %g, reason %q", b.share(), b.row.Reason)
			}
		})
	}
}

// TestStopsAndPlansNeverGoBack catches an older plan that replaces a newer one, and a
// stopped version that gets requests before a plan of a higher generation, when plans
// and stops arrive in any order.
func TestStopsAndPlansNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewChooser(qf.Node{ID: "n"}, rand.New(rand.NewPCG(1, 1)))
		var newest qf.RolloutPlan
		stoppedAt := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			generation := rapid.Uint64Range(1, 4).Draw(t, "generation")
			if rapid.Bool().Draw(t, "isStop") {
				c.ApplyStop(qf.RolloutStop{Entry: "e", Version: "v2", Epoch: generation})
				stoppedAt = max(stoppedAt, generation)
			} else {
				plan := qf.RolloutPlan{
					Entry: "e", From: "v1", To: "v2", Generation: generation, Phase: qf.RolloutRamping,
					Step: rapid.Uint64Range(1, 5).Draw(t, "step"), RestShare: 1, Within: time.Hour,
				}
				c.SetPlan(testStart, 1, &plan)
				if plan.IsNewerThan(&newest) {
					newest = plan
				}
			}
			if newest.Generation == 0 {
				continue
			}
			if p := c.Plan("e"); p.Generation != newest.Generation || p.Step != newest.Step {
				t.Fatalf("plan %d.%d, newest %d.%d", p.Generation, p.Step, newest.Generation, newest.Step)
			}
			version, _ := c.ChooseVersion(qf.VersionQuery{Now: testStart, Entry: "e", Draw: 0.5})
			want := qf.Version("v2")
			if stoppedAt >= newest.Generation {
				want = "v1"
			}
			if version != want {
				t.Fatalf("chose %s at generation %d, stopped at %d", version, newest.Generation, stoppedAt)
			}
		}
	})
}
