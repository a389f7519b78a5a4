package qfhandover

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// ShadowStore holds copies of requests that other nodes own. It isn't safe for concurrent
// use.
type ShadowStore struct {
	// maxRecords is the maximum number of copies, and of entries in owners.
	maxRecords int
	records    map[qf.RequestID]*shadow
	// owners holds the newest generation that a notice reported for a request without a
	// copy here. A hand-over with an earlier generation that arrives later is refused.
	owners map[qf.RequestID]ownership
}

// ownership is a reported ownership of a request.
type ownership struct {
	generation qf.Generation
	expiresAt  time.Time
}

// shadow is a copy of a request that another node owns.
type shadow struct {
	record qf.RequestRecord
	// expiresAt is the time after which no caller can request the record.
	expiresAt time.Time
}

// NewShadowStore returns an empty store with room for maxRecords records.
func NewShadowStore(maxRecords int) *ShadowStore {
	return &ShadowStore{maxRecords: maxRecords, records: map[qf.RequestID]*shadow{}, owners: map[qf.RequestID]ownership{}}
}

// RecordOwner records a notice of who owns a request.
func (s *ShadowStore) RecordOwner(now time.Time, notice *qf.RequestRecord, retainFor time.Duration) {
	id := notice.Request.ID
	if held, ok := s.owners[id]; ok && held.generation >= notice.Generation || len(s.owners) >= s.maxRecords {
		return
	}
	s.owners[id] = ownership{generation: notice.Generation, expiresAt: now.Add(notice.TimeLeft + retainFor)}
}

// IsStale reports whether an offered record has an earlier generation than the newest one
// recorded here.
func (s *ShadowStore) IsStale(offered *qf.RequestRecord) bool {
	return s.NewestGeneration(offered.Request.ID) > offered.Generation
}

// NewestGeneration returns the highest generation recorded here for a request, or 0.
func (s *ShadowStore) NewestGeneration(id qf.RequestID) qf.Generation {
	newest := s.owners[id].generation
	if held, ok := s.records[id]; ok {
		newest = max(newest, held.record.Generation)
	}
	return newest
}

// Store stores a copy or the continuation of one. It reports whether the whole text so far
// is stored now; if it isn't, the owner sends the whole record again.
func (s *ShadowStore) Store(now time.Time, record *qf.RequestRecord, retainFor time.Duration) bool {
	id := record.Request.ID
	held, ok := s.records[id]
	if ok && held.record.Generation > record.Generation {
		return false
	}
	if record.Update {
		return ok && held.record.Generation == record.Generation && held.extend(record)
	}
	if !ok && len(s.records) >= s.maxRecords {
		return false
	}
	kept := *record
	kept.Text = slices.Clone(record.Text)
	s.records[id] = &shadow{record: kept, expiresAt: now.Add(record.TimeLeft + retainFor)}
	return true
}

// extend appends a continuation. It skips tokens that are already stored, so that a
// continuation may be sent twice.
func (s *shadow) extend(record *qf.RequestRecord) bool {
	held := len(s.record.Text)
	if record.Owner != s.record.Owner || record.TextFrom > held {
		return false
	}
	if skip := held - record.TextFrom; skip < len(record.Text) {
		s.record.Text = append(s.record.Text, record.Text[skip:]...)
	}
	s.record.Endpoint, s.record.Attempt = record.Endpoint, record.Attempt
	if record.Final {
		s.record.Final = true
		s.record.Finish = record.Finish
	}
	return true
}

// Get returns the copy of a request, with its TimeLeft as of now.
func (s *ShadowStore) Get(now time.Time, id qf.RequestID, retainFor time.Duration) (qf.RequestRecord, bool) {
	held, ok := s.records[id]
	if !ok {
		return qf.RequestRecord{}, false
	}
	record := held.record
	record.TimeLeft = held.expiresAt.Add(-retainFor).Sub(now)
	return record, true
}

// Delete deletes a copy, because this node now owns the request or it has ended.
func (s *ShadowStore) Delete(id qf.RequestID) { delete(s.records, id) }

// DeleteExpired deletes the copies and ownerships that have expired.
func (s *ShadowStore) DeleteExpired(now time.Time) {
	for id, held := range s.records {
		if held.expiresAt.Before(now) {
			delete(s.records, id)
		}
	}
	for id, held := range s.owners {
		if held.expiresAt.Before(now) {
			delete(s.owners, id)
		}
	}
}

// Len returns the number of copies.
func (s *ShadowStore) Len() int { return len(s.records) }
