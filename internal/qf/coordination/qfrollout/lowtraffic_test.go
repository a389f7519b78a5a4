package qfrollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// routedRollout simulates a rollout with several routes. A request is counted only some time
// after it was sent.
type routedRollout struct {
	within time.Duration
	// perSecond is the rate of requests over all routes.
	perSecond float64
	routes    int
	// badRate is the new version's rate of bad responses, on badRoutes of the routes, from the
	// fraction badAfter of the time on; oldRate is that of the old version.
	badRate, badAfter, oldRate float64
	badRoutes                  int
	// countedAfter is the time until a request is counted, badCountedAfter that of a bad one.
	countedAfter, badCountedAfter time.Duration
}

// countedRequest is a request that will be counted.
type countedRequest struct {
	at           time.Time
	isNew, isBad bool
	route        int
}

// run returns the last phase, and how many of all requests the new version got.
func (w *routedRollout) run(seed uint64) (phase qf.RolloutPhase, exposed, all int) {
	random := rand.New(rand.NewPCG(seed, 28))
	start := time.Unix(1_800_000_000, 0)
	input := TimedInput{
		Order: qf.RolloutOrder{Entry: "chat", To: "v2", Within: w.within, Stamp: 9}, Current: "v1", HasNew: true,
		Old: make([]VersionCounts, w.routes+1), New: make([]VersionCounts, w.routes+1),
	}
	var plan *qf.RolloutPlan
	var waiting []countedRequest
	const step = 10 * time.Millisecond
	for at := start; at.Before(start.Add(w.within)); at = at.Add(step) {
		waiting = countDue(&input, waiting, at)
		input.Now = at
		if next := StepTimed(plan, &input); next != nil {
			plan = next
		}
		if random.Float64() >= w.perSecond*step.Seconds() {
			continue
		}
		all++
		r := countedRequest{route: 1 + random.IntN(w.routes), isNew: random.Float64() < plan.RestShare}
		rate, after := w.oldRate, w.countedAfter
		if r.isNew {
			exposed++
			if r.route <= w.badRoutes && at.Sub(start).Seconds() >= w.badAfter*w.within.Seconds() {
				rate = w.badRate
			}
		}
		if r.isBad = random.Float64() < rate; r.isBad {
			after = w.badCountedAfter
		}
		r.at = at.Add(after)
		waiting = append(waiting, r)
	}
	return plan.Phase, exposed, all
}

// countDue counts the requests that are due and returns the others.
func countDue(input *TimedInput, waiting []countedRequest, now time.Time) []countedRequest {
	kept := waiting[:0]
	for _, r := range waiting {
		if r.at.After(now) {
			kept = append(kept, r)
			continue
		}
		counts := input.Old
		if r.isNew {
			counts = input.New
		}
		for _, sums := range []*VersionCounts{&counts[0], &counts[r.route]} {
			sums.Judged++
			if r.isBad {
				sums.Bad++
			}
		}
	}
	return kept
}

// TestTimedRolloutAtLowTraffic catches rollouts without a verdict at their deadline, bad versions
// that are completed although traffic was too low to see it, and good ones that fail for that.
func TestTimedRolloutAtLowTraffic(t *testing.T) {
	const runs = 400
	const within = 15 * time.Second
	kinds := []struct {
		name    string
		rollout routedRollout
		isBad   bool
		// mostWrong is the share of wrong verdicts that is tolerated from leastRate requests a
		// second on; below, only that there is a verdict is required.
		mostWrong, leastRate float64
	}{
		{"good", routedRollout{oldRate: 0.01, badRate: 0.01, countedAfter: time.Second, badCountedAfter: time.Second}, false, 0.05, 2},
		{"slow", routedRollout{oldRate: 0.01, badRate: 0.5, countedAfter: 300 * time.Millisecond, badCountedAfter: 900 * time.Millisecond}, true, 0.05, 2},
		{"slow between events", routedRollout{oldRate: 0.01, badRate: 0.5, countedAfter: 300 * time.Millisecond, badCountedAfter: 1500 * time.Millisecond}, true, 0.05, 5},
		{"failing", routedRollout{oldRate: 0.01, badRate: 0.5, countedAfter: time.Second, badCountedAfter: 200 * time.Millisecond}, true, 0.05, 2},
		{"late", routedRollout{oldRate: 0.01, badRate: 0.5, badAfter: 0.5, countedAfter: time.Second, badCountedAfter: 200 * time.Millisecond}, true, 0.05, 5},
		{"one route", routedRollout{oldRate: 0.01, badRate: 0.5, badRoutes: 1, countedAfter: time.Second, badCountedAfter: 200 * time.Millisecond}, true, 0.05, 20},
	}
	for _, kind := range kinds {
		for _, perSecond := range []float64{0.2, 1, 2, 5, 10, 26} {
			t.Run(fmt.Sprintf("%s/%v", kind.name, perSecond), func(t *testing.T) {
				w := kind.rollout
				w.within, w.perSecond, w.routes = within, perSecond, 3
				if w.badRoutes == 0 {
					w.badRoutes = w.routes
				}
				phases := map[qf.RolloutPhase]int{}
				mostExposed := 0
				for seed := range uint64(runs) {
					phase, exposed, all := w.run(seed)
					phases[phase]++
					mostExposed = max(mostExposed, exposed)
					if bound := float64(all)*0.1 + 50; kind.isBad && phase != qf.RolloutDone && float64(exposed) > bound {
						t.Errorf("seed %d: %d of %d requests were exposed", seed, exposed, all)
					}
				}
				t.Logf("done %d, rolled back %d, none %d of %d; at most %d exposed", phases[qf.RolloutDone], phases[qf.RolloutRolledBack],
					runs-phases[qf.RolloutDone]-phases[qf.RolloutRolledBack], runs, mostExposed)
				if without := runs - phases[qf.RolloutDone] - phases[qf.RolloutRolledBack]; without > 0 {
					t.Errorf("%d of %d rollouts have no verdict at the deadline", without, runs)
				}
				wrong := phases[qf.RolloutRolledBack]
				if kind.isBad {
					wrong = phases[qf.RolloutDone]
				}
				if perSecond >= kind.leastRate && float64(wrong) > kind.mostWrong*runs {
					t.Errorf("%d of %d verdicts are wrong", wrong, runs)
				}
			})
		}
	}
}
