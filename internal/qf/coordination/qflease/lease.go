// Package qflease decides when a node acquires, renews, gives up and releases a
// lease that is kept in a row of the table service. It does no I/O and reads no
// clock.
package qflease

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// Timing holds the times of a lease. They must be the same at all nodes.
type Timing struct {
	// Duration is how long one write keeps the lease.
	Duration time.Duration
	// RenewEvery is the time between two renewals, and between two reads by a
	// candidate.
	RenewEvery time.Duration
	// ClockMargin is the share by which two nodes' clocks may differ in rate.
	ClockMargin float64
	// RankDelay keeps a candidate back for each better one, and bounds the random
	// part of its wait.
	RankDelay time.Duration
}

// Record is what the lease's row holds.
type Record struct {
	Holder      qf.NodeID
	Incarnation qf.Incarnation
	// Fencing rises by one with each change of holder.
	Fencing qf.FencingNumber
	// Released means that nobody holds the lease.
	Released bool
}

// ActionKind names what a lease asks its adapter for.
type ActionKind string

// The actions of a lease.
const (
	ActionNone  ActionKind = "None"
	ActionRead  ActionKind = "Read"
	ActionWrite ActionKind = "Write"
)

// Action is one call of the table service. The adapter makes at most one at a
// time and reports how it went.
type Action struct {
	Kind ActionKind
	// Record is to be written if the row is at Version; both are set exactly if
	// Kind is ActionWrite.
	Record  Record
	Version uint64
	// Transaction names the write.
	Transaction qf.TransactionID
}

// NotCandidate is the rank of a node that doesn't try to get the lease.
const NotCandidate = -1

// Lease is one node's part in one lease. It isn't safe for concurrent use.
type Lease struct {
	timing Timing
	self   Record
	random *rand.Rand
	rank   int
	// busy is true while a call of the table is under way.
	busy bool
	// known is true once the row was read. version and record are its content and
	// seenAt is when that version was first seen.
	known   bool
	version uint64
	record  Record
	seenAt  time.Time
	// readAt is when the row was last read, and patience the random part of the
	// wait for the version that was seen.
	readAt   time.Time
	patience time.Duration
	// doubt is true if the outcome of the last write isn't known.
	doubt bool
	// fencing is the node's number; it is 0 unless the node took the lease.
	fencing qf.FencingNumber
	// validUntil bounds the node's own claim. It is counted from before a write
	// that is proven was sent.
	validUntil time.Time
	// writtenAt is when the last write was sent, and sentAt when each write of
	// which the outcome isn't known was.
	writtenAt time.Time
	sentAt    map[qf.TransactionID]time.Time
	writes    uint64
	releasing bool
	// gone is the run of a holder that is known to have ended.
	gone Record
}

// New returns a lease that the node neither holds nor tries to get.
func New(self qf.NodeID, incarnation qf.Incarnation, timing Timing, random *rand.Rand) *Lease {
	return &Lease{
		timing: timing, random: random, rank: NotCandidate,
		self:   Record{Holder: self, Incarnation: incarnation},
		sentAt: map[qf.TransactionID]time.Time{},
	}
}

// SetRank says how many nodes are better placed to hold the lease, or that this
// node doesn't try.
func (l *Lease) SetRank(rank int) { l.rank = rank }

// Release gives the lease up. It is never undone.
func (l *Lease) Release() { l.releasing = true }

// Held returns the fencing number under which the node may act now. The caller
// asks again before each action, with the time of the action.
func (l *Lease) Held(now time.Time) (qf.FencingNumber, bool) {
	if l.fencing == 0 || l.releasing || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.fencing, true
}

// Claimed returns the number under which the node last held the lease, as long as
// nobody is known to have taken it. Only where each call's number is checked may the
// node act under it when Held doesn't allow that any more.
func (l *Lease) Claimed() (qf.FencingNumber, bool) {
	return l.fencing, l.isMine() && !l.releasing && !l.record.Released
}

// RecordHolderRestart takes the news that a run of a node's process has ended, because a later
// one was heard. A lease that it held is free.
func (l *Lease) RecordHolderRestart(holder qf.NodeID, later qf.Incarnation) {
	if l.known && l.record.Holder == holder && l.record.Incarnation < later {
		l.gone = l.record
	}
}

// Holder returns the last record that was seen.
func (l *Lease) Holder() (Record, bool) { return l.record, l.known && l.version > 0 }

// isMine reports whether the row was last written by this incarnation.
func (l *Lease) isMine() bool {
	return l.known && l.fencing != 0 && l.record.Fencing == l.fencing &&
		l.record.Holder == l.self.Holder && l.record.Incarnation == l.self.Incarnation
}

// NextAction returns the call to make now.
func (l *Lease) NextAction(now time.Time) Action {
	switch {
	case l.busy:
		return Action{Kind: ActionNone}
	case l.releasing:
		return l.nextRelease(now)
	case l.isMine() && !l.doubt:
		if now.Sub(l.writtenAt) < l.timing.RenewEvery {
			return Action{Kind: ActionNone}
		}
		return l.write(now, l.record)
	case l.rank == NotCandidate && !l.isMine():
		return Action{Kind: ActionNone}
	case !l.known || l.doubt:
		return l.read(now)
	case !now.Before(l.freeAt()):
		next := l.self
		next.Fencing = l.record.Fencing + 1
		return l.write(now, next)
	case now.Sub(l.readAt) >= l.timing.RenewEvery:
		return l.read(now)
	default:
		return Action{Kind: ActionNone}
	}
}

func (l *Lease) nextRelease(now time.Time) Action {
	if !l.isMine() || l.record.Released {
		return Action{Kind: ActionNone}
	}
	if l.doubt {
		return l.read(now)
	}
	next := l.record
	next.Released = true
	return l.write(now, next)
}

// freeAt is when this node may try to take the lease. It counts from when the
// row's version was first seen, which is after its holder counts from.
func (l *Lease) freeAt() time.Time {
	wait := time.Duration(l.rank)*l.timing.RankDelay + l.patience
	if l.version > 0 && !l.record.Released && l.gone != l.record {
		wait += time.Duration(float64(l.timing.Duration) * (1 + l.timing.ClockMargin))
	}
	return l.seenAt.Add(wait)
}

func (l *Lease) read(now time.Time) Action {
	l.busy = true
	l.readAt = now
	return Action{Kind: ActionRead}
}

func (l *Lease) write(now time.Time, record Record) Action {
	l.busy = true
	l.writes++
	l.writtenAt = now
	id := qf.TransactionID(fmt.Sprintf("%s/%d/%d/%d", l.self.Holder, l.self.Incarnation, l.writes, l.random.Uint64()))
	l.sentAt[id] = now
	return Action{Kind: ActionWrite, Record: record, Version: l.version, Transaction: id}
}

// RecordRead takes the row as it was read. Version 0 stands for an absent row.
func (l *Lease) RecordRead(now time.Time, version uint64, record Record, writer qf.TransactionID) {
	l.busy = false
	l.doubt = false
	if l.known && version == l.version {
		return
	}
	l.see(now, version, record)
	if sent, ok := l.sentAt[writer]; ok {
		l.own(record, sent)
	}
	clear(l.sentAt) // Older writes required an older version.
}

// RecordReadFailure reports that the row couldn't be read.
func (l *Lease) RecordReadFailure() { l.busy = false }

// RecordWrite reports how a write went. A conflict proves that the row has changed.
func (l *Lease) RecordWrite(now time.Time, action Action, certainty qf.Certainty, conflict bool) {
	l.busy = false
	switch {
	case certainty == qf.Done:
		sent := l.sentAt[action.Transaction]
		clear(l.sentAt)
		l.see(now, action.Version+1, action.Record)
		l.own(action.Record, sent)
	case certainty == qf.Unknown:
		l.doubt = true
	case conflict:
		l.doubt = true // The row is read next.
	default:
		delete(l.sentAt, action.Transaction)
	}
}

func (l *Lease) see(now time.Time, version uint64, record Record) {
	l.known, l.version, l.record, l.seenAt, l.readAt = true, version, record, now, now
	l.patience = time.Duration(l.random.Int64N(int64(l.timing.RankDelay) + 1))
	if !l.isMine() {
		l.fencing = 0 // Another node holds the lease, or nobody.
	}
}

// own counts the validity of a write that is proven from when it was sent.
func (l *Lease) own(record Record, sent time.Time) {
	l.fencing = record.Fencing
	if record.Released {
		l.validUntil = time.Time{}
		return
	}
	l.writtenAt = sent
	l.validUntil = sent.Add(time.Duration(float64(l.timing.Duration) * (1 - l.timing.ClockMargin)))
}
