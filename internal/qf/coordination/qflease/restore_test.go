package qflease

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// storeCopy is the state of the simulated store after a write.
type storeCopy struct {
	at                             time.Duration
	version, storeVersion, counter uint64
	record                         Record
	writer                         qf.TransactionID
}

// action is one action of a holder outside the store.
type action struct {
	node    int
	fencing qf.FencingNumber
	at      time.Duration
}

// act records that a node acts under a fencing number now.
func (w *world) act(node int, fencing qf.FencingNumber) {
	if last := len(w.actor) - 1; last >= 0 && w.actor[last].node == node && w.actor[last].fencing == fencing {
		w.actor[last].at = w.now
		return
	}
	w.actor = append(w.actor, action{node, fencing, w.now})
}

// exchange passes the fencing numbers that a node has seen to the other nodes that run.
func (w *world) exchange(from *simNode) {
	if !w.exchanges || w.now%exchangeEvery != 0 {
		return
	}
	for _, n := range w.nodes {
		if !n.dead && w.now >= n.pausedUntil {
			n.lease.RecordFencing(from.lease.Highest())
		}
	}
}

// exchangeEvery is the time between two exchanges of the simulated nodes, calmTail the time
// without trouble at the end of a run, in which the lease must be taken.
const (
	exchangeEvery = 400 * time.Millisecond
	calmTail      = 30 * time.Second
)

// restore brings the store back as it was at a time. It is away for a moment.
func (w *world) restore(at, away time.Duration) {
	restored := storeCopy{}
	w.copies = slices.DeleteFunc(w.copies, func(c storeCopy) bool { return c.at > at })
	if len(w.copies) > 0 {
		restored = w.copies[len(w.copies)-1]
	}
	w.version, w.storeVersion, w.counter = restored.version, restored.storeVersion, restored.counter
	w.record, w.writer = restored.record, restored.writer
	w.era++
	w.outageUntil = w.now + away
}

// restoreRuns is the number of seeded runs with restores; the full check takes 10000.
var restoreRuns = flag.Int("restore-runs", 300, "seeded runs of the lease with restores of the store")

// TestLeaseSurvivesRestores fails if, after the store came back older, two nodes hold the
// lease at once, two act under one fencing number, a number falls in the order of the actions,
// or the lease stays free. Restores of 0.5 to 20 s meet takeovers, deaths, pauses, late writes
// and each other.
func TestLeaseSurvivesRestores(t *testing.T) {
	for seed := range uint64(*restoreRuns) {
		w := newWorld(seed)
		w.era, w.exchanges = 1, true
		random := rand.New(rand.NewPCG(seed, 5))
		next := w.between(2*time.Second, 15*time.Second)
		for w.now < simLength {
			if w.now >= next {
				w.restore(w.now-time.Duration(random.Int64N(int64(20*time.Second))), time.Duration(random.Int64N(int64(2*time.Second))))
				next = w.now + time.Duration(random.Int64N(int64(20*time.Second)))
			}
			if w.now == simLength/2 {
				w.killHolder()
			}
			w.step()
		}
		w.isCalm = true
		for w.now < simLength+calmTail {
			w.step()
		}
		w.checkActions(t, seed)
	}
}

// checkActions checks the holders' actions of one run.
func (w *world) checkActions(t *testing.T, seed uint64) {
	t.Helper()
	if w.overlaps > 0 {
		t.Errorf("seed %d: two nodes held the lease at once", seed)
	}
	if last := len(w.actor) - 1; last < 0 || w.actor[last].at < w.now-testTiming.Duration {
		t.Errorf("seed %d: the lease stays free", seed)
	}
	holders := map[qf.FencingNumber]int{}
	highest := qf.FencingNumber(0)
	for _, a := range w.actor {
		if holder, isKnown := holders[a.fencing]; isKnown && holder != a.node {
			t.Errorf("seed %d: nodes %d and %d acted under number %d", seed, holder, a.node, a.fencing)
		}
		holders[a.fencing] = a.node
		if a.fencing < highest {
			t.Errorf("seed %d: number %d was used after %d", seed, a.fencing, highest)
		}
		highest = max(highest, a.fencing)
	}
}

// TestLeaseInANewEra checks who may take the lease, when and under which number, after the
// store came back older.
func TestLeaseInANewEra(t *testing.T) {
	const era = 3
	held := Record{Holder: "b", Incarnation: 1, Fencing: eraFloor(era-1) + 4}
	tests := []struct {
		name string
		// isHolder means that this node held the lease when the era rose.
		isHolder     bool
		isFirstStart bool
		version      uint64
		record       Record
		// isTakenAtOnce means that the lease is taken without a wait for its duration.
		isTakenAtOnce bool
		// above is the number that the new one must exceed.
		above qf.FencingNumber
	}{
		{name: "the row is absent", above: eraFloor(era)},
		{name: "the row is absent at the first start", isFirstStart: true, isTakenAtOnce: true, above: eraFloor(era)},
		{name: "another holder's row", version: 5, record: held, above: eraFloor(era)},
		{name: "a released row of an earlier era", version: 5, record: Record{Fencing: eraFloor(era-1) + 9, Released: true}, above: eraFloor(era)},
		{name: "a released row of this era", version: 5, record: Record{Fencing: eraFloor(era) + 9, Released: true}, isTakenAtOnce: true, above: eraFloor(era) + 9},
		{name: "the holder goes on under a new number", isHolder: true, version: 5, record: held, isTakenAtOnce: true, above: eraFloor(era)},
		{name: "the holder's row is absent", isHolder: true, isTakenAtOnce: true, above: eraFloor(era)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			l := New("a", 1, restartTiming, rand.New(rand.NewPCG(1, 2)))
			l.SetRank(0)
			if tt.isFirstStart {
				l.SetFirstStart()
			}
			if tt.isHolder {
				now = takeLease(t, l, now, era-1)
			}
			l.RecordEra(now, era)
			if l.NextAction(now).Kind != ActionRead {
				t.Fatal("the row isn't read in the new era")
			}
			l.RecordRead(now, tt.version, tt.record, "another")
			action := l.NextAction(now.Add(restartTiming.RankDelay))
			if got := action.Kind == ActionWrite; got != tt.isTakenAtOnce {
				t.Fatalf("taken at once: %v, want %v", got, tt.isTakenAtOnce)
			}
			if !tt.isTakenAtOnce {
				if action.Kind == ActionRead {
					l.RecordRead(now, tt.version, tt.record, "another")
				}
				action = l.NextAction(now.Add(2 * restartTiming.Duration))
			}
			if n := action.Record.Fencing; n <= tt.above || n >= eraFloor(era+1) || action.Era != era {
				t.Errorf("number %d in era %d, want more than %d in %d", n, action.Era, tt.above, era)
			}
		})
	}
}

// takeLease makes the node the holder in an era, and returns the time at which it is.
func takeLease(t *testing.T, l *Lease, now time.Time, era qf.StoreEra) time.Time {
	t.Helper()
	l.RecordEra(now, era)
	l.NextAction(now)
	l.RecordRead(now, 7, Record{Fencing: eraFloor(era) + 3, Released: true}, "another")
	now = now.Add(restartTiming.RankDelay + time.Millisecond)
	l.RecordWrite(now, l.NextAction(now), qf.Done, false)
	if _, isHeld := l.Held(now); !isHeld {
		t.Fatal("the lease isn't held")
	}
	return now
}
