package qflease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"quetzalfront/internal/qf"
)

var testTiming = Timing{Duration: 6 * time.Second, RenewEvery: 2 * time.Second, ClockMargin: 0.01, RankDelay: 500 * time.Millisecond}

const (
	simStep     = 20 * time.Millisecond
	simLength   = 60 * time.Second
	callTimeout = 2 * time.Second
)

// world simulates a few nodes and their table on simulated time.
type world struct {
	random  *rand.Rand
	now     time.Duration
	version uint64
	record  Record
	writer  qf.TransactionID
	// late holds writes that take effect after their call timed out.
	late        []lateWrite
	nodes       []*simNode
	overlaps    int
	fencings    []qf.FencingNumber
	handovers   []time.Duration
	vacantAt    time.Duration
	writes      int
	history     []porcupine.Operation
	outageUntil time.Duration
	// storeVersion is the store's version of the row, counter its newest version. Other
	// rows raise the counter too.
	storeVersion, counter uint64
	era                   qf.StoreEra
	// exchanges makes nodes exchange the fencing numbers that they have seen.
	exchanges bool
	// isCalm ends pauses and outages.
	isCalm bool
	// copies holds the state after each write, for restores.
	copies []storeCopy
	// acted holds who acted under each fencing number, and the order in which they did.
	acted map[qf.FencingNumber]int
	actor []action
}

type lateWrite struct {
	at           time.Duration
	action       Action
	storeVersion uint64
}

type simNode struct {
	lease *Lease
	// rate is the speed of the node's clock.
	rate        float64
	pausedUntil time.Duration
	dead        bool
	// answerAt and answer belong to the call in progress.
	answerAt time.Duration
	answer   func(now time.Time)
	// storeVersion is the store's version of the row that the node read or wrote last.
	storeVersion uint64
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 11)), vacantAt: 0, acted: map[qf.FencingNumber]int{}}
	for i := range Candidates {
		rate := 1 + (w.random.Float64()-0.5)*testTiming.ClockMargin
		l := New(qf.NodeID(fmt.Sprintf("node-%d", i)), qf.Incarnation(i+1), testTiming, rand.New(rand.NewPCG(seed, uint64(i))))
		l.SetRank(i)
		w.nodes = append(w.nodes, &simNode{lease: l, rate: rate})
	}
	return w
}

func (w *world) local(n *simNode) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(w.now) * n.rate))
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

func (w *world) apply(a Action, storeVersion uint64) bool {
	if storeVersion != w.storeVersion {
		return false
	}
	w.version = a.Version + 1
	w.counter += 1 + w.random.Uint64N(5)
	w.storeVersion = w.counter
	w.record, w.writer = a.Record, a.Transaction
	w.writes++
	w.fencings = append(w.fencings, a.Record.Fencing)
	w.copies = append(w.copies, storeCopy{w.now, w.version, w.storeVersion, w.counter, w.record, w.writer})
	return true
}

// call runs a node's call and schedules its answer.
func (w *world) call(client int, n *simNode, a Action) {
	start := w.now
	took := w.between(time.Millisecond, 300*time.Millisecond)
	if w.now < w.outageUntil {
		n.answerAt, n.answer = w.now+took, func(now time.Time) {
			if a.Kind == ActionRead {
				n.lease.RecordReadFailure()
				return
			}
			n.lease.RecordWrite(now, a, qf.NotDone, false)
		}
		return
	}
	if a.Kind == ActionRead {
		version, record, writer, storeVersion, era := w.version, w.record, w.writer, w.storeVersion, w.era
		w.recordCall(client, start, took, Action{}, registerOutput{version: version})
		n.answerAt, n.answer = w.now+took, func(now time.Time) {
			n.lease.RecordEra(now, era)
			n.storeVersion = storeVersion
			n.lease.RecordRead(now, version, record, writer)
		}
		return
	}
	certainty, conflict := qf.Done, false
	expected := n.storeVersion
	switch {
	case w.chance(0.03):
		w.late = append(w.late, lateWrite{at: w.now + w.between(0, 8*time.Second), action: a, storeVersion: expected})
		certainty, took = qf.Unknown, callTimeout
	case !w.apply(a, expected):
		certainty, conflict = qf.NotDone, true
	case w.chance(0.05):
		certainty, took = qf.Unknown, callTimeout
	}
	if certainty == qf.Done && a.Era != w.era {
		certainty = qf.Unknown // The row was read before the store came back older.
	}
	w.recordCall(client, start, took, a, registerOutput{certainty: certainty, conflict: conflict})
	era, storeVersion := w.era, w.storeVersion
	n.answerAt, n.answer = w.now+took, func(now time.Time) {
		if certainty != qf.Unknown {
			n.lease.RecordEra(now, era)
		}
		if certainty == qf.Done {
			n.storeVersion = storeVersion
		}
		n.lease.RecordWrite(now, a, certainty, conflict)
	}
}

func (w *world) step() {
	w.now += simStep
	w.late = slices.DeleteFunc(w.late, func(l lateWrite) bool {
		if l.at > w.now {
			return false
		}
		w.apply(l.action, l.storeVersion)
		return true
	})
	if w.chance(0.0005) && !w.isCalm {
		w.outageUntil = w.now + w.between(time.Second, 10*time.Second)
	}
	holders := 0
	for i, n := range w.nodes {
		if fencing, held := n.lease.Held(w.local(n)); held && !n.dead {
			holders++
			w.act(i, fencing)
		}
		w.run(i, n)
	}
	if holders > 1 {
		w.overlaps++
	}
}

func (w *world) run(client int, n *simNode) {
	if n.dead || w.now < n.pausedUntil {
		return
	}
	if n.answer != nil && w.now >= n.answerAt {
		answer := n.answer
		n.answer = nil
		answer(w.local(n))
	}
	w.exchange(n)
	if a := n.lease.NextAction(w.local(n)); a.Kind != ActionNone {
		w.call(client, n, a)
	}
	if _, held := n.lease.Held(w.local(n)); held && w.vacantAt >= 0 {
		w.handovers = append(w.handovers, w.now-w.vacantAt)
		w.vacantAt = -1
	}
	if w.chance(0.0005) && !w.isCalm {
		n.pausedUntil = w.now + w.between(0, 15*time.Second)
	}
}

// killHolder kills the node that holds the lease, if any.
func (w *world) killHolder() {
	for _, n := range w.nodes {
		if _, held := n.lease.Held(w.local(n)); held && !n.dead {
			n.dead = true
			w.vacantAt = w.now
			return
		}
	}
}

// leaseRuns is the number of seeded runs; the full check takes 10000.
var leaseRuns = flag.Int("lease-runs", 500, "seeded runs of the lease")

// TestLeaseHasOneHolder checks over many seeded runs with pauses, outages, lost answers
// and late writes that no two nodes hold the lease at once and that fencing numbers only
// rise. It logs how long the replacement of a dead holder takes.
func TestLeaseHasOneHolder(t *testing.T) {
	runs := *leaseRuns
	var handovers []time.Duration
	overlaps, writes := 0, 0
	for seed := range uint64(runs) {
		w := newWorld(seed)
		for w.now < simLength {
			if w.now == simLength/2 {
				w.killHolder()
			}
			w.step()
		}
		if !slices.IsSorted(w.fencings) {
			t.Fatalf("seed %d: a fencing number fell: %v", seed, w.fencings)
		}
		overlaps += w.overlaps
		writes += w.writes
		handovers = append(handovers, w.handovers[min(1, len(w.handovers)):]...)
	}
	slices.Sort(handovers)
	t.Logf("%d runs of %s: %d overlaps, %.2f writes a second", runs, simLength, overlaps, float64(writes)/float64(runs)/simLength.Seconds())
	t.Logf("%d handovers after a death: median %s, 99 in 100 %s, longest %s",
		len(handovers), handovers[len(handovers)/2], handovers[len(handovers)*99/100], handovers[len(handovers)-1])
	if overlaps > 0 {
		t.Errorf("%d overlaps", overlaps)
	}
}

type registerOutput struct {
	certainty qf.Certainty
	conflict  bool
	version   uint64
}

func (w *world) recordCall(client int, start, took time.Duration, a Action, out registerOutput) {
	end := start + took
	if out.certainty == qf.Unknown {
		end = time.Hour
	}
	w.history = append(w.history, porcupine.Operation{ClientId: client, Input: a, Call: int64(start), Output: out, Return: int64(end)})
}

// leaseModel models the version of the lease's row. A write of unknown outcome may have
// raised it.
var leaseModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		version, a, out := state.(uint64), input.(Action), output.(registerOutput)
		isDue := a.Version == version
		switch {
		case a.Kind != ActionWrite:
			if out.version == version {
				return []any{version}
			}
			return nil
		case out.certainty == qf.Done && isDue:
			return []any{version + 1}
		case out.certainty == qf.NotDone && !isDue:
			return []any{version}
		case out.certainty == qf.Unknown && isDue:
			return []any{version, version + 1}
		case out.certainty == qf.Unknown:
			return []any{version}
		default:
			return nil
		}
	},
}).ToModel()

// TestLeaseHistoriesAreLinearizable checks that the simulated table, on which the other
// tests rely, behaves as a linearizable register.
func TestLeaseHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed)
		for w.now < simLength {
			w.step()
		}
		if !porcupine.CheckOperations(leaseModel, w.history) {
			t.Errorf("seed %d: the history of %d calls isn't linearizable", seed, len(w.history))
		}
	}
}

// TestReleaseHandsOverAtOnce checks that a released lease is taken over within its
// duration, and that the former holder no longer holds it.
func TestReleaseHandsOverAtOnce(t *testing.T) {
	w := newWorld(1)
	w.random = rand.New(rand.NewPCG(0, 0))
	for w.now < 5*time.Second {
		w.step()
	}
	n := w.nodes[0]
	if _, held := n.lease.Held(w.local(n)); !held {
		t.Fatal("the best candidate doesn't hold the lease")
	}
	n.lease.Release()
	released := w.now
	for w.nodes[1].lease.fencing == 0 && w.nodes[2].lease.fencing == 0 {
		w.step()
		if w.now > released+10*time.Second {
			t.Fatal("no node took over")
		}
	}
	if _, held := n.lease.Held(w.local(n)); held || w.now-released > testTiming.Duration {
		t.Errorf("handover after a release took %s; held %t", w.now-released, held)
	}
}

// TestRankSpreadsDuties checks that each rank has exactly one node and that duties are
// spread evenly over the nodes.
func TestRankSpreadsDuties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 64).Draw(t, "nodes")
		live := make([]qf.NodeID, count)
		for i := range live {
			live[i] = qf.NodeID(fmt.Sprintf("node-%d", i))
		}
		duty := fmt.Sprintf("rollout/%d", rapid.IntRange(0, 1000).Draw(t, "duty"))
		ranks := map[int]int{}
		for _, id := range live {
			ranks[Rank(duty, id, live)]++
		}
		for rank := range min(Candidates, count) {
			if ranks[rank] != 1 {
				t.Fatalf("%d nodes have rank %d", ranks[rank], rank)
			}
		}
	})
	first := map[qf.NodeID]int{}
	live := []qf.NodeID{"a", "b", "c", "d", "e", "f"}
	for i := range 600 {
		for _, id := range live {
			if Rank(fmt.Sprint("rollout/", i), id, live) == 0 {
				first[id]++
			}
		}
	}
	for _, id := range live {
		if first[id] < 60 || first[id] > 140 {
			t.Errorf("%s is first for %d of 600 duties", id, first[id])
		}
	}
}
