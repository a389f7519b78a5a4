// Package standrows is a small stand-in for the row store of the users' platform, with its
// change feed, over the platform's protocol.
package standrows

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standfault"
)

// pageRows is the maximum number of rows in one response.
const pageRows = 500

// Row is a row in its wire format.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// rowKey is the primary key of a row.
type rowKey struct{ table, part, key string }

// primaryKey returns the primary key of the row.
func (r *Row) primaryKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store holds the rows. Each transaction increments its version.
type Store struct {
	clock qf.Clock
	gate  *standfault.Gate

	mu   sync.Mutex
	rows map[rowKey]Row
	// history holds all changes after the version floor, removals included.
	history []Row
	floor   uint64
	ver     uint64
	// changed is closed and replaced at each change, which wakes the waiting feeds.
	changed chan struct{}
	// calls counts the received calls by path.
	calls map[string]int
	// era rises by one with each restore.
	era uint64
	// log holds all changes with their times, also those that restores have undone until
	// they are, so that the store can be restored to any earlier time.
	log []loggedChange
	// lost holds the changes of other clients that the last restores have undone.
	lost []Row
}

// loggedChange is a change with its time and its writer.
type loggedChange struct {
	row Row
	at  time.Time
	// isOthers is true for a change by another client than the nodes.
	isOthers bool
}

// New returns an empty store with these rate limits.
func New(clock qf.Clock, readsPerSecond, writesPerSecond int) *Store {
	return &Store{
		clock: clock, gate: standfault.NewGate(clock, readsPerSecond, writesPerSecond), rows: map[rowKey]Row{},
		changed: make(chan struct{}), calls: map[string]int{}, era: 1,
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults standfault.Faults) { s.gate.SetFaults(faults) }

// Calls returns the number of received calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// DropHistory drops the recorded changes, so that readers of the feed must read all rows again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.floor = nil, s.ver
	s.wakeFeeds()
}

// Put writes a row without rate limits or faults, as another client of the store.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyOthers(&transaction{Writes: []Row{{Table: table, Key: key, Value: value}}})
}

// Remove removes a row without rate limits or faults, as another client of the store.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyOthers(&transaction{Remove: []Row{{Table: table, Key: key}}})
}

// applyOthers applies a transaction of another client. The caller holds s.mu.
func (s *Store) applyOthers(t *transaction) {
	first := len(s.log)
	s.apply(t)
	for i := range s.log[first:] {
		s.log[first+i].isOthers = true
	}
}

// Get returns the value of a row and whether the row exists.
func (s *Store) Get(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey{table: table, key: key}]
	return row.Value, ok
}

// wakeFeeds wakes the feeds that wait for a change. The caller holds s.mu.
func (s *Store) wakeFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// transaction is the body of a commit.
type transaction struct {
	Expected []Row `json:"expected-rev"`
	Writes   []Row `json:"writes"`
	Remove   []Row `json:"remove"`
}

// storeResponse is the body of each successful response.
type storeResponse struct {
	Rows    []Row  `json:"rows,omitempty"`
	HasMore bool   `json:"has-more"`
	Ver     uint64 `json:"ver"`
}

// apply runs a transaction if its expected versions match. The caller holds s.mu.
func (s *Store) apply(t *transaction) qf.Result[storeResponse] {
	for i := range t.Expected {
		if s.rows[t.Expected[i].primaryKey()].Ver != t.Expected[i].Ver {
			return qf.NotDoneFor[storeResponse](qf.NewError(qf.CodeConflict, qf.StepTableCommit, "", "a condition failed"))
		}
	}
	s.ver++
	for _, row := range t.Writes {
		row.Ver = s.ver
		s.record(row)
	}
	for _, row := range t.Remove {
		s.record(Row{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.ver, Removed: true})
	}
	s.wakeFeeds()
	return qf.DoneWith(storeResponse{Ver: s.ver})
}

// record applies and records one change. The caller holds s.mu.
func (s *Store) record(row Row) {
	s.set(row)
	s.history = append(s.history, row)
	s.log = append(s.log, loggedChange{row: row, at: s.clock.Now()})
}

// set applies one change to the rows. The caller holds s.mu.
func (s *Store) set(row Row) {
	if row.Removed {
		delete(s.rows, row.primaryKey())
		return
	}
	s.rows[row.primaryKey()] = row
}

// commit applies a transaction, subject to the rate limits and the injected faults.
func (s *Store) commit(ctx context.Context, t *transaction) qf.Result[storeResponse] {
	if err := s.gate.AdmitWrite(ctx, qf.StepTableCommit); err != nil {
		return qf.NotDoneFor[storeResponse](err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return standfault.RunWrite(s.gate, qf.StepTableCommit, func() qf.Result[storeResponse] { return s.apply(t) })
}

// keyRange selects the rows of a table and part whose keys are at least from and, unless to
// is empty, less than to.
type keyRange struct {
	table, part, from, to string
	limit                 int
}

// readRange returns the rows of a key range in order of their keys, at most one page.
func (s *Store) readRange(ctx context.Context, r keyRange) (storeResponse, error) {
	if err := s.gate.AdmitRead(ctx, qf.StepTableRead); err != nil {
		return storeResponse{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ApplyDueWrites()
	page := storeResponse{Ver: s.ver}
	for k, row := range s.rows {
		if k.table == r.table && k.part == r.part && k.key >= r.from && (r.to == "" || k.key < r.to) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(x, y Row) int { return strings.Compare(x.Key, y.Key) })
	limit := pageRows
	if r.limit > 0 {
		limit = min(limit, r.limit)
	}
	if len(page.Rows) > limit {
		page.Rows, page.HasMore = page.Rows[:limit], true
	}
	return page, nil
}

// changesAfter returns the changes of a table after a version, and a channel that is closed at
// the next change. The status is http.StatusGone if the history no longer reaches back to the
// version.
func (s *Store) changesAfter(table string, after uint64) (changes storeResponse, status int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ApplyDueWrites()
	if after < s.floor || after > s.ver {
		return storeResponse{}, http.StatusGone, nil
	}
	changes = storeResponse{Ver: max(s.ver, after)}
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, http.StatusOK, s.changed
}
