// Package qflease decides when a node acquires, renews and releases a lease that is
// stored in a row of the table service. It does no I/O and reads no clock.
package qflease

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// Timing holds the durations of a lease. They must be the same at all nodes.
type Timing struct {
	// Duration is how long the lease is valid after a write.
	Duration time.Duration
	// RenewEvery is the time between two renewals, and between two reads by a
	// candidate.
	RenewEvery time.Duration
	// ClockMargin is the share by which two nodes' clocks may differ in rate.
	ClockMargin float64
	// RankDelay is how long a candidate waits for each candidate of better rank. It
	// also bounds the random part of the wait.
	RankDelay time.Duration
}

// Record is the content of the lease's row.
type Record struct {
	Holder      qf.NodeID
	Incarnation qf.Incarnation
	// Fencing rises with each change of holder, and is above all numbers given out in earlier
	// eras of the store.
	Fencing qf.FencingNumber
	// Released is true if no node holds the lease.
	Released bool
}

// ActionKind is the kind of call that the adapter must make.
type ActionKind string

// The actions of a lease.
const (
	ActionNone  ActionKind = "None"
	ActionRead  ActionKind = "Read"
	ActionWrite ActionKind = "Write"
)

// Action is one call of the table service. The adapter makes at most one at a time
// and reports its result.
type Action struct {
	Kind ActionKind
	// Record must be written if the row is at Version; both are set only if Kind is
	// ActionWrite.
	Record  Record
	Version uint64
	// Era is the store's era in which Version was read.
	Era qf.StoreEra
	// Transaction identifies the write.
	Transaction qf.TransactionID
}

// NotCandidate is the rank of a node that doesn't try to acquire the lease.
const NotCandidate = -1

// Lease is one node's state of one lease. It isn't safe for concurrent use.
type Lease struct {
	timing Timing
	self   Record
	random *rand.Rand
	rank   int
	// callInProgress is true while a call of the table service is in progress.
	callInProgress bool
	// known is true once the row was read. version and record are its content and
	// seenAt is when that version was first seen.
	known   bool
	version uint64
	record  Record
	seenAt  time.Time
	// readAt is when the row was last read. jitter is the random part of the wait
	// before this node may take the lease, drawn for each version.
	readAt time.Time
	jitter time.Duration
	// isUncertain is true if the row must be read again, because the outcome of the
	// last write isn't known or it met a conflict.
	isUncertain bool
	// fencing is the node's fencing number; it is 0 unless the node took the lease.
	fencing qf.FencingNumber
	// validUntil is when the node's hold ends. It is counted from the time at which
	// the last confirmed write was sent.
	validUntil time.Time
	// writtenAt is when the last write was sent, sentAt when each write without a known
	// outcome was sent.
	writtenAt time.Time
	sentAt    map[qf.TransactionID]time.Time
	writes    uint64
	releasing bool
	// ended is the record of a holder whose process is known to have ended.
	ended Record
	// era is the store's era to which version and record belong.
	era qf.StoreEra
	// isCarried is true while the node holds the lease under a number of an earlier era.
	isCarried bool
	// isFirstStart is true if the row has never existed.
	isFirstStart bool
	// highest is the highest fencing number that was ever seen.
	highest qf.FencingNumber
}

// New returns a lease that the node neither holds nor tries to acquire.
func New(self qf.NodeID, incarnation qf.Incarnation, timing Timing, random *rand.Rand) *Lease {
	return &Lease{
		timing: timing, random: random, rank: NotCandidate,
		self:   Record{Holder: self, Incarnation: incarnation},
		sentAt: map[qf.TransactionID]time.Time{},
	}
}

// SetRank sets the number of candidates of better rank, or NotCandidate.
func (l *Lease) SetRank(rank int) { l.rank = rank }

// Release releases the lease. It can't be undone.
func (l *Lease) Release() { l.releasing = true }

// Held returns the fencing number under which the node may act now. The caller must
// call it before each action, with the time of the action.
func (l *Lease) Held(now time.Time) (qf.FencingNumber, bool) {
	if l.fencing == 0 || l.releasing || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.fencing, true
}

// Claimed returns the fencing number under which the node last held the lease, as long
// as no other node is known to have taken it. Once Held no longer returns it, the node
// may use it only for calls whose receiver checks fencing numbers.
func (l *Lease) Claimed() (qf.FencingNumber, bool) {
	return l.fencing, l.isMine() && !l.releasing && !l.record.Released
}

// RecordHolderRestart records that a node has restarted with a later incarnation. A lease
// held by an earlier one is free.
func (l *Lease) RecordHolderRestart(holder qf.NodeID, later qf.Incarnation) {
	if l.known && l.record.Holder == holder && l.record.Incarnation < later {
		l.ended = l.record
	}
}

// Holder returns the last known record of the row, if the row exists.
func (l *Lease) Holder() (Record, bool) { return l.record, l.known && l.version > 0 }

// isMine reports whether the row was last written by this incarnation.
func (l *Lease) isMine() bool {
	return l.known && l.fencing != 0 && l.record.Fencing == l.fencing &&
		l.record.Holder == l.self.Holder && l.record.Incarnation == l.self.Incarnation
}

// NextAction returns the call that the adapter must make now.
func (l *Lease) NextAction(now time.Time) Action {
	if l.isCarried && !now.Before(l.validUntil) {
		l.isCarried, l.fencing = false, 0
	}
	switch {
	case l.callInProgress:
		return Action{Kind: ActionNone}
	case l.releasing:
		return l.nextRelease(now)
	case l.isMine() && !l.isCarried && !l.isUncertain:
		if now.Sub(l.writtenAt) < l.timing.RenewEvery {
			return Action{Kind: ActionNone}
		}
		return l.write(now, l.record)
	case l.rank == NotCandidate && !l.isMine() && !l.isCarried:
		return Action{Kind: ActionNone}
	case !l.known || l.isUncertain:
		return l.read(now)
	case l.isCarried || !now.Before(l.freeAt()):
		next := l.self
		next.Fencing = l.nextFencing()
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
	if l.isUncertain {
		return l.read(now)
	}
	next := l.record
	next.Released = true
	return l.write(now, next)
}

// freeAt returns when this node may try to take the lease. It counts from when the
// row's version was first seen, which is later than the time from which its holder
// counts.
func (l *Lease) freeAt() time.Time {
	wait := time.Duration(l.rank)*l.timing.RankDelay + l.jitter
	isFree := l.version == 0 || l.record.Released || l.ended == l.record
	if !isFree || l.mayHideHolder() {
		wait += time.Duration(float64(l.timing.Duration) * (1 + l.timing.ClockMargin))
	}
	return l.seenAt.Add(wait)
}

func (l *Lease) read(now time.Time) Action {
	l.callInProgress = true
	l.readAt = now
	return Action{Kind: ActionRead}
}

func (l *Lease) write(now time.Time, record Record) Action {
	l.callInProgress = true
	l.writes++
	l.writtenAt = now
	id := qf.TransactionID(fmt.Sprintf("%s/%d/%d/%d", l.self.Holder, l.self.Incarnation, l.writes, l.random.Uint64()))
	l.sentAt[id] = now
	return Action{Kind: ActionWrite, Record: record, Version: l.version, Era: l.era, Transaction: id}
}

// RecordRead records the row that was read. Version 0 stands for an absent row.
func (l *Lease) RecordRead(now time.Time, version uint64, record Record, writer qf.TransactionID) {
	l.callInProgress = false
	l.isUncertain = false
	if l.known && version == l.version {
		return
	}
	l.recordRow(now, version, record)
	if sent, ok := l.sentAt[writer]; ok {
		l.confirm(record, sent)
	}
	clear(l.sentAt) // Older writes required an older version.
}

// RecordReadFailure records that the row couldn't be read.
func (l *Lease) RecordReadFailure() { l.callInProgress = false }

// RecordWrite records the result of a write. A conflict proves that the row has changed.
func (l *Lease) RecordWrite(now time.Time, action Action, certainty qf.Certainty, conflict bool) {
	l.callInProgress = false
	switch {
	case action.Era != l.era:
		l.isUncertain = true // The store came back older meanwhile.
	case certainty == qf.Done:
		sent := l.sentAt[action.Transaction]
		clear(l.sentAt)
		l.recordRow(now, action.Version+1, action.Record)
		l.confirm(action.Record, sent)
	case certainty == qf.Unknown:
		l.isUncertain = true
	case conflict:
		l.isUncertain = true // The row is read next.
	default:
		delete(l.sentAt, action.Transaction)
	}
}

func (l *Lease) recordRow(now time.Time, version uint64, record Record) {
	l.known, l.version, l.record, l.seenAt, l.readAt = true, version, record, now, now
	l.jitter = time.Duration(l.random.Int64N(int64(l.timing.RankDelay) + 1))
	l.highest = max(l.highest, record.Fencing)
	isTakenInEra := record.Fencing > eraFloor(l.era) && !record.Released
	if l.isCarried && !isTakenInEra {
		return
	}
	l.isCarried = false
	if !l.isMine() {
		l.fencing = 0 // Another node holds the lease, or none does.
	}
}

// confirm sets the validity of a confirmed write, counted from when it was sent.
func (l *Lease) confirm(record Record, sent time.Time) {
	l.fencing, l.isCarried = record.Fencing, false
	if record.Released {
		l.validUntil = time.Time{}
		return
	}
	l.writtenAt = sent
	l.validUntil = sent.Add(time.Duration(float64(l.timing.Duration) * (1 - l.timing.ClockMargin)))
}
