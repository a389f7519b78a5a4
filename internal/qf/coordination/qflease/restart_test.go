package qflease

import (
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var restartTiming = Timing{Duration: 3 * time.Second, RenewEvery: time.Second, RankDelay: 100 * time.Millisecond, ClockMargin: 0.02}

// TestRestartFreesLease checks that a lease is free at once after its holder restarted, and
// that a restart of another node or an older incarnation doesn't free it.
func TestRestartFreesLease(t *testing.T) {
	held := Record{Holder: "a", Incarnation: 5, Fencing: 7}
	tests := []struct {
		name   string
		holder qf.NodeID
		later  qf.Incarnation
		isFree bool
	}{
		{"a later incarnation of the holder", "a", 6, true},
		{"the same incarnation", "a", 5, false},
		{"an earlier incarnation", "a", 4, false},
		{"another node", "b", 6, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			l := New("c", 1, restartTiming, rand.New(rand.NewPCG(1, 2)))
			l.SetRank(0)
			if l.NextAction(now).Kind != ActionRead {
				t.Fatal("the row isn't read first")
			}
			l.RecordRead(now, 3, held, "x")
			l.RecordHolderRestart(tt.holder, tt.later)
			now = now.Add(restartTiming.RankDelay + time.Millisecond)
			action := l.NextAction(now)
			if got := action.Kind == ActionWrite; got != tt.isFree {
				t.Errorf("the lease is taken: %v, want %v", got, tt.isFree)
			}
			if tt.isFree && action.Record.Fencing != held.Fencing+1 {
				t.Errorf("got fencing number %d, want %d", action.Record.Fencing, held.Fencing+1)
			}
		})
	}
}

// TestExpiredLeaseStaysClaimed checks that an expired lease stays claimed until another
// holder is seen.
func TestExpiredLeaseStaysClaimed(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := New("a", 1, restartTiming, rand.New(rand.NewPCG(1, 2)))
	l.SetRank(0)
	l.NextAction(now)
	l.RecordRead(now, 0, Record{}, "")
	now = now.Add(restartTiming.RankDelay + time.Millisecond)
	action := l.NextAction(now)
	l.RecordWrite(now, action, qf.Done, false)
	now = now.Add(time.Minute)
	if _, isHeld := l.Held(now); isHeld {
		t.Error("an expired lease is held")
	}
	if fencing, isClaimed := l.Claimed(); !isClaimed || fencing != 1 {
		t.Errorf("claimed: %v under %d, want true under 1", isClaimed, fencing)
	}
	l.NextAction(now)
	l.RecordWrite(now, action, qf.NotDone, true)
	l.NextAction(now)
	l.RecordRead(now, 9, Record{Holder: "b", Incarnation: 1, Fencing: 2}, "y")
	if _, isClaimed := l.Claimed(); isClaimed {
		t.Error("a lease that another node holds is claimed")
	}
}
