package qfcatalogue

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standtable"
)

type historyInput struct {
	// edit is empty for a read.
	edit string
}

type historyOutput struct {
	state    EditState
	revision qf.Revision
	// last is the edit of the revision that was read.
	last string
}

// catalogueModel is a list of edits. An accepted edit is appended, a refused one changes
// nothing, and one whose outcome isn't known may do either.
var catalogueModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(string), input.(historyInput), output.(historyOutput)
		length := qf.Revision(strings.Count(s, ","))
		if in.edit == "" {
			if out.revision == length && strings.HasSuffix(s, out.last) {
				return []any{s}
			}
			return nil
		}
		appended := s + in.edit + ","
		switch out.state {
		case EditAccepted:
			if out.revision == length+1 {
				return []any{appended}
			}
			return nil
		case EditRefused:
			return []any{s}
		default:
			return []any{s, appended}
		}
	},
}).ToModel()

const (
	linearRuns    = 60
	linearEditors = 4
	linearEdits   = 6
	// longestOutage exceeds the time for which an edit is retried.
	longestOutage = 30 * time.Second
)

// TestCatalogueIsLinearizable checks that histories of concurrent editors are
// linearizable while answers are lost, writes take effect late and the table goes down.
func TestCatalogueIsLinearizable(t *testing.T) {
	states := map[EditState]int{}
	for seed := range uint64(linearRuns) {
		synctest.Test(t, func(t *testing.T) {
			history := runEditors(t, seed, states)
			if !porcupine.CheckOperations(catalogueModel, history) {
				t.Errorf("seed %d: the history isn't linearizable", seed)
			}
		})
	}
	t.Logf("%d runs: %v", linearRuns, states)
	for _, state := range []EditState{EditAccepted, EditRefused, EditNotYetKnown} {
		if states[state] == 0 {
			t.Errorf("no edit was %s; the faults don't reach the code", state)
		}
	}
}

func runEditors(t *testing.T, seed uint64, states map[EditState]int) []porcupine.Operation {
	t.Helper()
	clock := qftimer.NewWall()
	table := standtable.New(clock)
	start := wall.Now()
	done := make(chan struct{})
	go injectFaults(table, rand.New(rand.NewPCG(seed, 1)), done)
	var mu sync.Mutex
	var history []porcupine.Operation
	var editors sync.WaitGroup
	for editor := range linearEditors {
		random := rand.New(rand.NewPCG(seed, uint64(editor+2)))
		store := NewStore(table, clock)
		editors.Go(func() {
			for i := range linearEdits {
				sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				head, _, err := store.Head(t.Context())
				if err != nil {
					continue
				}
				read := porcupine.Operation{
					ClientId: editor, Input: historyInput{}, Call: int64(wall.Now().Sub(start)),
					Output: historyOutput{revision: head.Revision, last: lastOf(&head)}, Return: int64(wall.Now().Sub(start)) + 1,
				}
				id := fmt.Sprintf("%d-%d", editor, i)
				apply := porcupine.Operation{ClientId: editor, Input: historyInput{edit: id}, Call: int64(wall.Now().Sub(start)) + 1}
				document := documentOf(qf.EntryName(fmt.Sprintf("e%d", random.IntN(2))))
				document.Entries[0].Owner = id
				result := store.Apply(t.Context(), Edit{ID: id, Base: head.Revision, Document: document})
				apply.Output = historyOutput{state: result.State, revision: result.Revision}
				apply.Return = int64(wall.Now().Sub(start)) + 2
				if result.State == EditNotYetKnown {
					apply.Return = int64(time.Hour)
				}
				mu.Lock()
				history = append(history, read, apply)
				states[result.State]++
				mu.Unlock()
			}
		})
	}
	editors.Wait()
	close(done)
	sleep(time.Minute) // Late writes take effect.
	table.SetFaults(standtable.Faults{})
	head, _, _ := NewStore(table, clock).Head(t.Context())
	return append(history, porcupine.Operation{
		ClientId: linearEditors, Input: historyInput{}, Call: int64(wall.Now().Sub(start)),
		Output: historyOutput{revision: head.Revision, last: lastOf(&head)}, Return: int64(wall.Now().Sub(start)) + 1,
	})
}

// lastOf returns the last edit as the model holds it.
func lastOf(head *Snapshot) string {
	if head.Revision == 0 {
		return ""
	}
	return head.Change.EditID + ","
}

// injectFaults sets one random fault after another until done.
func injectFaults(table *standtable.Table, random *rand.Rand, done <-chan struct{}) {
	for {
		faults := standtable.Faults{Delay: time.Duration(random.IntN(300)) * time.Millisecond}
		longest := 8 * time.Second
		switch random.IntN(5) {
		case 0:
			faults.Down = true
			longest = longestOutage
		case 1:
			faults.LoseAnswers = 1 + random.IntN(3)
		case 2:
			faults.ApplyLate = 1 + random.IntN(3)
			faults.LateBy = time.Duration(random.IntN(12000)) * time.Millisecond
		}
		table.SetFaults(faults)
		if faults.LoseAnswers > 0 && random.IntN(2) == 0 {
			awaitCommit(table, done)
			table.SetFaults(standtable.Faults{Down: true})
			longest = longestOutage
		}
		select {
		case <-wall.After(500*time.Millisecond + time.Duration(random.Int64N(int64(longest)))).C():
		case <-done:
			return
		}
	}
}

// awaitCommit waits until the table has received another commit.
func awaitCommit(table *standtable.Table, done <-chan struct{}) {
	_, before := table.Counts()
	for {
		select {
		case <-wall.After(time.Millisecond).C():
		case <-done:
			return
		}
		if _, now := table.Counts(); now > before {
			return
		}
	}
}
