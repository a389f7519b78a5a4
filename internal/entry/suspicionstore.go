package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// refusedPartsKey and suspectedRequestsKey are the keys of the rows that hold the suspicions of parts of prompts and of
	// requests, so that they last when all nodes start anew.
	refusedPartsKey      = "suspects/parts"
	suspectedRequestsKey = "suspects/requests"
	// suspicionsReadRetryDelay and maxSuspicionsReads bound the reads of a row at a node's start.
	suspicionsReadRetryDelay = 200 * time.Millisecond
	maxSuspicionsReads       = 50
)

// refusedParts is the value of the row of parts. Builds that don't know the other row write this one.
type refusedParts struct {
	// At is when the row was written, by the clock that the nodes agree on. The ages of the
	// suspicions are those at that time.
	At    time.Time
	Parts []qf.PartSuspicion
}

// suspectedRequests is the value of the row of requests.
type suspectedRequests struct {
	// At is as in refusedParts.
	At time.Time
	// Requests are those with a death that no answer has cleared: the next death of one that isn't refused
	// yet counts from there.
	Requests []qf.Suspicion
}

// suspicionStore stores the suspicions while its node holds the lease.
type suspicionStore struct {
	entry *Entry
	rows  []*suspicionRow
}

// suspicionRow is one of the rows.
type suspicionRow struct {
	key  string
	list func(now time.Time) (value any, states []suspicionState)
	// isRead is true once the row was read; row is its position, and stored what it holds.
	isRead bool
	row    planRow
	stored []suspicionState
}

// suspicionState is what decides whether a suspicion must be stored again.
type suspicionState struct {
	fingerprint             uint64
	deaths, cleared, trials int
}

func compareStates(a, b suspicionState) int { return cmp.Compare(a.fingerprint, b.fingerprint) }

func newSuspicionStore(e *Entry) *suspicionStore {
	return &suspicionStore{entry: e, rows: []*suspicionRow{
		{key: refusedPartsKey, list: e.listRefusedParts}, {key: suspectedRequestsKey, list: e.listSuspectedRequests},
	}}
}

// listRefusedParts returns the value of the row of parts.
func (e *Entry) listRefusedParts(now time.Time) (value any, states []suspicionState) {
	parts := e.poisonFilter.listRefusedParts(now)
	for i := range parts {
		states = append(states, suspicionState{fingerprint: parts[i].Part, deaths: len(parts[i].Deaths), trials: parts[i].Trials})
	}
	return &refusedParts{At: e.fleetClock.fleetTime(now), Parts: parts}, states
}

// listSuspectedRequests returns the value of the row of requests.
func (e *Entry) listSuspectedRequests(now time.Time) (value any, states []suspicionState) {
	requests := e.poisonFilter.listOpenRequests(now)
	for i := range requests {
		n := &requests[i]
		states = append(states, suspicionState{fingerprint: n.Fingerprint, deaths: len(n.Deaths), cleared: len(n.Cleared), trials: n.Relapses})
	}
	return &suspectedRequests{At: e.fleetClock.fleetTime(now), Requests: requests}, states
}

// step stores the suspicions that have changed since the last time, and those whose row the store has lost.
func (s *suspicionStore) step(ctx context.Context) {
	for _, r := range s.rows {
		value, states := r.list(s.entry.now())
		slices.SortFunc(states, compareStates)
		isLost := r.isRead && len(states) > 0 && r.row.era < s.entry.platform.Eras.Era()
		if slices.Equal(states, r.stored) && !isLost {
			continue
		}
		if err := s.store(ctx, r, value); err != nil {
			r.isRead = false // Another holder or this write may have changed the row.
			qfevent.SuspicionsNotKept.Log(&s.entry.platform.Logger, r.key, err)
			continue
		}
		r.stored = states
	}
}

func (s *suspicionStore) store(ctx context.Context, r *suspicionRow, value any) error {
	table := s.entry.platform.Table
	if !r.isRead || r.row.era < s.entry.platform.Eras.Era() {
		row, err := table.Read(ctx, r.key)
		if err != nil && !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
			return err
		}
		r.row, r.isRead = planRow{version: row.Version, era: row.Era}, true
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	result := table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(fmt.Sprintf("%s/%d", r.key, s.entry.fleetClock.fleetTime(s.entry.now()).UnixNano())),
		Conditions: []qf.Condition{{Key: r.key, Version: r.row.version, Era: r.row.era}},
		Writes:     []qf.Write{{Key: r.key, Value: encoded}},
	})
	if result.Certainty != qf.Done {
		return result.Err
	}
	r.row = planRow{version: r.row.version + 1, era: result.Value.Era}
	return nil
}

// loadSuspicions reads the suspicions at the node's start. Requests are held until then, as they are until the
// configuration is loaded.
func (e *Entry) loadSuspicions(ctx context.Context) {
	var rows sync.WaitGroup
	var parts, requests bool
	rows.Go(func() { parts = e.loadSuspicionRow(ctx, refusedPartsKey, e.applyRefusedParts) })
	rows.Go(func() { requests = e.loadSuspicionRow(ctx, suspectedRequestsKey, e.applySuspectedRequests) })
	rows.Wait()
	if parts && requests {
		e.hasSuspicions.Store(true)
		e.signalLoaded()
	}
}

// loadSuspicionRow reads one of the rows and reports whether that succeeded.
func (e *Entry) loadSuspicionRow(ctx context.Context, key string, apply func(value []byte) error) bool {
	var last error
	canServe := (<-chan struct{})(e.canServe)
	for range maxSuspicionsReads {
		row, err := e.platform.Table.Read(ctx, key)
		if err == nil && len(row.Value) > 0 {
			if err := apply(row.Value); err != nil {
				qfevent.RowUnreadable.Log(&e.platform.Logger, "Table", key, 0, err)
			}
		}
		if err == nil || errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
			return true
		}
		last = err
		retry := e.platform.Clock.After(suspicionsReadRetryDelay)
		select {
		case <-retry.C():
		case <-canServe:
			canServe = nil // The store may be back, and requests run from now on.
		case <-ctx.Done():
		}
		retry.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
	qfevent.SuspicionsNotKept.Log(&e.platform.Logger, key, last)
	return false
}

// ageOf returns how long ago a row was written.
func (e *Entry) ageOf(now, writtenAt time.Time) time.Duration {
	return max(e.fleetClock.fleetTime(now).Sub(writtenAt), 0)
}

func (e *Entry) applyRefusedParts(value []byte) error {
	var stored refusedParts
	if err := json.Unmarshal(value, &stored); err != nil {
		return err
	}
	now := e.now()
	e.poisonFilter.mergeStoredParts(now, e.ageOf(now, stored.At), stored.Parts)
	return nil
}

func (e *Entry) applySuspectedRequests(value []byte) error {
	var stored suspectedRequests
	if err := json.Unmarshal(value, &stored); err != nil {
		return err
	}
	now := e.now()
	e.poisonFilter.mergeStoredRequests(now, e.ageOf(now, stored.At), stored.Requests)
	return nil
}
