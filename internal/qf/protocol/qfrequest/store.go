package qfrequest

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// Store holds the records of one node: those in progress and those that ended recently.
type Store struct {
	// maxInProgress is the maximum number of records in progress.
	maxInProgress int

	mu         sync.Mutex
	records    map[qf.RequestID]*Record
	inProgress int
}

// NewStore returns an empty store.
func NewStore(maxInProgress int) *Store {
	return &Store{maxInProgress: maxInProgress, records: map[qf.RequestID]*Record{}}
}

// Add adds a record in progress. It fails if the store is full or already has a record
// with the same identifier and at least the same generation.
func (s *Store) Add(record *Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress >= s.maxInProgress {
		err := qf.NewError(qf.CodeOverloaded, qf.StepAccept, "", "the node has too many requests in progress")
		err.Ran = qf.RanNo
		err.RetryAfter = retryAfter
		return err
	}
	old, ok := s.records[record.Request.ID]
	if ok && old.Generation() >= record.Generation() {
		err := qf.NewError(qf.CodeStaleOwnership, qf.StepAccept, "", "the request is already known here")
		err.Field = "Qf-Request-Id"
		return err
	}
	s.records[record.Request.ID] = record
	s.inProgress++
	return nil
}

// Get returns the record with the identifier, or nil.
func (s *Store) Get(id qf.RequestID) *Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[id]
}

// MarkEnded records that a record is no longer in progress.
func (s *Store) MarkEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
}

// MarkReopened records that an ended record is in progress again.
func (s *Store) MarkReopened() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress++
}

// InProgress returns the number of records in progress.
func (s *Store) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress
}

// ListOpen returns the records that haven't ended.
func (s *Store) ListOpen() []*Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*Record
	for _, r := range s.records {
		if r.EndedAt().IsZero() {
			open = append(open, r)
		}
	}
	return open
}

// ListForShadowing returns the records of which peers need a copy while the node leaves.
func (s *Store) ListForShadowing() []*Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var leaving []*Record
	for _, r := range s.records {
		if r.needsShadow() {
			leaving = append(leaving, r)
		}
	}
	return leaving
}

// DeleteEnded deletes the records that ended before the time.
func (s *Store) DeleteEnded(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.records {
		ended := r.EndedAt()
		if !ended.IsZero() && ended.Before(before) {
			delete(s.records, id)
		}
	}
}
