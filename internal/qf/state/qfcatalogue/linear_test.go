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

// catalogueModel is a list of edits. An accepted edit appends itself, a refused
// one changes nothing, and one that isn't known may do either.
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
	linearOffices = 4
	linearEdits   = 6
	// longestOutage exceeds the time for which an edit is repeated.
	longestOutage = 30 * time.Second
)

// Histories of racing offices stay linearizable while answers are lost, writes
// take effect late and the store goes down.
func TestCatalogueIsLinearizable(t *testing.T) {
	states := map[EditState]int{}
	for seed := range uint64(linearRuns) {
		synctest.Test(t, func(t *testing.T) {
			history := runOffices(t, seed, states)
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

func runOffices(t *testing.T, seed uint64, states map[EditState]int) []porcupine.Operation {
	t.Helper()
	timer := qftimer.NewWall()
	table := standtable.New(timer)
	start := wall.Now()
	done := make(chan struct{})
	go injectFaults(table, rand.New(rand.NewPCG(seed, 1)), done)
	var mu sync.Mutex
	var history []porcupine.Operation
	var offices sync.WaitGroup
	for office := range linearOffices {
		random := rand.New(rand.NewPCG(seed, uint64(office+2)))
		store := NewStore(table, timer)
		offices.Go(func() {
			for i := range linearEdits {
				pass(time.Duration(random.IntN(2000)) * time.Millisecond)
				head, _, err := store.Head(t.Context())
				if err != nil {
					continue
				}
				read := porcupine.Operation{
					ClientId: office, Input: historyInput{}, Call: int64(wall.Now().Sub(start)),
					Output: historyOutput{revision: head.Revision, last: lastOf(&head)}, Return: int64(wall.Now().Sub(start)) + 1,
				}
				id := fmt.Sprintf("%d-%d", office, i)
				apply := porcupine.Operation{ClientId: office, Input: historyInput{edit: id}, Call: int64(wall.Now().Sub(start)) + 1}
				document := documentOf(qf.EntryName(fmt.Sprintf("e%d", random.IntN(2))))
				document.Entries[0].Owner = id
				verdict := store.Apply(t.Context(), Edit{ID: id, Base: head.Revision, Document: document})
				apply.Output = historyOutput{state: verdict.State, revision: verdict.Revision}
				apply.Return = int64(wall.Now().Sub(start)) + 2
				if verdict.State == EditNotYetKnown {
					apply.Return = int64(time.Hour)
				}
				mu.Lock()
				history = append(history, read, apply)
				states[verdict.State]++
				mu.Unlock()
			}
		})
	}
	offices.Wait()
	close(done)
	pass(time.Minute) // Late writes take effect.
	table.SetFaults(standtable.Faults{})
	head, _, _ := NewStore(table, timer).Head(t.Context())
	return append(history, porcupine.Operation{
		ClientId: linearOffices, Input: historyInput{}, Call: int64(wall.Now().Sub(start)),
		Output: historyOutput{revision: head.Revision, last: lastOf(&head)}, Return: int64(wall.Now().Sub(start)) + 1,
	})
}

func lastOf(head *Snapshot) string {
	if head.Revision == 0 {
		return ""
	}
	return head.Change.EditID + ","
}

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

// awaitCommit waits until a commit has run.
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
