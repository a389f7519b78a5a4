package qfcatalogue

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// FollowOptions says how often the nodes together read the newest revision, and when a
// node's knowledge counts as stale.
type FollowOptions struct {
	// MinReadInterval is the least time between two reads of one node.
	MinReadInterval time.Duration
	// ReadsPerSecond bounds the reads of all nodes together.
	ReadsPerSecond int
	// StaleAfter is the age of the last news from which on a node takes no risky
	// actions.
	StaleAfter time.Duration
}

// Follower decides when a node reads the newest revision, what it fetches from
// peers, and whether its knowledge is fresh. It does no I/O, reads no clock and
// isn't safe for concurrent use.
type Follower struct {
	current *Current
	pace    FollowOptions
	random  *rand.Rand
	// newsAt is the latest time at which the revision in force is known to have
	// been the newest. It only rises.
	newsAt time.Time
}

// NewFollower returns a follower that has had no news.
func NewFollower(current *Current, pace FollowOptions, random *rand.Rand) *Follower {
	return &Follower{current: current, pace: pace, random: random}
}

// NextRead returns when to read again. All nodes together stay within the read
// budget; the jitter spreads them, so that the first of many reads comes soon
// after an edit and peers carry it on.
func (f *Follower) NextRead(live int) time.Duration {
	every := f.pace.MinReadInterval
	if f.pace.ReadsPerSecond > 0 {
		shared := time.Duration(live) * time.Second / time.Duration(f.pace.ReadsPerSecond)
		every = max(every, shared)
	}
	return every/2 + time.Duration(f.random.Int64N(int64(every)))
}

// RecordRead takes the newest revision as the store told it to a read that began at
// the time. It reports whether the document must be fetched.
func (f *Follower) RecordRead(began time.Time, newest qf.Revision) bool {
	if newest > f.current.Revision() {
		return true
	}
	f.heard(began)
	return false
}

// RecordPeerRevision takes a peer's revision and the age of the peer's news. It reports
// whether the document must be fetched from the peer.
func (f *Follower) RecordPeerRevision(now time.Time, revision qf.Revision, age time.Duration) bool {
	if revision > f.current.Revision() {
		return true
	}
	if revision == f.current.Revision() {
		f.heard(now.Add(-age))
	}
	return false
}

func (f *Follower) heard(at time.Time) {
	if at.After(f.newsAt) {
		f.newsAt = at
	}
}

// Age returns the age of the news. A node without news is as old as can be.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(f.newsAt) }

// IsFresh reports whether risky actions may be taken.
func (f *Follower) IsFresh(now time.Time) bool { return f.Age(now) < f.pace.StaleAfter }
