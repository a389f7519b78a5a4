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
		timer := qftimer.NewWall()
		table := standtable.New(timer)
		body(t, table, NewStore(table, timer))
	})
}

// Each row brings a fault about during an edit. The operator must be told
// accepted or refused unless the store stays down, settling must then say which,
// and nothing may take effect after that.
func TestApplyUnderFaults(t *testing.T) {
	lateBy := 30 * time.Second
	rows := []struct {
		name   string
		faults standtable.Faults
		// downAfter makes the store go down once the first write was sent.
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
						pass(time.Millisecond)
						table.SetFaults(standtable.Faults{Down: true})
					}()
				}
				edit := Edit{ID: "edit", Document: documentOf("a")}
				verdict := store.Apply(t.Context(), edit)
				if verdict.State != row.want {
					t.Fatalf("told %v, want %s", verdict, row.want)
				}
				table.SetFaults(standtable.Faults{})
				if settled := store.Settle(t.Context(), "edit"); settled.State != row.settled {
					t.Fatalf("settled as %v, want %s", settled, row.settled)
				}
				pass(2 * lateBy)
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
				verdict := store.Apply(t.Context(), Edit{ID: "2", Operator: "ruwan", Document: row.second})
				if row.conflict == "" {
					head, _, _ := store.Head(t.Context())
					if verdict.State != EditAccepted || len(head.Document.Entries) != row.entries {
						t.Fatalf("%v with %d entries", verdict, len(head.Document.Entries))
					}
					return
				}
				if verdict.State != EditRefused || len(verdict.Conflicts) != 1 {
					t.Fatalf("told %v", verdict)
				}
				c := verdict.Conflicts[0]
				if c.Entry != row.conflict || c.Change.Operator != "ayesha" || c.Revision != 1 {
					t.Errorf("conflict %v", c)
				}
			})
		})
	}
}

func TestBaseNotKept(t *testing.T) {
	withStore(t, func(t *testing.T, _ *standtable.Table, store *Store) {
		for i := range MaxRevisions + 3 {
			pass(10 * time.Millisecond)
			edit := Edit{ID: fmt.Sprint(i), Base: qf.Revision(i), Document: documentOf("a")}
			edit.Document.Entries[0].Owner = fmt.Sprint(i)
			if v := store.Apply(t.Context(), edit); v.State != EditAccepted {
				t.Fatal(i, v)
			}
		}
		verdict := store.Apply(t.Context(), Edit{ID: "old", Base: 2, Document: documentOf("b")})
		if verdict.State != EditRefused || qf.CodeOf(verdict.Err) != qf.CodeNotFound {
			t.Errorf("an edit of a dropped base: %v", verdict)
		}
		recent, err := store.Recent(t.Context())
		if err != nil || len(recent) != MaxRevisions {
			t.Errorf("%d revisions are kept: %v", len(recent), err)
		}
	})
}

// Repeating the conditional write and reading back must never accept fewer edits
// than shutting a lost one out at once.
func TestRepeatAgainstShutOut(t *testing.T) {
	const runs = 400
	ways := []struct {
		name  string
		apply func(t *testing.T, s *Store, edit Edit) EditResult
	}{
		{name: "repeat, then read back", apply: func(t *testing.T, s *Store, edit Edit) EditResult {
			return s.Apply(t.Context(), edit)
		}},
		{name: "shut out at once", apply: func(t *testing.T, s *Store, edit Edit) EditResult {
			a := &application{Store: s, edit: edit, digest: digestOf(&edit)}
			verdict, _ := a.attempt(t.Context())
			if verdict.State == EditNotYetKnown {
				verdict = s.Settle(t.Context(), edit.ID)
			}
			return verdict
		}},
	}
	accepted := make([]int, len(ways))
	for i, way := range ways {
		commits := 0
		for seed := range uint64(runs) {
			withStore(t, func(t *testing.T, table *standtable.Table, store *Store) {
				random := rand.New(rand.NewPCG(seed, 7))
				faults := standtable.Faults{LoseAnswers: random.IntN(3)}
				if random.IntN(2) == 0 {
					faults = standtable.Faults{ApplyLate: random.IntN(3), LateBy: 3 * time.Second}
				}
				table.SetFaults(faults)
				if way.apply(t, store, Edit{ID: "edit", Document: documentOf("a")}).State == EditAccepted {
					accepted[i]++
				}
				_, writes := table.Counts()
				commits += writes
				pass(time.Minute)
			})
		}
		t.Logf("%s: %d of %d edits accepted, %d writes", way.name, accepted[i], runs, commits)
	}
	if accepted[0] < accepted[1] {
		t.Errorf("repeats accepted %d edits, shutting out %d", accepted[0], accepted[1])
	}
}

// wall is the bubble's clock.
var wall = qftimer.NewWall()

// pass lets the bubble's time pass.
func pass(d time.Duration) { <-wall.After(d).C() }
