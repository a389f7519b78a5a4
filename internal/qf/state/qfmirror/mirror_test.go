package qfmirror

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

const feedName = qf.FeedEndpoints

func row(key string, version uint64) qf.FeedRow {
	return qf.FeedRow{Key: key, Version: version, Value: []byte(key)}
}

func removed(key string, version uint64) qf.FeedRow {
	return qf.FeedRow{Key: key, Version: version, Removed: true}
}

// at returns a position of the first era.
func at(version uint64) qf.StorePosition { return qf.StorePosition{Version: version} }

// TestMirror checks that a peer receives each change once and in order, and no data that
// may be stale or have gaps.
func TestMirror(t *testing.T) {
	page := func(version uint64, rows ...qf.FeedRow) *qf.FeedPage {
		return &qf.FeedPage{Rows: rows, Version: version}
	}
	fill := func(m *Mirror) {
		m.RecordRead(feedName, nil)
		m.ApplySnapshot(feedName, page(5, row("a", 3), row("b", 5)))
	}
	tests := []struct {
		name  string
		do    func(m *Mirror)
		after uint64
		want  []string
		code  qf.Code
	}{
		{"empty mirror", func(*Mirror) {}, 0, nil, qf.CodeNotYetKnown},
		{"a snapshot of an empty store", func(m *Mirror) {
			m.RecordRead(feedName, nil)
			m.ApplySnapshot(feedName, page(0))
			m.ApplyChanges(feedName, at(0), page(1, row("a", 1)))
		}, 0, []string{"a"}, ""},
		{"no change", fill, 5, nil, ""},
		{"version before the history", fill, 4, nil, qf.CodeStaleRevision},
		{"changes in order", func(m *Mirror) {
			fill(m)
			m.ApplyChanges(feedName, at(5), page(8, row("c", 6), removed("a", 7), row("b", 8)))
		}, 5, []string{"c", "a", "b"}, ""},
		{"only changes after the version", func(m *Mirror) {
			fill(m)
			m.ApplyChanges(feedName, at(5), page(8, row("c", 6), removed("a", 7), row("b", 8)))
		}, 7, []string{"b"}, ""},
		{"changes after a gap are ignored", func(m *Mirror) {
			fill(m)
			m.ApplyChanges(feedName, at(9), page(12, row("c", 11)))
		}, 5, nil, ""},
		{"the platform fails", func(m *Mirror) {
			fill(m)
			m.RecordRead(feedName, errors.New("no answer"))
		}, 5, nil, qf.CodeNotYetKnown},
		{"new snapshot", func(m *Mirror) {
			fill(m)
			m.ApplySnapshot(feedName, page(20, row("d", 20)))
		}, 8, nil, qf.CodeStaleRevision},
		{"an older snapshot is ignored", func(m *Mirror) {
			fill(m)
			m.ApplySnapshot(feedName, page(4))
		}, 5, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New(qftimer.NewWall())
				tt.do(m)
				got, err := m.WaitForChanges(t.Context(), feedName, at(tt.after), time.Second)
				if qf.CodeOf(err) != tt.code {
					t.Fatalf("got %v, want %q", err, tt.code)
				}
				if len(got.Rows) != len(tt.want) {
					t.Fatalf("got %+v, want %v", got.Rows, tt.want)
				}
				for i := range got.Rows {
					if got.Rows[i].Key != tt.want[i] {
						t.Errorf("row %d is %s, want %s", i, got.Rows[i].Key, tt.want[i])
					}
				}
			})
		})
	}
}

// TestMirrorWakesThoseThatWait checks that a change ends the wait of a peer's call at once.
func TestMirrorWakesThoseThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		m := New(clock)
		m.RecordRead(feedName, nil)
		m.ApplySnapshot(feedName, &qf.FeedPage{Version: 1})
		go func() {
			<-clock.After(300 * time.Millisecond).C()
			m.ApplyChanges(feedName, at(1), &qf.FeedPage{Version: 2, Rows: []qf.FeedRow{row("a", 2)}})
		}()
		start := clock.Now()
		got, err := m.WaitForChanges(t.Context(), feedName, at(1), time.Minute)
		if err != nil || len(got.Rows) != 1 || clock.Now().Sub(start) > time.Second {
			t.Errorf("got %+v, %v after %s", got, err, clock.Now().Sub(start))
		}
	})
}

// TestMirrorInANewEra fails if rows of an earlier era of the store are kept, taken or passed on
// after the store came back from an older copy.
func TestMirrorInANewEra(t *testing.T) {
	page := func(era qf.StoreEra, version uint64, rows ...qf.FeedRow) *qf.FeedPage {
		return &qf.FeedPage{Rows: rows, Version: version, Era: era}
	}
	tests := []struct {
		name string
		// do follows a snapshot of era 1 at version 100 and one of era 2 at version 70.
		do    func(m *Mirror)
		after qf.StorePosition
		want  []string
		code  qf.Code
	}{
		{"a reader in the earlier era", func(*Mirror) {}, qf.StorePosition{Era: 1, Version: 100}, nil, qf.CodeStaleRevision},
		{"a reader in the earlier era at a version given out again", func(*Mirror) {}, qf.StorePosition{Era: 1, Version: 70}, nil, qf.CodeStaleRevision},
		{"a reader in a later era", func(*Mirror) {}, qf.StorePosition{Era: 3, Version: 50}, nil, qf.CodeNotYetKnown},
		{"a reader in the era", func(m *Mirror) {
			m.ApplyChanges(feedName, qf.StorePosition{Era: 2, Version: 70}, page(2, 71, row("c", 71)))
		}, qf.StorePosition{Era: 2, Version: 70}, []string{"c"}, ""},
		{"an older page", func(m *Mirror) { m.ApplySnapshot(feedName, page(1, 120, row("old", 120))) }, qf.StorePosition{Era: 2, Version: 70}, nil, ""},
		{"older changes", func(m *Mirror) {
			m.ApplyChanges(feedName, qf.StorePosition{Era: 1, Version: 100}, page(1, 101, row("old", 101)))
		}, qf.StorePosition{Era: 2, Version: 70}, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New(qftimer.NewWall())
				m.RecordRead(feedName, nil)
				m.ApplySnapshot(feedName, page(1, 100, row("a", 90)))
				m.ApplySnapshot(feedName, page(2, 70, row("b", 60)))
				tt.do(m)
				got, err := m.WaitForChanges(t.Context(), feedName, tt.after, time.Second)
				if qf.CodeOf(err) != tt.code || len(got.Rows) != len(tt.want) {
					t.Fatalf("got %+v, %v; want %v, %q", got, err, tt.want, tt.code)
				}
				for i := range tt.want {
					if got.Rows[i].Key != tt.want[i] || got.Era != 2 {
						t.Errorf("row %d is %s of era %d, want %s of era 2", i, got.Rows[i].Key, got.Era, tt.want[i])
					}
				}
				whole, err := m.Snapshot(feedName)
				if err != nil || whole.Era != 2 {
					t.Errorf("the snapshot is of era %d (%v), want 2", whole.Era, err)
				}
			})
		})
	}
}

// TestMirrorEndsWaitsInANewEra fails if a peer that waits for changes isn't told at once that
// the store came back from an older copy.
func TestMirrorEndsWaitsInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		m := New(clock)
		m.RecordRead(feedName, nil)
		m.ApplySnapshot(feedName, &qf.FeedPage{Version: 100, Era: 1})
		go func() {
			<-clock.After(time.Second).C()
			m.ApplySnapshot(feedName, &qf.FeedPage{Version: 70, Era: 2})
		}()
		began := clock.Now()
		_, err := m.WaitForChanges(t.Context(), feedName, qf.StorePosition{Era: 1, Version: 100}, time.Minute)
		if took := clock.Now().Sub(began); qf.CodeOf(err) != qf.CodeStaleRevision || took != time.Second {
			t.Errorf("got %v after %v, want %s after a second", err, took, qf.CodeStaleRevision)
		}
	})
}
