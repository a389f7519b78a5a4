package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// refusedPartsKey is the key of the row that holds the refused parts of prompts, so that they
	// stay refused when all nodes start anew.
	refusedPartsKey = "suspects/parts"
	// partsReadRetryDelay and maxPartsReads bound the reads of that row at a node's start.
	partsReadRetryDelay = 500 * time.Millisecond
	maxPartsReads       = 20
)

// refusedParts is the value of the row.
type refusedParts struct {
	// At is when the row was written, by the clock that the nodes agree on. The ages of the
	// suspicions are those at that time.
	At    time.Time
	Parts []qf.PartSuspicion
}

// partStore stores the refused parts while its node holds the lease.
type partStore struct {
	entry *Entry
	// isRead is true once the row was read; row is its position, and stored what it holds.
	isRead bool
	row    planRow
	stored []storedPart
}

// storedPart is what decides whether a part must be stored again.
type storedPart struct {
	part           uint64
	deaths, trials int
}

// step stores the refused parts if they have changed since the last time, or if the store has lost
// the row.
func (s *partStore) step(ctx context.Context) {
	now := s.entry.now()
	refused := s.entry.poisonFilter.listRefusedParts(now)
	parts := make([]storedPart, len(refused))
	for i := range refused {
		parts[i] = storedPart{part: refused[i].Part, deaths: len(refused[i].Deaths), trials: refused[i].Trials}
	}
	slices.SortFunc(parts, func(a, b storedPart) int { return cmp.Compare(a.part, b.part) })
	isLost := s.isRead && len(parts) > 0 && s.row.era < s.entry.platform.Eras.Era()
	if slices.Equal(parts, s.stored) && !isLost {
		return
	}
	if err := s.store(ctx, &refusedParts{At: s.entry.fleetClock.fleetTime(now), Parts: refused}); err != nil {
		s.isRead = false // Another holder or this write may have changed the row.
		qfevent.PartsNotKept.Log(&s.entry.platform.Logger, refusedPartsKey, err)
		return
	}
	s.stored = parts
}

func (s *partStore) store(ctx context.Context, value *refusedParts) error {
	table := s.entry.platform.Table
	if !s.isRead || s.row.era < s.entry.platform.Eras.Era() {
		row, err := table.Read(ctx, refusedPartsKey)
		if err != nil && !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
			return err
		}
		s.row, s.isRead = planRow{version: row.Version, era: row.Era}, true
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	result := table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(fmt.Sprintf("%s/%d/%d", refusedPartsKey, value.At.UnixNano(), len(value.Parts))),
		Conditions: []qf.Condition{{Key: refusedPartsKey, Version: s.row.version, Era: s.row.era}},
		Writes:     []qf.Write{{Key: refusedPartsKey, Value: encoded}},
	})
	if result.Certainty != qf.Done {
		return result.Err
	}
	s.row = planRow{version: s.row.version + 1, era: result.Value.Era}
	return nil
}

// loadRefusedParts reads the refused parts at the node's start.
func (e *Entry) loadRefusedParts(ctx context.Context) {
	var last error
	for range maxPartsReads {
		row, err := e.platform.Table.Read(ctx, refusedPartsKey)
		if err == nil || errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
			e.applyRefusedParts(row.Value)
			return
		}
		last = err
		retry := e.platform.Clock.After(partsReadRetryDelay)
		select {
		case <-retry.C():
		case <-ctx.Done():
			retry.Stop()
			return
		}
		retry.Stop()
	}
	qfevent.PartsNotKept.Log(&e.platform.Logger, refusedPartsKey, last)
}

// applyRefusedParts adds the refused parts of the row; an empty value holds none.
func (e *Entry) applyRefusedParts(value []byte) {
	if len(value) == 0 {
		return
	}
	var stored refusedParts
	if err := json.Unmarshal(value, &stored); err != nil {
		qfevent.RowUnreadable.Log(&e.platform.Logger, "Table", refusedPartsKey, 0, err)
		return
	}
	now := e.now()
	e.poisonFilter.mergeStored(now, max(e.fleetClock.fleetTime(now).Sub(stored.At), 0), stored.Parts)
}
