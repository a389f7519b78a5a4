package qfhandover

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// ShadowStore holds copies of requests that other nodes own. It isn't safe for
// concurrent use.
type ShadowStore struct {
	// maxRecords bounds the copies.
	maxRecords int
	records    map[qf.RequestID]*shadow
	// claims holds who was said to own a request of which nothing is held here. A
	// hand-over of an earlier generation that arrives after that is refused.
	claims map[qf.RequestID]claim
}

type claim struct {
	generation qf.Generation
	expiresAt  time.Time
}

type shadow struct {
	record qf.RequestRecord
	// expiresAt is when no caller can want the request any more.
	expiresAt time.Time
}

// NewShadowStore returns an empty store of at most so many records.
func NewShadowStore(maxRecords int) *ShadowStore {
	return &ShadowStore{maxRecords: maxRecords, records: map[qf.RequestID]*shadow{}, claims: map[qf.RequestID]claim{}}
}

// RecordOwner notes that a node was said to own a request.
func (s *ShadowStore) RecordOwner(now time.Time, notice *qf.RequestRecord, retainFor time.Duration) {
	id := notice.Request.ID
	if known, ok := s.claims[id]; ok && known.generation >= notice.Generation || len(s.claims) >= s.maxRecords {
		return
	}
	s.claims[id] = claim{generation: notice.Generation, expiresAt: now.Add(notice.TimeLeft + retainFor)}
}

// IsStale reports whether an offered record is of an earlier generation than one
// that is known here.
func (s *ShadowStore) IsStale(offered *qf.RequestRecord) bool {
	return s.NewestGeneration(offered.Request.ID) > offered.Generation
}

// NewestGeneration returns the highest generation of a request that is known here, or 0.
func (s *ShadowStore) NewestGeneration(id qf.RequestID) qf.Generation {
	newest := s.claims[id].generation
	if known, ok := s.records[id]; ok {
		newest = max(newest, known.record.Generation)
	}
	return newest
}

// Store takes a copy or the continuation of one. It reports whether the whole
// text so far is held now; the owner sends the whole record again if it isn't.
func (s *ShadowStore) Store(now time.Time, record *qf.RequestRecord, retainFor time.Duration) bool {
	id := record.Request.ID
	known, ok := s.records[id]
	if ok && known.record.Generation > record.Generation {
		return false
	}
	if record.Update {
		return ok && known.record.Generation == record.Generation && known.extend(record)
	}
	if !ok && len(s.records) >= s.maxRecords {
		return false
	}
	kept := *record
	kept.Text = slices.Clone(record.Text)
	s.records[id] = &shadow{record: kept, expiresAt: now.Add(record.TimeLeft + retainFor)}
	return true
}

// extend appends a continuation. Tokens that are held already are skipped, so
// that a continuation that was sent twice changes nothing.
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

// Get returns the copy of a request with the time that is left at present.
func (s *ShadowStore) Get(now time.Time, id qf.RequestID, retainFor time.Duration) (qf.RequestRecord, bool) {
	known, ok := s.records[id]
	if !ok {
		return qf.RequestRecord{}, false
	}
	record := known.record
	record.TimeLeft = known.expiresAt.Add(-retainFor).Sub(now)
	return record, true
}

// Delete forgets a copy: this node owns the request now, or it has ended.
func (s *ShadowStore) Delete(id qf.RequestID) { delete(s.records, id) }

// DeleteExpired forgets copies that no caller can want any more.
func (s *ShadowStore) DeleteExpired(now time.Time) {
	for id, known := range s.records {
		if known.expiresAt.Before(now) {
			delete(s.records, id)
		}
	}
	for id, known := range s.claims {
		if known.expiresAt.Before(now) {
			delete(s.claims, id)
		}
	}
}

// Len returns the number of copies.
func (s *ShadowStore) Len() int { return len(s.records) }
