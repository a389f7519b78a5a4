package qffair

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"quetzalfront/internal/qf"
)

var (
	longLeastUrgent = [4]int{2, 0, 1, 0}
	longMostUrgent  = [4]int{0, 1, 2, 0}
	sameRank        = [4]int{3, 3, 3, 3}
)

func oneLarge() map[qf.Organisation]float64 { return map[qf.Organisation]float64{"large-1": 5} }

func threeLarge() map[qf.Organisation]float64 {
	return map[qf.Organisation]float64{"large-1": 5, "large-2": 5, "large-3": 5}
}

func fleetLoads() []fleetLoad {
	loads := []fleetLoad{
		{name: "one organisation five times its usual", ranks: longLeastUrgent, organisations: oneLarge()},
		{name: "one organisation five times its usual, one rank", ranks: sameRank, organisations: oneLarge()},
		{name: "one organisation five times its usual, long most urgent", ranks: longMostUrgent, organisations: oneLarge()},
		{name: "three organisations five times their usual", ranks: longLeastUrgent, organisations: threeLarge()},
		{name: "three organisations five times their usual, long most urgent", ranks: longMostUrgent, organisations: threeLarge()},
		{name: "burst of the least urgent", ranks: longLeastUrgent, kinds: map[string]float64{"long": 2.2}},
		{name: "burst of the most urgent", ranks: longMostUrgent, kinds: map[string]float64{"long": 2.2}},
		{name: "burst of the least urgent, a sixth lost", ranks: longLeastUrgent, kinds: map[string]float64{"long": 2.2}, lost: 1.0 / 6},
		{name: "burst of the most urgent, a sixth lost", ranks: longMostUrgent, kinds: map[string]float64{"long": 2.2}, lost: 1.0 / 6},
		{name: "three organisations and a third of the nodes cut off", ranks: longLeastUrgent, organisations: threeLarge(), isCut: true},
		{name: "three organisations and nodes restarting", ranks: longLeastUrgent, organisations: threeLarge(), isRestarting: true},
		{name: "three organisations that retry at once", ranks: longLeastUrgent, organisations: threeLarge(), retries: 4},
		{name: "weights", ranks: sameRank, organisations: threeLarge(), weights: quotaRates()},
	}
	for i := range loads {
		loads[i].usual = 1
	}
	return loads
}

// quotaRates are rates of quotas, that of the second large organisation twice as high.
func quotaRates() map[qf.Organisation]float64 {
	rates := map[qf.Organisation]float64{}
	for _, p := range parts {
		rates[p.organisation] = 1000
	}
	rates["large-2"] = 2000
	return rates
}

// fleetSeed is that of the first play, fleetPlays the number of plays of a row, whose counts are summed: in one play the small organisation
// sends too few requests for a tenth to show.
const (
	fleetSeed  = 7
	fleetPlays = 6
)

// playedWithShares holds the plays with shares by the load's name, which several tests check.
var (
	playedMu         sync.Mutex
	playedWithShares = map[string]func() *playedFleet{}
)

// playWithShares plays a load with shares, once.
func playWithShares(load *fleetLoad) *playedFleet {
	playedMu.Lock()
	play := playedWithShares[load.name]
	if play == nil {
		play = sync.OnceValue(func() *playedFleet { return playAll(load, true) })
		playedWithShares[load.name] = play
	}
	playedMu.Unlock()
	return play()
}

// playAll plays a load, and returns the last fleet with the counts of all plays.
func playAll(load *fleetLoad, hasShares bool) *playedFleet {
	var fleet *playedFleet
	for seed := range uint64(fleetPlays) {
		next := newPlayedFleet(load, hasShares, fleetSeed+seed)
		next.play()
		if fleet != nil {
			next.addCounts(fleet)
		}
		fleet = next
	}
	return fleet
}

func (f *playedFleet) addCounts(of *playedFleet) {
	for entry, work := range of.goodput {
		f.goodput[entry] += work
	}
	for organisation, counts := range of.counts {
		for k := range counts {
			c := &f.counts[organisation][k]
			c.asked, c.served = c.asked+counts[k].asked, c.served+counts[k].served
			c.requests, c.servedRequests = c.requests+counts[k].requests, c.servedRequests+counts[k].servedRequests
		}
	}
}

// TestSharesInAFleet fails if in a shortage an organisation is served more than a tenth less or more than its max-min share
// of what was served, a more urgent kind is served less often than a less urgent one, or an organisation is served nothing.
func TestSharesInAFleet(t *testing.T) {
	loads := fleetLoads()
	for i := range loads {
		load := &loads[i]
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			fleet := playWithShares(load)
			for _, entry := range slices.Sorted(maps.Keys(fleet.goodput)) {
				fleet.checkDivision(t, entry)
				fleet.checkRanks(t, entry)
			}
		})
	}
}

// TestSharesKeepGoodput fails if the endpoints do less work with shares than without.
func TestSharesKeepGoodput(t *testing.T) {
	loads := fleetLoads()
	for i := range loads {
		load := &loads[i]
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			with, without := playWithShares(load), playAll(load, false)
			for _, entry := range slices.Sorted(maps.Keys(with.goodput)) {
				if got, base := with.goodput[entry], without.goodput[entry]; got < base {
					t.Errorf("%s: %.0f units were served, without shares %.0f (%.4f)", entry, got, base, got/base)
				}
			}
		})
	}
}

// checkDivision compares what each organisation was served with the exact division.
func (f *playedFleet) checkDivision(t *testing.T, entry qf.EntryName) {
	t.Helper()
	exact, got := map[qf.Organisation]float64{}, map[qf.Organisation]float64{}
	weight := func(organisation qf.Organisation) float64 {
		if f.load.weights == nil {
			return 1
		}
		return f.load.weights[organisation]
	}
	byRank := map[int][]int{}
	for k := range kinds {
		if kinds[k].entry == entry {
			byRank[f.load.ranks[k]] = append(byRank[f.load.ranks[k]], k)
		}
	}
	for _, ofRank := range byRank {
		asked, work := map[qf.Organisation]float64{}, 0.0
		for organisation, counts := range f.counts {
			for _, k := range ofRank {
				asked[organisation] += counts[k].asked
				work += counts[k].served
				got[organisation] += counts[k].served
			}
		}
		for organisation, units := range exactDivision(work, asked, weight) {
			exact[organisation] += units
		}
	}
	for _, p := range parts {
		ratio := got[p.organisation] / exact[p.organisation]
		if math.Abs(ratio-1) > 0.1 {
			t.Errorf("%s: %s was served %.3f of its exact share, want within a tenth", entry, p.organisation, ratio)
		}
		if got[p.organisation] == 0 {
			t.Errorf("%s: %s was served nothing", entry, p.organisation)
		}
	}
}

// checkRanks compares how often the kinds of the ranks were served.
func (f *playedFleet) checkRanks(t *testing.T, entry qf.EntryName) {
	t.Helper()
	for k := range kinds {
		for other := range kinds {
			if kinds[k].entry != entry || kinds[other].entry != entry || f.load.ranks[k] >= f.load.ranks[other] {
				continue
			}
			urgent, less := f.servedShare(k), f.servedShare(other)
			if urgent < less-0.05 {
				t.Errorf("%s is served %.3f, the less urgent %s %.3f", kinds[k].name, urgent, kinds[other].name, less)
			}
		}
	}
}

func (f *playedFleet) servedShare(kind int) float64 {
	asked, got := 0.0, 0.0
	for _, counts := range f.counts {
		asked += counts[kind].requests
		got += counts[kind].servedRequests
	}
	return got / asked
}

// TestSharesChangeNothingWithoutShortage fails if shares change a choice, or draw a random number, although there is room for
// all.
func TestSharesChangeNothingWithoutShortage(t *testing.T) {
	for _, usual := range []float64{0.3, 0.8, 1} {
		t.Run(fmt.Sprint(usual), func(t *testing.T) {
			load := &fleetLoad{ranks: longLeastUrgent, usual: usual}
			with, without := newPlayedFleet(load, true, fleetSeed), newPlayedFleet(load, false, fleetSeed)
			with.play()
			without.play()
			if with.choices != without.choices {
				t.Error("the choices differ")
			}
			if drawn, fresh := with.fairRandom.Uint64(), rand.New(rand.NewPCG(fleetSeed, 2)).Uint64(); drawn != fresh {
				t.Error("a random number was drawn")
			}
		})
	}
}
