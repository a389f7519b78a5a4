// Package qfmirror keeps what a node has read of the platform's feeds, so that the
// other nodes of its zone can read it there instead of at the platform.
package qfmirror

import (
	"context"
	"slices"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// staleAfter is how long after its last answer a feed isn't passed on any more.
	staleAfter = 6 * time.Second
	// maxRemoved bounds the removals that are remembered for each feed.
	maxRemoved = 4096
)

// Mirror remembers the rows of feeds.
type Mirror struct {
	timer qf.Clock

	mu    sync.Mutex
	feeds map[qf.FeedName]*feed
}

// feed is what was read of one feed.
type feed struct {
	rows map[string]qf.FeedRow
	// removed holds the removals since floor, in the order of their versions.
	removed []qf.FeedRow
	// floor is the version since which all changes are known.
	floor   uint64
	version uint64
	// answeredAt is when the platform last answered this node; it is zero while it
	// doesn't, or while the node reads elsewhere.
	answeredAt time.Time
	// changed is closed and replaced when the version rises.
	changed chan struct{}
}

// New returns a mirror of feeds of which nothing was read.
func New(timer qf.Clock) *Mirror {
	return &Mirror{timer: timer, feeds: map[qf.FeedName]*feed{}}
}

func (m *Mirror) feed(name qf.FeedName) *feed {
	f := m.feeds[name]
	if f == nil {
		f = &feed{rows: map[string]qf.FeedRow{}, changed: make(chan struct{})}
		m.feeds[name] = f
	}
	return f
}

// RecordRead notes whether the platform answered this node.
func (m *Mirror) RecordRead(name qf.FeedName, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	f.answeredAt = time.Time{}
	if err == nil {
		f.answeredAt = m.timer.Now()
	}
}

// ApplySnapshot remembers all rows of a feed.
func (m *Mirror) ApplySnapshot(name qf.FeedName, page *qf.FeedPage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	if page.Version < f.version {
		return
	}
	clear(f.rows)
	f.removed = nil
	f.floor = page.Version
	for _, row := range page.Rows {
		f.rows[row.Key] = row
	}
	f.advance(page.Version)
}

// ApplyChanges remembers what changed after a version.
func (m *Mirror) ApplyChanges(name qf.FeedName, after uint64, page *qf.FeedPage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	if f.floor == 0 || after > f.version {
		return // Something before is missing here.
	}
	f.apply(page.Rows)
	f.advance(page.Version)
}

// advance wakes those that wait for a change.
func (f *feed) advance(version uint64) {
	if version <= f.version {
		return
	}
	f.version = version
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) apply(rows []qf.FeedRow) {
	for _, row := range rows {
		if known, ok := f.rows[row.Key]; ok && known.Version > row.Version {
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

// errStale says that another source must be asked.
func errStale(name qf.FeedName) error {
	return qf.NewError(qf.CodeNotYetKnown, qf.StepTableRead, string(name), "nothing fresh is known of the feed here")
}

// Snapshot returns all rows of a feed for a peer.
func (m *Mirror) Snapshot(name qf.FeedName) (qf.FeedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	if !f.isFresh(m.timer.Now()) || f.floor == 0 {
		return qf.FeedPage{}, errStale(name)
	}
	page := qf.FeedPage{Version: f.version, Rows: make([]qf.FeedRow, 0, len(f.rows))}
	for _, row := range f.rows {
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

func (f *feed) isFresh(now time.Time) bool {
	return !f.answeredAt.IsZero() && now.Sub(f.answeredAt) < staleAfter
}

// WaitForChanges returns what changed after a version for a peer; it waits for a change for some
// time.
func (m *Mirror) WaitForChanges(ctx context.Context, name qf.FeedName, after uint64, wait time.Duration) (qf.FeedPage, error) {
	timeout := m.timer.After(wait)
	defer timeout.Stop()
	for {
		page, changed, err := m.since(name, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C():
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (m *Mirror) since(name qf.FeedName, after uint64) (qf.FeedPage, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.feed(name)
	if !f.isFresh(m.timer.Now()) {
		return qf.FeedPage{}, nil, errStale(name)
	}
	if f.floor == 0 || after < f.floor {
		return qf.FeedPage{}, nil, &qf.Error{Code: qf.CodeStaleRevision, Step: qf.StepTableRead, Reason: "the history isn't known here"}
	}
	page := qf.FeedPage{Version: max(f.version, after)}
	for _, row := range f.rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	for _, row := range f.removed {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b qf.FeedRow) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return page, f.changed, nil
}
