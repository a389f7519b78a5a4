package entry_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

const (
	// rateWindow is the window in which the arrivals at an endpoint with a stated rate are bounded:
	// rateTolerance times what the rate allows, and rateSlack more.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
	// toldAfter is how long after it was told of a rate a node is held to it.
	toldAfter = 500 * time.Millisecond
)

// statedRate is a rate that an endpoint states from a time on; an empty text ends it.
type statedRate struct {
	endpoint int
	at       time.Duration
	text     string
}

// rateDay is a day on which endpoints state rates.
type rateDay struct {
	name             string
	nodes, endpoints int
	// interval is the time between two requests; 0 stands for 15 ms.
	interval time.Duration
	length   time.Duration
	rates    []statedRate
	// allAtOneNode sends all requests to one node.
	allAtOneNode bool
	// trouble is what else happens 2 s after the first rate.
	trouble func(w *rateWorld)
	// wantUsed is the least share of the rates that must be used from contact on, wantServed the
	// least share of the requests that must be served.
	wantUsed, wantServed float64
	seed                 uint64
}

// rateWorld plays a rateDay.
type rateWorld struct {
	*testFleet
	day       rateDay
	endpoints []*standreplica.Replica
	random    *rand.Rand
}

// ratedAnswer is an answer that a caller got, with the time of its request.
type ratedAnswer struct {
	answer
	at, endedAt time.Time
}

func runRateDay(t *testing.T, day rateDay, check func(w *rateWorld, began time.Time, answers []ratedAnswer)) {
	t.Helper()
	runFleet(t, day.nodes, func(f *testFleet) {
		w := &rateWorld{testFleet: f, day: day, random: rand.New(rand.NewPCG(day.seed, 31))}
		w.store.Remove("servers", "chat-1")
		w.store.Remove("servers", "chat-2")
		for i := range day.endpoints {
			w.addEndpoint(i)
		}
		w.sleep(2 * time.Second)
		began := w.clock.Now()
		check(w, began, w.play())
	})
}

// addEndpoint starts an endpoint of the chat service.
func (w *rateWorld) addEndpoint(number int) {
	id := fmt.Sprintf("engine-%d", number)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, 1, byte(number + 1)}), 80)
	replica := standreplica.New(id, w.clock)
	replica.EventCount, replica.EventInterval = 4, 50*time.Millisecond
	w.serve(address, replica)
	w.endpoints = append(w.endpoints, replica)
	zone := []string{"north-a", "south-a"}[number%2]
	w.store.Put("servers", id, fmt.Appendf(nil,
		`{"service":"chat","address":%q,"zone":%q,"version":"v1","slots":16,"state":"ready","cold-left-ms":0,"seq":1,"born":1}`, address, zone))
}

// firstRateAt is when the first rate is stated.
func (d *rateDay) firstRateAt() time.Duration {
	return slices.MinFunc(d.rates, func(a, b statedRate) int { return int(a.at - b.at) }).at
}

// play sends requests for the length of the day while endpoints state their rates.
func (w *rateWorld) play() []ratedAnswer {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var answers []ratedAnswer
	for _, rate := range w.day.rates {
		wait.Go(func() {
			w.sleep(rate.at)
			w.endpoints[rate.endpoint].StateRate(rate.text)
		})
	}
	if w.day.trouble != nil {
		wait.Go(func() {
			w.sleep(w.day.firstRateAt() + troubleAfter)
			w.day.trouble(w)
		})
	}
	interval := max(w.day.interval, 15*time.Millisecond)
	began := w.clock.Now()
	for i := 0; w.clock.Now().Sub(began) < w.day.length; i++ {
		node := w.numbers[w.random.IntN(len(w.numbers))]
		if w.day.allAtOneNode {
			node = w.numbers[0]
		}
		wait.Go(func() {
			at := w.clock.Now()
			a := w.call(w.t.Context(), node, http.MethodPost, "/ask/1", fmt.Sprint("request ", i), "X-Token-Counts", "500,20",
				"X-Prompt-Prefix", prompt([]string{sharedPart, fmt.Sprintf("b%d", i%20)}, i))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, ratedAnswer{answer: a, at: at, endedAt: w.clock.Now()})
		})
		w.sleep(time.Duration(w.random.ExpFloat64() * float64(interval)))
	}
	wait.Wait()
	return answers
}

// rateInForce returns the highest rate that an endpoint states at any moment of a window, or
// infinity if it states none in a part of it.
func (d *rateDay) rateInForce(endpoint int, from, to time.Duration) float64 {
	highest, before := 0.0, math.Inf(1)
	for _, rate := range d.rates {
		if rate.endpoint != endpoint || rate.at > to {
			continue
		}
		value, err := strconv.ParseFloat(rate.text, 64)
		if err != nil {
			value = math.Inf(1)
		}
		if rate.at <= from {
			before = value
			continue
		}
		highest = max(highest, value)
	}
	return max(highest, before)
}

// checkRates fails if an endpoint gets more in a window than its rate allows, from contact after it
// was stated.
func (w *rateWorld) checkRates(began time.Time) {
	for number, replica := range w.endpoints {
		arrivals := replica.Arrivals()
		worst, allowedThen := 0, 0.0
		for i := range arrivals {
			from := arrivals[i].At.Sub(began)
			rate := w.day.rateInForce(number, from-contact, from+rateWindow)
			if math.IsInf(rate, 1) {
				continue
			}
			count := 0
			for _, arrival := range arrivals[i:] {
				if arrival.At.Sub(arrivals[i].At) < rateWindow {
					count++
				}
			}
			allowed := rateTolerance*rate*rateWindow.Seconds() + rateSlack
			if float64(count) > allowed {
				w.t.Errorf("endpoint %d got %d requests in %v from %v on, allowed %.1f", number, count, rateWindow, from, allowed)
				return
			}
			if count > worst {
				worst, allowedThen = count, allowed
			}
		}
		if worst > 0 {
			w.t.Logf("endpoint %d got up to %d requests in %v, allowed %.1f", number, worst, rateWindow, allowedThen)
		}
	}
}

// servedShare returns the share of the requests sent from a time on that were answered whole.
func servedShare(answers []ratedAnswer, from time.Time) (share float64, count int) {
	served := 0
	for i := range answers {
		if answers[i].at.Before(from) {
			continue
		}
		count++
		if answers[i].status == http.StatusOK && answers[i].err == nil {
			served++
		}
	}
	return float64(served) / float64(max(count, 1)), count
}

// TestStatedRateHoldsOverNodes fails if an endpoint that states the rate of requests that it takes from
// all nodes together gets more.
func TestStatedRateHoldsOverNodes(t *testing.T) {
	for seed := uint64(501); seed <= 503; seed++ {
		day := rateDay{
			name: fmt.Sprint("seed ", seed), nodes: 6, endpoints: 12, length: 16 * time.Second, seed: seed,
			rates: []statedRate{{0, 2 * time.Second, "1"}, {1, 2 * time.Second, "1.4"}, {2, 2 * time.Second, "2.5"}},
		}
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			runRateDay(t, day, func(w *rateWorld, began time.Time, answers []ratedAnswer) {
				w.checkRates(began)
				if share, count := servedShare(answers, began); share < 1 {
					t.Errorf("%.3f of %d requests were served, while nine endpoints state no rate", share, count)
				}
			})
		})
	}
}
