package qfrollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// timedSimulation simulates one rollout: requests arrive at a constant rate, and the
// holder steps at each of them.
type timedSimulation struct {
	within    time.Duration
	perSecond int
	// oldBad and newBad are the rates of bad responses; the new version turns bad after
	// the fraction badAfter of the time.
	oldBad, newBad, badAfter float64
}

type timedResult struct {
	phase qf.RolloutPhase
	took  time.Duration
	// exposed counts the requests sent to the new version, all those of the rollout.
	exposed, all int
	// late counts the requests sent to the new version more than maxRollbackTime after
	// its bad response number rollbackAfterBad.
	late int
}

const (
	maxRollbackTime  = 5 * time.Second
	rollbackAfterBad = 50
)

func (w timedSimulation) run(seed uint64) timedResult {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_800_000_000, 0)
	input := TimedInput{
		Order: qf.RolloutOrder{Entry: "chat", To: "v2", Within: w.within, Stamp: 9}, Current: "v1", HasNew: true,
		Old: make([]VersionCounts, 1), New: make([]VersionCounts, 1),
	}
	var plan *qf.RolloutPlan
	var result timedResult
	var rollbackDueAt time.Time
	step := time.Second / time.Duration(w.perSecond)
	share := 0.0
	for at := start; at.Before(start.Add(w.within)); at = at.Add(step) {
		input.Now = at
		if next := StepTimed(plan, &input); next != nil {
			plan, share = next, next.RestShare
			result.phase, result.took = next.Phase, at.Sub(start)
		}
		result.all++
		sums, rate := &input.Old[0], w.oldBad
		if random.Float64() < share {
			result.exposed++
			sums = &input.New[0]
			if at.Sub(start).Seconds() >= w.badAfter*w.within.Seconds() {
				rate = w.newBad
			}
			if !rollbackDueAt.IsZero() && at.Sub(rollbackDueAt) > maxRollbackTime {
				result.late++
			}
		}
		sums.Judged++
		if random.Float64() < rate {
			sums.Bad++
		}
		if input.New[0].Bad >= rollbackAfterBad && rollbackDueAt.IsZero() {
			rollbackDueAt = at
		}
	}
	return result
}

// TestTimedRollout catches good versions that aren't rolled out in time, and bad ones
// that get too many requests before they are rolled back.
func TestTimedRollout(t *testing.T) {
	tests := []struct {
		name       string
		simulation timedSimulation
		want       qf.RolloutPhase
	}{
		{"good", timedSimulation{within: 12 * time.Second, perSecond: 40}, qf.RolloutDone},
		{"good, both versions fail sometimes", timedSimulation{within: 12 * time.Second, perSecond: 40, oldBad: 0.15, newBad: 0.15}, qf.RolloutDone},
		{"good, long", timedSimulation{within: time.Minute, perSecond: 20, oldBad: 0.02, newBad: 0.02}, qf.RolloutDone},
		{"bad at once", timedSimulation{within: 12 * time.Second, perSecond: 40, newBad: 0.6}, qf.RolloutRolledBack},
		{"bad later", timedSimulation{within: 12 * time.Second, perSecond: 40, newBad: 0.6, badAfter: 0.4}, qf.RolloutRolledBack},
		{"bad once it gets all requests", timedSimulation{within: 12 * time.Second, perSecond: 40, newBad: 0.6, badAfter: 0.7}, qf.RolloutRolledBack},
		{"bad in a long one", timedSimulation{within: time.Minute, perSecond: 40, oldBad: 0.05, newBad: 0.4, badAfter: 0.3}, qf.RolloutRolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const runs = 100
			wrong := 0
			for seed := range uint64(runs) {
				got := tt.simulation.run(seed)
				if got.phase != tt.want || got.took > tt.simulation.within {
					wrong++
				}
				if bound := float64(got.all)*0.1 + 50; tt.want == qf.RolloutRolledBack && (float64(got.exposed) > bound || got.late > 0) {
					t.Errorf("seed %d: %d of %d requests were exposed, %d late", seed, got.exposed, got.all, got.late)
				}
			}
			if wrong > runs/50 {
				t.Errorf("%d of %d rollouts ended otherwise than %s", wrong, runs, tt.want)
			}
		})
	}
}

// TestTimedRolloutStart catches rollouts that start from the wrong version, or start
// again after they were carried out.
func TestTimedRolloutStart(t *testing.T) {
	order := qf.RolloutOrder{Entry: "chat", To: "v2", Within: 10 * time.Second, Stamp: 9}
	tests := []struct {
		name    string
		plan    *qf.RolloutPlan
		current qf.Version
		from    qf.Version
		phase   qf.RolloutPhase
	}{
		{"first", nil, "v1", "v1", qf.RolloutRamping},
		{"after one that was done", &qf.RolloutPlan{From: "v0", To: "v1", Phase: qf.RolloutDone, Generation: 3}, "v1", "v1", qf.RolloutRamping},
		{"after one that was rolled back", &qf.RolloutPlan{From: "v1", To: "v9", Phase: qf.RolloutRolledBack, Generation: 3}, "v1", "v1", qf.RolloutRamping},
		{"to the version in use", &qf.RolloutPlan{From: "v1", To: "v2", Phase: qf.RolloutDone, Generation: 3}, "v1", "v2", qf.RolloutDone},
		{"no other version", nil, "", "", qf.RolloutDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := StepTimed(tt.plan, &TimedInput{Now: time.Unix(0, 0), Order: order, Current: tt.current})
			if got == nil || got.From != tt.from || got.Phase != tt.phase {
				t.Errorf("got %+v, want from %q, %s", got, tt.from, tt.phase)
			}
		})
	}
	if again := StepTimed(&qf.RolloutPlan{Generation: 9, Phase: qf.RolloutDone}, &TimedInput{Order: order}); again != nil {
		t.Errorf("an order that was carried out starts again: %+v", again)
	}
}
