// Package qfera tracks the era of the platform's store, which rises when the store comes back
// from a copy that lacks its latest writes.
package qfera

import (
	"sync"

	"quetzalfront/internal/qf"
)

// Tracker holds the newest era that is known. It implements qf.EraTracker and is safe for
// concurrent use.
type Tracker struct {
	mu  sync.Mutex
	era qf.StoreEra
	// risen is closed and replaced when the era rises.
	risen chan struct{}
}

// New returns a tracker that knows no era.
func New() *Tracker { return &Tracker{risen: make(chan struct{})} }

// Era implements qf.EraTracker.
func (t *Tracker) Era() qf.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// ObserveEra implements qf.EraTracker. An earlier era than the known one is ignored.
func (t *Tracker) ObserveEra(era qf.StoreEra) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return
	}
	t.era = era
	close(t.risen)
	t.risen = make(chan struct{})
}

// AwaitEraAfter implements qf.EraTracker.
func (t *Tracker) AwaitEraAfter(era qf.StoreEra) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era > era {
		passed := make(chan struct{})
		close(passed)
		return passed
	}
	return t.risen
}
