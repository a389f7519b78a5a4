package qfrollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// timedWorld plays one rollout: requests arrive evenly and are judged a while later, and
// the holder steps three times a second.
type timedWorld struct {
	within    time.Duration
	perSecond int
	// oldBad and newBad are the rates of bad answers; the new version turns bad after a
	// part of the time.
	oldBad, newBad, badAfter float64
}

type timedResult struct {
	phase qf.RolloutPhase
	took  time.Duration
	// exposed counts the requests that the new version got, all those of the rollout.
	exposed, all int
	// late counts the requests that the new version got later than lateAfter after its
	// 50th bad answer.
	late int
}

const (
	rollbackBound = 5 * time.Second
	boundBad      = 50
)

func (w timedWorld) play(seed uint64) timedResult {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_800_000_000, 0)
	facts := TimedInput{
		Order: qf.RolloutOrder{Entry: "chat", To: "v2", Within: w.within, Stamp: 9}, Current: "v1", HasNew: true,
		Old: make([]VersionCounts, 1), New: make([]VersionCounts, 1),
	}
	var plan *qf.RolloutPlan
	var result timedResult
	var boundAt time.Time
	step := time.Second / time.Duration(w.perSecond)
	share := 0.0
	for at := start; at.Before(start.Add(w.within)); at = at.Add(step) {
		facts.Now = at
		if next := StepTimed(plan, &facts); next != nil {
			plan, share = next, next.RestShare
			result.phase, result.took = next.Phase, at.Sub(start)
		}
		result.all++
		sums, rate := &facts.Old[0], w.oldBad
		if random.Float64() < share {
			result.exposed++
			sums = &facts.New[0]
			if at.Sub(start).Seconds() >= w.badAfter*w.within.Seconds() {
				rate = w.newBad
			}
			if !boundAt.IsZero() && at.Sub(boundAt) > rollbackBound {
				result.late++
			}
		}
		sums.Judged++
		if random.Float64() < rate {
			sums.Bad++
		}
		if facts.New[0].Bad >= boundBad && boundAt.IsZero() {
			boundAt = at
		}
	}
	return result
}

// TestTimedRollout guards that good versions are done in time, and that bad ones are
// taken back with a small part of the requests.
func TestTimedRollout(t *testing.T) {
	tests := []struct {
		name  string
		world timedWorld
		want  qf.RolloutPhase
	}{
		{"good", timedWorld{within: 12 * time.Second, perSecond: 40}, qf.RolloutDone},
		{"good, both fail at times", timedWorld{within: 12 * time.Second, perSecond: 40, oldBad: 0.15, newBad: 0.15}, qf.RolloutDone},
		{"good, long", timedWorld{within: time.Minute, perSecond: 20, oldBad: 0.02, newBad: 0.02}, qf.RolloutDone},
		{"bad at once", timedWorld{within: 12 * time.Second, perSecond: 40, newBad: 0.6}, qf.RolloutRolledBack},
		{"bad later", timedWorld{within: 12 * time.Second, perSecond: 40, newBad: 0.6, badAfter: 0.4}, qf.RolloutRolledBack},
		{"bad once all requests come", timedWorld{within: 12 * time.Second, perSecond: 40, newBad: 0.6, badAfter: 0.7}, qf.RolloutRolledBack},
		{"bad in a long one", timedWorld{within: time.Minute, perSecond: 40, oldBad: 0.05, newBad: 0.4, badAfter: 0.3}, qf.RolloutRolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const runs = 100
			wrong := 0
			for seed := range uint64(runs) {
				got := tt.world.play(seed)
				if got.phase != tt.want || got.took > tt.world.within {
					wrong++
				}
				if bound := float64(got.all)*0.1 + 50; tt.want == qf.RolloutRolledBack && (float64(got.exposed) > bound || got.late > 0) {
					t.Errorf("seed %d: %d of %d requests were exposed, %d late", seed, got.exposed, got.all, got.late)
				}
			}
			if wrong > runs/50 {
				t.Errorf("%d of %d ended otherwise than %s", wrong, runs, tt.want)
			}
		})
	}
}

// TestTimedRolloutBegins guards where a rollout starts from.
func TestTimedRolloutBegins(t *testing.T) {
	order := qf.RolloutOrder{Entry: "chat", To: "v2", Within: 10 * time.Second, Stamp: 9}
	tests := []struct {
		name  string
		plan  *qf.RolloutPlan
		usual qf.Version
		from  qf.Version
		phase qf.RolloutPhase
	}{
		{"first", nil, "v1", "v1", qf.RolloutRamping},
		{"after one that was done", &qf.RolloutPlan{From: "v0", To: "v1", Phase: qf.RolloutDone, Generation: 3}, "v1", "v1", qf.RolloutRamping},
		{"after one that was taken back", &qf.RolloutPlan{From: "v1", To: "v9", Phase: qf.RolloutRolledBack, Generation: 3}, "v1", "v1", qf.RolloutRamping},
		{"to the version in use", &qf.RolloutPlan{From: "v1", To: "v2", Phase: qf.RolloutDone, Generation: 3}, "v1", "v2", qf.RolloutDone},
		{"no other version", nil, "", "", qf.RolloutDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := StepTimed(tt.plan, &TimedInput{Now: time.Unix(0, 0), Order: order, Current: tt.usual})
			if got == nil || got.From != tt.from || got.Phase != tt.phase {
				t.Errorf("got %+v, want from %q, %s", got, tt.from, tt.phase)
			}
		})
	}
	if again := StepTimed(&qf.RolloutPlan{Generation: 9, Phase: qf.RolloutDone}, &TimedInput{Order: order}); again != nil {
		t.Errorf("an order that was carried out begins again: %+v", again)
	}
}
