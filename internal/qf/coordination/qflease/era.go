package qflease

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

const (
	// fencingPerEra bounds the fencing numbers given out in one era.
	fencingPerEra = 1 << 32
	// fencingSlots is the number of slots for holders among the fencing numbers of an era. A
	// write sent in an earlier era can replace a holder's row before others have seen its
	// number. Slots keep the next holder from taking the same number.
	fencingSlots = 1 << 12
)

// eraFloor returns the number that is below all fencing numbers of an era, and at or above
// all those of earlier eras.
func eraFloor(era qf.StoreEra) qf.FencingNumber { return qf.FencingNumber(era) * fencingPerEra }

// SetFirstStart declares that the whole fleet starts for the first time, so that an absent row
// was never written.
func (l *Lease) SetFirstStart() { l.isFirstStart = true }

// RecordEra records the store's era. In a later era the row may be absent, or an older one
// with a version that was given out before, so nothing that was read earlier holds. A holder
// keeps the lease until its validity ends: until then no other node takes it, because each
// waits for the duration of the lease after it has seen the new era.
func (l *Lease) RecordEra(now time.Time, era qf.StoreEra) {
	if era <= l.era {
		return
	}
	_, isHeld := l.Held(now)
	l.isCarried = isHeld
	if !l.isCarried {
		l.fencing = 0
	}
	l.era = era
	l.known, l.version, l.record, l.ended = false, 0, Record{}, Record{}
	clear(l.sentAt) // A write without a known outcome doesn't count as done.
}

// Highest returns the highest fencing number that this node has seen or received.
func (l *Lease) Highest() qf.FencingNumber { return l.highest }

// RecordFencing records a fencing number that a peer has seen. The row may no longer show it.
func (l *Lease) RecordFencing(fencing qf.FencingNumber) { l.highest = max(l.highest, fencing) }

// nextFencing returns the number for the next change of holder: the lowest one above all that
// are known, and of this node's slot if the store reports its era.
func (l *Lease) nextFencing() qf.FencingNumber {
	next := max(l.record.Fencing, l.highest, eraFloor(l.era)) + 1
	if l.era == 0 {
		return next
	}
	return next + (l.slot()-next)%fencingSlots
}

// slot returns the node's slot among the fencing numbers.
func (l *Lease) slot() qf.FencingNumber {
	key := fmt.Sprintf("%s/%d", l.self.Holder, l.self.Incarnation)
	return qf.FencingNumber(xxhash.Sum64String(key) % fencingSlots)
}

// mayHideHolder reports whether the row may be older than a holder's last write: it was written
// before the store's present era.
func (l *Lease) mayHideHolder() bool {
	isNew := l.isFirstStart && l.version == 0
	return l.record.Fencing < eraFloor(l.era) && !isNew
}
