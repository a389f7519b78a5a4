package qfcatalogue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standtable"
)

func documentOf(names ...qf.EntryName) Document {
	d := Document{}
	for _, name := range names {
		d.Entries = append(d.Entries, Entry{Name: name, Kind: qf.KindPlainService})
	}
	return d
}

func withStore(t *testing.T, body func(t *testing.T, table *standtable.Table, store *Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		table := standtable.New(clock)
		body(t, table, NewStore(table, clock))
	})
}

// TestApplyUnderFaults checks the result of an edit during which the table has a fault.
// It must be accepted or refused unless the table stays down; Settle must then return
// the final outcome, and nothing may take effect afterwards.
func TestApplyUnderFaults(t *testing.T) {
	lateBy := 30 * time.Second
	rows := []struct {
		name   string
		faults standtable.Faults
		// downAfter makes the table go down once the first write was sent.
		downAfter bool
		want      EditState
		settled   EditState
	}{
		{name: "no fault", want: EditAccepted, settled: EditAccepted},
		{name: "answer lost", faults: standtable.Faults{LoseAnswers: 1}, want: EditAccepted, settled: EditAccepted},
		{name: "answers lost", faults: standtable.Faults{LoseAnswers: 3}, want: EditAccepted, settled: EditAccepted},
		{name: "late", faults: standtable.Faults{ApplyLate: 1, LateBy: lateBy}, want: EditAccepted, settled: EditAccepted},
		{name: "down", faults: standtable.Faults{Down: true}, want: EditRefused, settled: EditRefused},
		{name: "slow", faults: standtable.Faults{Delay: time.Second}, want: EditAccepted, settled: EditAccepted},
		{name: "lost, then down", faults: standtable.Faults{LoseAnswers: 1}, downAfter: true, want: EditNotYetKnown, settled: EditAccepted},
		{name: "late, then down", faults: standtable.Faults{ApplyLate: 1, LateBy: lateBy}, downAfter: true, want: EditNotYetKnown, settled: EditRefused},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			withStore(t, func(t *testing.T, table *standtable.Table, store *Store) {
				table.SetFaults(row.faults)
				if row.downAfter {
					go func() {
						sleep(time.Millisecond)
						table.SetFaults(standtable.Faults{Down: true})
					}()
				}
				edit := Edit{ID: "edit", Document: documentOf("a")}
				result := store.Apply(t.Context(), edit)
				if result.State != row.want {
					t.Fatalf("got %v, want %s", result, row.want)
				}
				table.SetFaults(standtable.Faults{})
				if settled := store.Settle(t.Context(), "edit"); settled.State != row.settled {
					t.Fatalf("settled as %v, want %s", settled, row.settled)
				}
				sleep(2 * lateBy)
				latest, _ := store.Latest(t.Context())
				if want := map[EditState]qf.Revision{EditAccepted: 1}[row.settled]; latest != want {
					t.Errorf("revision %d afterwards, want %d", latest, want)
				}
				other := store.Apply(t.Context(), Edit{ID: "other", Base: latest, Document: documentOf("a", "b")})
				if again := store.Apply(t.Context(), edit); other.State != EditAccepted || again.State != row.settled {
					t.Errorf("a repeat after a later revision is %v, want %s", again, row.settled)
				}
			})
		})
	}
}

// TestRacingEdits checks that concurrent edits conflict exactly if they change the same
// entry.
func TestRacingEdits(t *testing.T) {
	rows := []struct {
		name          string
		first, second Document
		conflict      qf.EntryName
		entries       int
	}{
		{name: "same entry", first: documentOf("a"), second: documentOf("a"), conflict: "a", entries: 1},
		{name: "different entries", first: documentOf("a"), second: documentOf("b"), entries: 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			withStore(t, func(t *testing.T, _ *standtable.Table, store *Store) {
				row.second.Entries[0].Owner = "second"
				store.Apply(t.Context(), Edit{ID: "1", Operator: "ayesha", Document: row.first})
				result := store.Apply(t.Context(), Edit{ID: "2", Operator: "ruwan", Document: row.second})
				if row.conflict == "" {
					head, _, _ := store.Head(t.Context())
					if result.State != EditAccepted || len(head.Document.Entries) != row.entries {
						t.Fatalf("%v with %d entries", result, len(head.Document.Entries))
					}
					return
				}
				if result.State != EditRefused || len(result.Conflicts) != 1 {
					t.Fatalf("got %v", result)
				}
				c := result.Conflicts[0]
				if c.Entry != row.conflict || c.Change.Operator != "ayesha" || c.Revision != 1 {
					t.Errorf("conflict %v", c)
				}
			})
		})
	}
}

// TestBaseNotKept checks that an edit is refused if its base is no longer kept, and that
// exactly MaxRevisions revisions are kept.
func TestBaseNotKept(t *testing.T) {
	withStore(t, func(t *testing.T, _ *standtable.Table, store *Store) {
		for i := range MaxRevisions + 3 {
			sleep(10 * time.Millisecond)
			edit := Edit{ID: fmt.Sprint(i), Base: qf.Revision(i), Document: documentOf("a")}
			edit.Document.Entries[0].Owner = fmt.Sprint(i)
			if v := store.Apply(t.Context(), edit); v.State != EditAccepted {
				t.Fatal(i, v)
			}
		}
		result := store.Apply(t.Context(), Edit{ID: "old", Base: 2, Document: documentOf("b")})
		if result.State != EditRefused || qf.CodeOf(result.Err) != qf.CodeNotFound {
			t.Errorf("an edit whose base was deleted: %v", result)
		}
		recent, err := store.Recent(t.Context())
		if err != nil || len(recent) != MaxRevisions {
			t.Errorf("%d revisions are kept: %v", len(recent), err)
		}
	})
}

// TestApplyAcceptsAsManyAsSettle checks that repeating a conditional write whose answer
// was lost accepts at least as many edits as settling such an edit at once.
func TestApplyAcceptsAsManyAsSettle(t *testing.T) {
	const runs = 400
	strategies := []struct {
		name  string
		apply func(t *testing.T, s *Store, edit Edit) EditResult
	}{
		{name: "repeat, then read the record", apply: func(t *testing.T, s *Store, edit Edit) EditResult {
			return s.Apply(t.Context(), edit)
		}},
		{name: "settle at once", apply: func(t *testing.T, s *Store, edit Edit) EditResult {
			a := &application{Store: s, edit: edit, digest: digestOf(&edit)}
			result, _ := a.attempt(t.Context())
			if result.State == EditNotYetKnown {
				result = s.Settle(t.Context(), edit.ID)
			}
			return result
		}},
	}
	accepted := make([]int, len(strategies))
	for i, strategy := range strategies {
		commits := 0
		for seed := range uint64(runs) {
			withStore(t, func(t *testing.T, table *standtable.Table, store *Store) {
				random := rand.New(rand.NewPCG(seed, 7))
				faults := standtable.Faults{LoseAnswers: random.IntN(3)}
				if random.IntN(2) == 0 {
					faults = standtable.Faults{ApplyLate: random.IntN(3), LateBy: 3 * time.Second}
				}
				table.SetFaults(faults)
				if strategy.apply(t, store, Edit{ID: "edit", Document: documentOf("a")}).State == EditAccepted {
					accepted[i]++
				}
				_, writes := table.Counts()
				commits += writes
				sleep(time.Minute)
			})
		}
		t.Logf("%s: %d of %d edits accepted, %d writes", strategy.name, accepted[i], runs, commits)
	}
	if accepted[0] < accepted[1] {
		t.Errorf("repeats accepted %d edits, settling %d", accepted[0], accepted[1])
	}
}

// wall is the clock of the synctest bubble.
var wall = qftimer.NewWall()

// sleep waits for a duration of the bubble's time.
func sleep(d time.Duration) { <-wall.After(d).C() }
