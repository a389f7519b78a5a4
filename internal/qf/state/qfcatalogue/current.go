package qfcatalogue

import (
	"sync/atomic"

	"quetzalfront/internal/qf"
)

// Current holds the snapshot that is in force at a node. Its revision never decreases.
type Current struct {
	snapshot atomic.Pointer[Snapshot]
}

// NewCurrent returns a holder at revision 0 with an empty document.
func NewCurrent() *Current {
	c := &Current{}
	c.snapshot.Store(&Snapshot{})
	return c
}

// Get returns the snapshot in force. It must not be changed.
func (c *Current) Get() *Snapshot { return c.snapshot.Load() }

// Revision returns the revision in force.
func (c *Current) Revision() qf.Revision { return c.Get().Revision }

// Update puts the snapshot in force if it is newer, and reports whether it did.
func (c *Current) Update(snapshot Snapshot) bool {
	for {
		old := c.snapshot.Load()
		if snapshot.Revision <= old.Revision {
			return false
		}
		if c.snapshot.CompareAndSwap(old, &snapshot) {
			return true
		}
	}
}
