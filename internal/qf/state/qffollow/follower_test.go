package qffollow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

// answer is one answer of a scripted source.
type answer struct {
	page qf.FeedPage
	code qf.Code
}

// scriptedSource gives its answers in order, then no more.
type scriptedSource struct {
	answers []answer
	// calls lists the calls: the position after which changes were read, or none for a
	// snapshot.
	calls []qf.StorePosition
}

func (s *scriptedSource) next(ctx context.Context, after qf.StorePosition) (qf.FeedPage, error) {
	s.calls = append(s.calls, after)
	if len(s.answers) == 0 {
		<-ctx.Done()
		return qf.FeedPage{}, ctx.Err()
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	if a.code != "" {
		return qf.FeedPage{}, qf.NewError(a.code, qf.StepTableRead, "", "scripted")
	}
	return a.page, nil
}

// ReadSnapshot implements qf.FeedReader.
func (s *scriptedSource) ReadSnapshot(ctx context.Context, _ qf.FeedName) (qf.FeedPage, error) {
	return s.next(ctx, qf.StorePosition{})
}

// ReadChanges implements qf.FeedReader.
func (s *scriptedSource) ReadChanges(ctx context.Context, _ qf.FeedName, after qf.StorePosition, _ time.Duration) (qf.FeedPage, error) {
	return s.next(ctx, after)
}

// recorder records what a follower applies.
type recorder struct {
	snapshots, changes []qf.StorePosition
	failures           int
}

func (r *recorder) ApplySnapshot(page *qf.FeedPage, _ qf.StorePosition) {
	r.snapshots = append(r.snapshots, page.Position())
}

func (r *recorder) ApplyChanges(page *qf.FeedPage) { r.changes = append(r.changes, page.Position()) }
func (r *recorder) RecordFailure(error)            { r.failures++ }
func (*recorder) RecordSuccess()                   {}

// TestFollowerReadsAnewInALaterEra fails if a follower keeps the version of an earlier era after
// the store came back from an older copy, or applies changes of another era to its rows.
func TestFollowerReadsAnewInALaterEra(t *testing.T) {
	at := func(era qf.StoreEra, version uint64) qf.FeedPage {
		return qf.FeedPage{Era: era, Version: version, Rows: []qf.FeedRow{{Key: "a", Version: version}}}
	}
	tests := []struct {
		name      string
		answers   []answer
		snapshots []qf.StorePosition
		changes   int
		failures  int
	}{
		{
			name:      "the store no longer has the version",
			answers:   []answer{{page: at(1, 100)}, {code: qf.CodeStaleRevision}, {page: at(2, 70)}, {page: at(2, 71)}},
			snapshots: []qf.StorePosition{{Era: 1, Version: 100}, {Era: 2, Version: 70}}, changes: 1,
		},
		{
			name:      "the version was given out again",
			answers:   []answer{{page: at(1, 100)}, {page: at(2, 101)}, {page: at(2, 101)}},
			snapshots: []qf.StorePosition{{Era: 1, Version: 100}, {Era: 2, Version: 101}},
		},
		{
			name:      "two eras were missed",
			answers:   []answer{{page: at(1, 100)}, {code: qf.CodeStaleRevision}, {page: at(3, 40)}},
			snapshots: []qf.StorePosition{{Era: 1, Version: 100}, {Era: 3, Version: 40}},
		},
		{
			name:      "a peer's snapshot of the earlier era",
			answers:   []answer{{page: at(2, 70)}, {code: qf.CodeStaleRevision}, {page: at(1, 120)}, {page: at(2, 71)}},
			snapshots: []qf.StorePosition{{Era: 2, Version: 70}, {Era: 2, Version: 71}}, failures: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				source, got := &scriptedSource{answers: tt.answers}, &recorder{}
				timing := Timing{PollTimeout: time.Second, MinRetryDelay: time.Millisecond, MaxRetryDelay: time.Millisecond}
				Follow(ctx, qftimer.NewWall(), source, qf.FeedNodes, timing, got)
				if len(got.snapshots) != len(tt.snapshots) || len(got.changes) != tt.changes || got.failures != tt.failures {
					t.Fatalf("got %+v, want %+v", got, tt)
				}
				for i := range tt.snapshots {
					if got.snapshots[i] != tt.snapshots[i] {
						t.Errorf("snapshot %d is at %v, want %v", i, got.snapshots[i], tt.snapshots[i])
					}
				}
			})
		})
	}
}

// TestFollowerReadsAnew fails if a row that the source left out of its changes stays unknown for longer than
// ReadAnewAfter, if the rows are read anew more often, or if a failed read of all rows ends the following of changes.
func TestFollowerReadsAnew(t *testing.T) {
	tests := []struct {
		name string
		code qf.Code
		// snapshots is the number of snapshots that are applied in 25 minutes.
		snapshots int
	}{
		{"answered", "", 6},
		{"failed", qf.CodeUnavailable, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const interval, length = 5 * time.Minute, 26 * time.Minute
				ctx, stop := context.WithTimeout(t.Context(), length)
				defer stop()
				source := &steadySource{code: tt.code}
				applied := &recorder{}
				Follow(ctx, qftimer.NewWall(), source, "feed", Timing{PollDelay: time.Second, MinRetryDelay: time.Second, MaxRetryDelay: time.Second, ReadAnewAfter: interval}, applied)
				if len(applied.snapshots) != tt.snapshots || source.changes < int(length/time.Second)*9/10 {
					t.Errorf("%d snapshots, want %d; %d reads of changes", len(applied.snapshots), tt.snapshots, source.changes)
				}
			})
		})
	}
}

// steadySource answers each call at once. All snapshots but the first fail if it has a code.
type steadySource struct {
	code               qf.Code
	snapshots, changes int
}

// ReadSnapshot implements qf.FeedReader.
func (s *steadySource) ReadSnapshot(context.Context, qf.FeedName) (qf.FeedPage, error) {
	s.snapshots++
	if s.snapshots > 1 && s.code != "" {
		return qf.FeedPage{}, qf.NewError(s.code, qf.StepTableRead, "", "scripted")
	}
	return qf.FeedPage{Era: 1, Version: 7}, nil
}

// ReadChanges implements qf.FeedReader.
func (s *steadySource) ReadChanges(context.Context, qf.FeedName, qf.StorePosition, time.Duration) (qf.FeedPage, error) {
	s.changes++
	return qf.FeedPage{Era: 1, Version: 7}, nil
}
