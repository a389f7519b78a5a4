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
		{"no change", fill, 5, nil, ""},
		{"version before the history", fill, 4, nil, qf.CodeStaleRevision},
		{"changes in order", func(m *Mirror) {
			fill(m)
			m.ApplyChanges(feedName, 5, page(8, row("c", 6), removed("a", 7), row("b", 8)))
		}, 5, []string{"c", "a", "b"}, ""},
		{"only changes after the version", func(m *Mirror) {
			fill(m)
			m.ApplyChanges(feedName, 5, page(8, row("c", 6), removed("a", 7), row("b", 8)))
		}, 7, []string{"b"}, ""},
		{"changes after a gap are ignored", func(m *Mirror) {
			fill(m)
			m.ApplyChanges(feedName, 9, page(12, row("c", 11)))
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
				got, err := m.WaitForChanges(t.Context(), feedName, tt.after, time.Second)
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
			m.ApplyChanges(feedName, 1, &qf.FeedPage{Version: 2, Rows: []qf.FeedRow{row("a", 2)}})
		}()
		start := clock.Now()
		got, err := m.WaitForChanges(t.Context(), feedName, 1, time.Minute)
		if err != nil || len(got.Rows) != 1 || clock.Now().Sub(start) > time.Second {
			t.Errorf("got %+v, %v after %s", got, err, clock.Now().Sub(start))
		}
	})
}
