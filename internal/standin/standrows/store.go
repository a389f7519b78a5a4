// Package standrows is a small stand-in for the users' platform: its store of rows with
// a feed of changes, and the duty calls of its API, over the platform's protocol.
package standrows

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standfault"
)

// pageRows is the most rows of one answer.
const pageRows = 500

// Row is a row as it goes over the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *Row) at() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store holds the rows. Its versions rise with each transaction.
type Store struct {
	clock qf.Clock
	gate  *standfault.Gate

	mu   sync.Mutex
	rows map[rowKey]Row
	// history holds all changes after floor, removals included.
	history []Row
	floor   uint64
	ver     uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// calls counts the calls that were answered, by path.
	calls map[string]int
}

// New returns an empty store that lets so many calls a second pass.
func New(clock qf.Clock, readsPerSecond, writesPerSecond int) *Store {
	return &Store{
		clock: clock, gate: standfault.NewGate(clock, readsPerSecond, writesPerSecond), rows: map[rowKey]Row{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults standfault.Faults) { s.gate.SetFaults(faults) }

// Calls returns how many calls were answered, by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// DropHistory drops the changes so far, so that feeds must read all rows again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.floor = nil, s.ver
	s.wake()
}

// Put writes a row as another party of the platform does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{Writes: []Row{{Table: table, Key: key, Value: value}}})
}

// Remove removes a row as another party of the platform does.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{Remove: []Row{{Table: table, Key: key}}})
}

// Get returns the value of a row.
func (s *Store) Get(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey{table: table, key: key}]
	return row.Value, ok
}

// wake is called with the lock held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type transaction struct {
	Expected []Row `json:"expected-rev"`
	Writes   []Row `json:"writes"`
	Remove   []Row `json:"remove"`
}

type answer struct {
	Rows    []Row  `json:"rows,omitempty"`
	HasMore bool   `json:"has-more"`
	Ver     uint64 `json:"ver"`
}

// apply is called with the lock held.
func (s *Store) apply(t *transaction) qf.Result[answer] {
	for i := range t.Expected {
		if s.rows[t.Expected[i].at()].Ver != t.Expected[i].Ver {
			return qf.NotDoneFor[answer](qf.NewError(qf.CodeConflict, qf.StepTableCommit, "", "a condition failed"))
		}
	}
	s.ver++
	for _, row := range t.Writes {
		row.Ver = s.ver
		s.rows[row.at()] = row
		s.history = append(s.history, row)
	}
	for _, row := range t.Remove {
		delete(s.rows, row.at())
		s.history = append(s.history, Row{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.ver, Removed: true})
	}
	s.wake()
	return qf.DoneWith(answer{Ver: s.ver})
}

func (s *Store) commit(ctx context.Context, t *transaction) qf.Result[answer] {
	if err := s.gate.AdmitWrite(ctx, qf.StepTableCommit); err != nil {
		return qf.NotDoneFor[answer](err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return standfault.RunWrite(s.gate, qf.StepTableCommit, func() qf.Result[answer] { return s.apply(t) })
}

// rangeOf asks for rows of a table with keys from one up to another.
type rangeOf struct {
	table, part, from, to string
	limit                 int
}

func (s *Store) get(ctx context.Context, r rangeOf) (answer, error) {
	if err := s.gate.AdmitRead(ctx, qf.StepTableRead); err != nil {
		return answer{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ApplyDueWrites()
	a := answer{Ver: s.ver}
	for k, row := range s.rows {
		if k.table == r.table && k.part == r.part && k.key >= r.from && (r.to == "" || k.key < r.to) {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(x, y Row) int { return strings.Compare(x.Key, y.Key) })
	limit := pageRows
	if r.limit > 0 {
		limit = min(limit, r.limit)
	}
	if len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	return a, nil
}

// since returns what changed in a table after a version, or a code of http.StatusGone if
// that isn't known any more.
func (s *Store) since(table string, after uint64) (a answer, status int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ApplyDueWrites()
	if after < s.floor {
		return answer{}, http.StatusGone, nil
	}
	a = answer{Ver: max(s.ver, after)}
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			a.Rows = append(a.Rows, row)
		}
	}
	return a, http.StatusOK, s.changed
}
