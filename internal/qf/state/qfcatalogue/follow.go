package qfcatalogue

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// FollowOptions sets how often the nodes read the newest revision, and when a node's
// revision counts as stale.
type FollowOptions struct {
	// ReadInterval is the average time between two reads of one node, unless
	// ReadsPerSecond requires more.
	ReadInterval time.Duration
	// ReadsPerSecond is the read budget of all nodes together.
	ReadsPerSecond int
	// StaleAfter is the age of the last confirmation at which a node stops taking risky
	// actions.
	StaleAfter time.Duration
}

// Follower decides when a node reads the newest revision, what it fetches from
// peers, and whether its revision is fresh. It does no I/O, reads no clock and isn't
// safe for concurrent use.
type Follower struct {
	current *Current
	options FollowOptions
	random  *rand.Rand
	// confirmedAt is the latest time at which the revision in force was confirmed to be
	// the newest. It never decreases.
	confirmedAt time.Time
}

// NewFollower returns a follower whose revision was never confirmed.
func NewFollower(current *Current, options FollowOptions, random *rand.Rand) *Follower {
	return &Follower{current: current, options: options, random: random}
}

// NextRead returns the delay before the next read. All nodes together stay within the
// read budget; the jitter spreads the reads, so that some node reads a new revision soon
// after the edit and passes it on to its peers.
func (f *Follower) NextRead(live int) time.Duration {
	interval := f.options.ReadInterval
	if f.options.ReadsPerSecond > 0 {
		shared := time.Duration(live) * time.Second / time.Duration(f.options.ReadsPerSecond)
		interval = max(interval, shared)
	}
	return interval/2 + time.Duration(f.random.Int64N(int64(interval)))
}

// RecordRead records the newest revision that a read from the store returned. The
// argument start is when the read began. It reports whether the document must be
// fetched.
func (f *Follower) RecordRead(start time.Time, newest qf.Revision) bool {
	if newest > f.current.Revision() {
		return true
	}
	f.confirm(start)
	return false
}

// RecordPeerRevision records a peer's revision and the age of its last confirmation. It
// reports whether the document must be fetched from the peer.
func (f *Follower) RecordPeerRevision(now time.Time, revision qf.Revision, age time.Duration) bool {
	if revision > f.current.Revision() {
		return true
	}
	if revision == f.current.Revision() {
		f.confirm(now.Add(-age))
	}
	return false
}

func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// Age returns the time since the last confirmation. It is the longest duration if there
// was none.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(f.confirmedAt) }

// IsFresh reports whether risky actions may be taken.
func (f *Follower) IsFresh(now time.Time) bool { return f.Age(now) < f.options.StaleAfter }
