// Package qfmirror keeps a copy of the platform's feeds that a node has read, so that the
// other nodes of its zone can read the feeds from this node instead of the platform.
package qfmirror

import (
	"context"
	"slices"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// defaultStaleAfter is how long after the platform's last response a feed is still served
	// to peers, if nothing else is set.
	defaultStaleAfter = 6 * time.Second
	// maxRemoved bounds the removed rows that are kept for each feed.
	maxRemoved = 4096
)

// Mirror holds copies of feeds. It is safe for concurrent use.
type Mirror struct {
	clock qf.Clock

	mu    sync.Mutex
	feeds map[qf.FeedName]*feed
	// staleAfter holds the feeds with another limit than defaultStaleAfter.
	staleAfter map[qf.FeedName]time.Duration
}

// feed is the copy of one feed.
type feed struct {
	rows map[string]qf.FeedRow
	// removed holds the rows removed since floor, in the order of their versions.
	removed []qf.FeedRow
	// hasSnapshot is set once a snapshot was applied.
	hasSnapshot bool
	// floor is the version from which on all changes are held.
	floor   uint64
	version uint64
	// era is the store's era to which all versions belong.
	era qf.StoreEra
	// answeredAt is when the platform last answered this node; it is zero after a failed
	// call, or while the node reads the feed from another source.
	answeredAt time.Time
	// staleAfter is how long after answeredAt the feed is served to peers.
	staleAfter time.Duration
	// changed is closed and replaced when the version increases.
	changed chan struct{}
}

// New returns an empty mirror.
func New(clock qf.Clock) *Mirror {
	return &Mirror{clock: clock, feeds: map[qf.FeedName]*feed{}, staleAfter: map[qf.FeedName]time.Duration{}}
}

// SetStaleAfter sets how long after the platform's last response a feed is still served to
// peers. It must be called before the feed is used.
func (m *Mirror) SetStaleAfter(name qf.FeedName, limit time.Duration) { m.staleAfter[name] = limit }

// feed returns the copy of a feed, and creates it if there is none.
func (m *Mirror) feed(name qf.FeedName) *feed {
	f := m.feeds[name]
	if f == nil {
		f = &feed{rows: map[string]qf.FeedRow{}, changed: make(chan struct{}), staleAfter: defaultStaleAfter}
		if limit, isSet := m.staleAfter[name]; isSet {
			f.staleAfter = limit
		}
		m.feeds[name] = f
	}
	return f
}

// RecordRead records whether the platform answered this node's call.
func (m *Mirror) RecordRead(name qf.FeedName, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	f.answeredAt = time.Time{}
	if err == nil {
		f.answeredAt = m.clock.Now()
	}
}

// ApplySnapshot replaces the copy of a feed, unless the copy is newer. A snapshot of a later
// era is newer, whatever its version.
func (m *Mirror) ApplySnapshot(name qf.FeedName, page *qf.FeedPage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	if page.Position().Compare(f.position()) < 0 {
		return
	}
	clear(f.rows)
	f.removed = nil
	f.hasSnapshot, f.floor = true, page.Version
	for _, row := range page.Rows {
		f.rows[row.Key] = row
	}
	f.advance(page.Position())
}

// ApplyChanges applies the changes after a position. They are ignored if changes before
// them are missing here, or if they are from another era.
func (m *Mirror) ApplyChanges(name qf.FeedName, after qf.StorePosition, page *qf.FeedPage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	if !f.hasSnapshot || page.Era != f.era || after.Compare(f.position()) > 0 {
		return
	}
	f.apply(page.Rows)
	f.advance(page.Position())
}

// position returns the position of the copy.
func (f *feed) position() qf.StorePosition { return qf.StorePosition{Era: f.era, Version: f.version} }

// advance sets the position and wakes the goroutines that wait for a change.
func (f *feed) advance(to qf.StorePosition) {
	if to.Compare(f.position()) <= 0 {
		return
	}
	f.era, f.version = to.Era, to.Version
	close(f.changed)
	f.changed = make(chan struct{})
}

// apply applies changed rows, unless a newer version of the row is present.
func (f *feed) apply(rows []qf.FeedRow) {
	for _, row := range rows {
		if present, ok := f.rows[row.Key]; ok && present.Version > row.Version {
			continue
		}
		if !row.Removed {
			f.rows[row.Key] = row
			continue
		}
		delete(f.rows, row.Key)
		f.removed = append(f.removed, row)
	}
	if extra := len(f.removed) - maxRemoved; extra > 0 {
		f.floor = f.removed[extra-1].Version
		f.removed = slices.Delete(f.removed, 0, extra)
	}
}

// staleError makes the peer try another source.
func staleError(name qf.FeedName) error {
	return qf.NewError(qf.CodeNotYetKnown, qf.StepTableRead, string(name), "this node has no recent copy of the feed")
}

// Snapshot returns all rows of a feed, for a peer.
func (m *Mirror) Snapshot(name qf.FeedName) (qf.FeedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	if !f.isFresh(m.clock.Now()) || !f.hasSnapshot {
		return qf.FeedPage{}, staleError(name)
	}
	page := qf.FeedPage{Version: f.version, Era: f.era, Rows: make([]qf.FeedRow, 0, len(f.rows))}
	for _, row := range f.rows {
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

// isFresh reports whether the feed may be served to peers.
func (f *feed) isFresh(now time.Time) bool {
	return !f.answeredAt.IsZero() && now.Sub(f.answeredAt) < f.staleAfter
}

// WaitForChanges returns the changes after a position, for a peer. If there are none yet, it
// waits for one until the wait has passed, or the copy is too old: a node that no longer gets
// the platform's answers must not let its peers believe that nothing changes.
func (m *Mirror) WaitForChanges(ctx context.Context, name qf.FeedName, after qf.StorePosition, wait time.Duration) (qf.FeedPage, error) {
	timeout := m.clock.After(wait)
	defer timeout.Stop()
	for {
		page, changed, freshFor, err := m.changesSince(name, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		stale := m.clock.After(freshFor)
		select {
		case <-changed:
			stale.Stop()
		case <-stale.C():
		case <-timeout.C():
			stale.Stop()
			return page, nil
		case <-ctx.Done():
			stale.Stop()
			return page, ctx.Err()
		}
	}
}

// ChangesSince returns the changes after a position, for a peer, without waiting.
func (m *Mirror) ChangesSince(name qf.FeedName, after qf.StorePosition) (qf.FeedPage, error) {
	page, _, _, err := m.changesSince(name, after)
	return page, err
}

// changesSince returns the changes after a position, a channel that is closed at the next
// change, and how long the copy may still be served.
func (m *Mirror) changesSince(name qf.FeedName, after qf.StorePosition) (page qf.FeedPage, changed <-chan struct{}, freshFor time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	now := m.clock.Now()
	if !f.isFresh(now) || after.Era > f.era {
		return page, nil, 0, staleError(name)
	}
	if !f.hasSnapshot || after.Era < f.era || after.Version < f.floor {
		return page, nil, 0, &qf.Error{Code: qf.CodeStaleRevision, Step: qf.StepTableRead, Reason: "this node lacks the history from that version on"}
	}
	page = qf.FeedPage{Version: max(f.version, after.Version), Era: f.era}
	for _, row := range f.rows {
		if row.Version > after.Version {
			page.Rows = append(page.Rows, row)
		}
	}
	for _, row := range f.removed {
		if row.Version > after.Version {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b qf.FeedRow) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	page.Fold()
	return page, f.changed, f.answeredAt.Add(f.staleAfter).Sub(now), nil
}
