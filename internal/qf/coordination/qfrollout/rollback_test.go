package qfrollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// TestNodesRollBackBadVersionsOnly plays nodes without the lease that each know the counts of all nodes with a delay of
// their own, other for each version. It fails if a bad version isn't rolled back by them soon, or a good one is, in
// more than one of 100 rollouts beyond those that the holder of the lease rolls back.
func TestNodesRollBackBadVersionsOnly(t *testing.T) {
	const (
		nodes, runs = 6, 200
		length      = 10 * time.Second
		interval    = 200 * time.Millisecond
		perSecond   = 40
	)
	tests := []struct {
		name           string
		share          float64
		oldBad, newBad float64
		wantRolledBack bool
	}{
		{"good", 0.06, 0, 0, false},
		{"good, all requests", 1, 0, 0, false},
		{"good, both fail sometimes", 0.06, 0.15, 0.15, false},
		{"good, half of the requests", 0.5, 0.05, 0.05, false},
		{"bad, all requests", 1, 0.02, 0.5, true},
		{"bad", 0.06, 0, 0.6, true},
	}
	plan := &qf.RolloutPlan{Entry: "chat", From: "v1", To: "v2", Generation: 9, Step: 3, Phase: qf.RolloutWatching, RestShare: 1}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rolledBack, byHolder := 0, 0
			for seed := range uint64(runs) {
				random := rand.New(rand.NewPCG(seed, 5))
				history := []TimedInput{{Old: make([]VersionCounts, 1), New: make([]VersionCounts, 1)}}
				history[0].Old[0] = VersionCounts{Judged: 100, Bad: uint64(100 * tt.oldBad)}
				wasBad := [nodes]bool{}
				isRolledBack, isByHolder := false, false
				for at := interval; at < length; at += interval {
					last := history[len(history)-1]
					next := TimedInput{Old: []VersionCounts{last.Old[0]}, New: []VersionCounts{last.New[0]}}
					for range int(perSecond * interval.Seconds()) {
						counts, rate := &next.Old[0], tt.oldBad
						if random.Float64() < tt.share {
							counts, rate = &next.New[0], tt.newBad
						}
						counts.Judged++
						if random.Float64() < rate {
							counts.Bad++
						}
					}
					history = append(history, next)
					isByHolder = isByHolder || RollBackTimed(plan, &next) != nil
					for n := range nodes {
						known := func() *TimedInput { return &history[max(len(history)-1-random.IntN(4), 0)] }
						input := &TimedInput{Old: known().Old, New: known().New}
						isBad := RollBackTimed(plan, input) != nil
						isRolledBack = isRolledBack || isBad && wasBad[n]
						wasBad[n] = isBad
					}
				}
				if isRolledBack {
					rolledBack++
				}
				if isByHolder {
					byHolder++
				}
			}
			if tt.wantRolledBack && rolledBack < runs*95/100 || !tt.wantRolledBack && rolledBack > byHolder+runs/100 {
				t.Errorf("%d of %d versions were rolled back", rolledBack, runs)
			}
			t.Logf("%d of %d versions were rolled back, %d by a holder that knows all at once", rolledBack, runs, byHolder)
		})
	}
}

// TestPlanOrder fails if the end of a rollout gives way to a plan that leads there, which another node makes at the same
// time, or if the ends don't have one order.
func TestPlanOrder(t *testing.T) {
	plan := func(generation, step uint64, phase qf.RolloutPhase) qf.RolloutPlan {
		return qf.RolloutPlan{Generation: generation, Step: step, Phase: phase}
	}
	tests := []struct {
		name         string
		newer, older qf.RolloutPlan
	}{
		{"a later rollout", plan(10, 1, qf.RolloutRamping), plan(9, 8, qf.RolloutDone)},
		{"a later step", plan(9, 3, qf.RolloutRamping), plan(9, 2, qf.RolloutRamping)},
		{"rolled back at the same step", plan(9, 3, qf.RolloutRolledBack), plan(9, 3, qf.RolloutWatching)},
		{"rolled back at an earlier step", plan(9, 3, qf.RolloutRolledBack), plan(9, 5, qf.RolloutWatching)},
		{"done and rolled back", plan(9, 3, qf.RolloutDone), plan(9, 4, qf.RolloutRolledBack)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !ReplacesTimed(&tt.newer, &tt.older) || ReplacesTimed(&tt.older, &tt.newer) {
				t.Errorf("%+v doesn't replace %+v alone", tt.newer, tt.older)
			}
			if ReplacesTimed(&tt.newer, &tt.newer) {
				t.Errorf("%+v replaces itself", tt.newer)
			}
		})
	}
}
