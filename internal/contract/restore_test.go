package contract

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standfault"
	"quetzalfront/internal/standin/standrows"
	"quetzalfront/internal/standin/standtable"
	"quetzalfront/platform"
)

// restoredStore is a store that can come back from an older copy, with two of its clients.
type restoredStore struct {
	stand  *standrows.Store
	a, b   *platform.Store
	wasAt  qf.StorePosition
	wasRow qf.Row
}

const restoreKey = "lease/all"

// commitAt writes the row if it is as a client read it.
func commitAt(ctx context.Context, client *platform.Store, row qf.Row, value string) qf.Result[qf.Committed] {
	return client.Commit(ctx, qf.Transaction{
		ID: qf.TransactionID(value), Conditions: []qf.Condition{{Key: restoreKey, Version: row.Version, Era: row.Era}},
		Writes: []qf.Write{{Key: restoreKey, Value: []byte(value)}},
	})
}

// TestRestoredStore checks the client and the stand-in after the store came back from an older
// copy: nothing that was read before may decide what is written, or be taken for the present.
func TestRestoredStore(t *testing.T) {
	tests := []struct {
		name string
		// check runs after a row was written twice and the second write is lost.
		check func(t *testing.T, s *restoredStore)
	}{
		{"a lost version is gone", func(t *testing.T, s *restoredStore) {
			_, err := s.a.ReadChanges(t.Context(), qf.FeedNodes, s.wasAt, 0)
			if qf.CodeOf(err) != qf.CodeStaleRevision {
				t.Errorf("got %v, want %s", err, qf.CodeStaleRevision)
			}
		}},
		{"a version that was given out again is gone", func(t *testing.T, s *restoredStore) {
			for i := range 9 {
				s.stand.Put("op", fmt.Sprint(i), nil)
			}
			_, err := s.a.ReadChanges(t.Context(), qf.FeedNodes, s.wasAt, 0)
			if qf.CodeOf(err) != qf.CodeStaleRevision {
				t.Errorf("got %v, want %s", err, qf.CodeStaleRevision)
			}
		}},
		{"a row is read as it was", func(t *testing.T, s *restoredStore) {
			row, err := s.a.Read(t.Context(), restoreKey)
			if err != nil || string(row.Value) != "first" || row.Era != 2 {
				t.Errorf("read %+v, %v; want the first write in era 2", row, err)
			}
		}},
		{"a condition of the earlier era fails", func(t *testing.T, s *restoredStore) {
			s.b.ObserveEra(2)
			if result := commitAt(t.Context(), s.b, s.wasRow, "late"); result.Certainty != qf.NotDone {
				t.Errorf("the write is %s, want %s", result.Certainty, qf.NotDone)
			}
		}},
		{"a condition met by chance isn't taken as done", func(t *testing.T, s *restoredStore) {
			row, err := s.a.Read(t.Context(), restoreKey)
			if err != nil {
				t.Fatal(err)
			}
			// The second client's write gets the version that the lost one had.
			if result := commitAt(t.Context(), s.a, row, "other"); result.Certainty != qf.Done {
				t.Fatalf("the write is %s: %v", result.Certainty, result.Err)
			}
			if result := commitAt(t.Context(), s.b, s.wasRow, "late"); result.Certainty == qf.Done {
				t.Error("a write whose condition was read in the earlier era counts as done")
			}
		}},
		{"a restore between two reads", func(t *testing.T, s *restoredStore) {
			row, _ := s.a.Read(t.Context(), restoreKey)
			s.stand.Restore(0)
			if result := commitAt(t.Context(), s.a, row, "late"); result.Certainty == qf.Done {
				t.Error("a write whose condition was read in the earlier era counts as done")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.check(t, newRestoredStore(t))
			})
		})
	}
}

// newRestoredStore writes a row twice and restores the store to the time between.
func newRestoredStore(t *testing.T) *restoredStore {
	t.Helper()
	clock := qftimer.NewWall()
	s := &restoredStore{stand: standrows.New(clock, standtable.ReadsPerSecond, standtable.WritesPerSecond)}
	s.a = platform.NewStore(serverAddress, callTimeout, serve(t, s.stand.Handler()))
	s.b = platform.NewStore(serverAddress, callTimeout, serve(t, s.stand.Handler()))
	if result := commitAt(t.Context(), s.a, qf.Row{}, "first"); result.Certainty != qf.Done {
		t.Fatal(result.Err)
	}
	<-clock.After(2 * time.Second).C()
	row, err := s.b.Read(t.Context(), restoreKey)
	if err != nil {
		t.Fatal(err)
	}
	if result := commitAt(t.Context(), s.b, row, "second"); result.Certainty != qf.Done {
		t.Fatal(result.Err)
	}
	if s.wasRow, err = s.b.Read(t.Context(), restoreKey); err != nil {
		t.Fatal(err)
	}
	page, err := s.a.ReadSnapshot(t.Context(), qf.FeedNodes)
	if err != nil {
		t.Fatal(err)
	}
	s.wasAt = page.Position()
	s.stand.Restore(time.Second)
	return s
}

// TestRestoreEndsOpenPolls fails if a call for changes that was open across a restore goes on
// until its time is over, also if only a peer has seen the new era.
func TestRestoreEndsOpenPolls(t *testing.T) {
	const wait, seenAfter = 3 * time.Second, 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		clock := qftimer.NewWall()
		stand := standrows.New(clock, standtable.ReadsPerSecond, standtable.WritesPerSecond)
		client := platform.NewStore(serverAddress, wait, serve(t, stand.Handler()))
		page, err := client.ReadSnapshot(t.Context(), qf.FeedNodes)
		if err != nil {
			t.Fatal(err)
		}
		stand.SetFaults(standfault.Faults{Delay: 2 * wait}) // The open call gets no answer in time.
		go func() {
			<-clock.After(seenAfter).C()
			client.ObserveEra(page.Era + 1)
		}()
		began := clock.Now()
		_, err = client.ReadChanges(t.Context(), qf.FeedNodes, page.Position(), wait)
		if took := clock.Now().Sub(began); qf.CodeOf(err) != qf.CodeStaleRevision || took > seenAfter {
			t.Errorf("the call ended after %v with %v", took, err)
		}
	})
}
