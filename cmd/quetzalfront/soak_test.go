package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"quetzalfront/internal/standin/standfault"
	"quetzalfront/internal/standin/standproxy"
	"quetzalfront/internal/standin/standreplica"
)

var (
	soakSeeds = flag.Int("soak-seeds", 1, "how many seeds the soak plays besides the kept ones")
	soakFirst = flag.Uint64("soak-first", 1, "the first seed of the soak")
	soakNodes = flag.Int("soak-nodes", 3, "how many processes of nodes each seed runs")
)

// keptSeeds are those that failed once, each with its cause.
var keptSeeds = []struct {
	seed  uint64
	cause string
}{}

const (
	plannedFor = 8 * time.Second
	chaosFor   = 10 * time.Second
	healFor    = 9 * time.Second
	// drainBound is how soon a leaving endpoint gets no new work.
	drainBound = 3 * time.Second
	// calmFor is how long faults must be over for the promises of planned work.
	calmFor = 4 * time.Second
	// settledFor is how long before the faults a request must have been sent so that none
	// of them can touch it.
	settledFor  = 3 * time.Second
	soakClients = 6
	// mostSoakNodes keeps one seed's processes well below half of a small machine's memory.
	mostSoakNodes = 150
)

// TestSoak plays real processes under faults from outside. Three parts follow each other:
// planned work only, faults of all kinds, and the time after them. What callers and
// endpoints saw is checked against the promises.
func TestSoak(t *testing.T) {
	if *soakNodes < 1 || *soakNodes > mostSoakNodes {
		t.Fatalf("soak-nodes is %d, want 1 to %d", *soakNodes, mostSoakNodes)
	}
	for _, kept := range keptSeeds {
		t.Run(fmt.Sprintf("kept-%d", kept.seed), func(t *testing.T) { soak(t, kept.seed) })
	}
	for i := range uint64(*soakSeeds) {
		seed := *soakFirst + i
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

func soak(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	w := newSoakWorld(t, byte(10+seed%200))
	defer w.close()
	w.sleep(2 * time.Second)
	stop := make(chan struct{})
	for i := range soakClients {
		own := rand.New(rand.NewPCG(seed, uint64(100+i)))
		w.clients.Go(func() { w.client(own, fmt.Sprintf("s%d-c%d", seed, i), stop) })
	}
	w.play(random, plannedFor, w.planned)
	chaosAt := w.timer.Now()
	w.setTrouble(chaosAt.Add(time.Hour)) // Until the faults are over.
	w.play(random, chaosFor, w.chaos)
	w.heal()
	healedAt := w.timer.Now().Add(healFor)
	w.setTrouble(w.timer.Now())
	w.sleep(healFor + 3*time.Second)
	close(stop)
	w.clients.Wait()
	w.check(chaosAt, healedAt)
	if t.Failed() {
		t.Logf("seed %d", seed)
		w.showLogs()
	}
}

// client sends requests over its own connections until the soak ends. It goes on using
// them until they fail.
func (w *soakWorld) client(random *rand.Rand, name string, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-w.timer.After(time.Duration(10+random.IntN(40)) * time.Millisecond).C():
			w.send(client, random, name)
		}
	}
}

// play calls a step at random times, steps overlapping those before.
func (w *soakWorld) play(random *rand.Rand, d time.Duration, step func(random *rand.Rand)) {
	for end := w.timer.Now().Add(d); w.timer.Now().Before(end); {
		step(random)
		w.sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
	}
}

// planned does what operators do: stops, reloads, changes, endpoints that leave.
func (w *soakWorld) planned(random *rand.Rand) {
	n := w.nodes[random.IntN(len(w.nodes))]
	switch random.IntN(4) {
	case 0:
		w.end(n, syscall.SIGTERM)
		w.start(n)
		w.sleep(time.Second)
	case 1:
		_ = n.command.Process.Signal(syscall.SIGHUP)
	case 2:
		w.configure()
	default:
		w.drain(w.replicas[random.IntN(len(w.replicas))])
	}
}

// drain lets an endpoint leave and come back later, if it isn't leaving.
func (w *soakWorld) drain(r *soakReplica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.replicas {
		if other.entry == r.entry && !other.leftAt.IsZero() {
			return
		}
	}
	r.leftAt = w.timer.Now()
	w.list(r, "draining")
	w.clients.Go(func() {
		w.sleep(drainBound)
		before := len(r.Runs())
		w.sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if after := len(r.Runs()); after != before && w.timer.Now().Sub(w.troubledAt) > calmFor {
			w.t.Errorf("%s got %d requests later than %s after it had said that it leaves", r.ID, after-before, drainBound)
		}
		r.leftAt = time.Time{}
		w.list(r, "ready")
	})
}

// chaos does harm from outside.
func (w *soakWorld) chaos(random *rand.Rand) {
	n := w.nodes[random.IntN(len(w.nodes))]
	modes := []standproxy.Mode{standproxy.Delay, standproxy.Reset, standproxy.DropToTarget, standproxy.DropFromTarget, standproxy.DropBoth, standproxy.Pass}
	behaviours := []standreplica.Behaviour{
		standreplica.Fails, standreplica.Sheds, standreplica.Busy, standreplica.Truncates, standreplica.Resets, standreplica.Repeats, standreplica.CloseDelimited,
	}
	switch random.IntN(9) {
	case 0:
		w.end(n, os.Kill)
		w.start(n)
	case 7:
		w.killMany(random)
	case 1:
		_ = n.command.Process.Signal(syscall.SIGSTOP)
		w.sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
		_ = n.command.Process.Signal(syscall.SIGCONT)
	case 2:
		faults := []standfault.Faults{
			{Down: true}, {Delay: 400 * time.Millisecond}, {LoseAnswers: 5}, {ApplyLate: 3, LateBy: 2 * time.Second}, {},
		}
		w.store.SetFaults(faults[random.IntN(len(faults))])
	case 3:
		w.store.DropHistory()
	case 4, 5:
		w.proxies[random.IntN(len(w.proxies))].SetMode(modes[random.IntN(len(modes))])
	case 6:
		var next []standreplica.Behaviour
		for range 1 + random.IntN(20) {
			next = append(next, behaviours[random.IntN(len(behaviours))])
		}
		w.replicas[random.IntN(len(w.replicas))].SetNextBehaviours(next...)
	default:
		w.planned(random)
	}
}

// killMany kills each node by a chance that is drawn first, and starts it again.
func (w *soakWorld) killMany(random *rand.Rand) {
	share := random.Float64()
	var killed []*soakNode
	for _, n := range w.nodes {
		if random.Float64() < share {
			killed = append(killed, n)
			_ = n.command.Process.Kill() // It may have ended.
		}
	}
	w.sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	for _, n := range killed {
		w.end(n, os.Kill)
		w.start(n)
	}
}

func (w *soakWorld) setTrouble(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.troubledAt = at
}

func (w *soakWorld) heal() {
	w.store.SetFaults(standfault.Faults{})
	for _, p := range w.proxies {
		p.SetMode(standproxy.Pass)
	}
	for _, r := range w.replicas {
		r.SetNextBehaviours()
	}
}

// check holds what was seen against the promises.
func (w *soakWorld) check(chaosAt, healedAt time.Time) {
	runs := map[string]int{}
	for _, r := range w.replicas {
		for _, run := range r.Runs() {
			runs[run.ID]++
		}
	}
	late, lateServed := 0, 0
	for i := range w.results {
		r := &w.results[i]
		if broken := r.violation(runs[r.id], r.sentAt.Before(chaosAt.Add(-settledFor))); broken != "" {
			w.t.Errorf("%s %s at node %d %s", r.id, r.path, r.node, broken)
		}
		if r.sentAt.After(healedAt) {
			late++
			if r.status == http.StatusOK && r.err == nil || r.status == http.StatusNotFound {
				lateServed++
			}
		}
	}
	if late == 0 || lateServed*10 < late*9 {
		w.t.Errorf("%d of %d requests were served after the faults", lateServed, late)
	}
	w.t.Logf("%d requests, %d after the faults", len(w.results), late)
}

// violation says which promise was broken to a caller, or nothing. Planned requests were
// sent while only planned work was done.
func (r *soakResult) violation(runs int, isPlanned bool) string {
	isWhole := r.err == nil && r.status == http.StatusOK
	isOnceOnly := strings.HasPrefix(r.path, "/file/") || strings.HasPrefix(r.path, "/talk/")
	isRefusal := r.err == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable)
	switch {
	case isWhole && !r.isStream && !strings.HasPrefix(r.body, "answer to "+r.id+" by "):
		return fmt.Sprintf("got the answer %q", r.body)
	case isWhole && r.isStream && r.body != wholeSoakStream(r.id):
		return fmt.Sprintf("got the stream %q", r.body)
	case isOnceOnly && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case isRefusal && runs > 0:
		return fmt.Sprintf("was refused with %d, but ran %d times", r.status, runs)
	case isPlanned && runs > 0 && !isWhole:
		return fmt.Sprintf("ran under planned work only, and its caller got %d, %v", r.status, r.err)
	default:
		return ""
	}
}

// TestSoakCatchesViolations shows that each check can fail.
func TestSoakCatchesViolations(t *testing.T) {
	whole := soakResult{id: "a", path: "/file/1", status: http.StatusOK, body: "answer to a by x"}
	stream := soakResult{id: "a", path: "/talk/1", status: http.StatusOK, body: wholeSoakStream("a"), isStream: true}
	with := func(r soakResult, change func(r *soakResult)) soakResult {
		change(&r)
		return r
	}
	tests := []struct {
		name      string
		result    soakResult
		runs      int
		isPlanned bool
		isBroken  bool
	}{
		{"whole", whole, 1, true, false},
		{"whole stream", stream, 1, true, false},
		{"another's answer", with(whole, func(r *soakResult) { r.body = "answer to b by x" }), 1, false, true},
		{"a piece is missing", with(stream, func(r *soakResult) { r.body = r.body[20:] }), 1, false, true},
		{"cut, and doesn't look complete", with(stream, func(r *soakResult) { r.body, r.err = "", io.ErrUnexpectedEOF }), 1, false, false},
		{"cut by planned work", with(stream, func(r *soakResult) { r.body, r.err = "", io.ErrUnexpectedEOF }), 1, true, true},
		{"ran twice", whole, 2, false, true},
		{"refused, not run", with(whole, func(r *soakResult) { r.status = 503 }), 0, false, false},
		{"refused, but run", with(whole, func(r *soakResult) { r.status = 503 }), 1, false, true},
		{"unknown", with(whole, func(r *soakResult) { r.status = 502 }), 1, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.result.violation(tt.runs, tt.isPlanned); (got != "") != tt.isBroken {
				t.Errorf("got %q", got)
			}
		})
	}
}

func wholeSoakStream(id string) string {
	var b strings.Builder
	for number := 1; number <= 4; number++ {
		b.WriteString(standreplica.StreamEvent(id, number))
	}
	return b.String()
}

// showLogs prints the end of each node's log.
func (w *soakWorld) showLogs() {
	const most = 4000
	for _, n := range w.nodes {
		data, err := os.ReadFile(n.log.Name())
		if err != nil {
			w.t.Log(err)
			continue
		}
		w.t.Logf("node %d:\n%s", n.number, data[max(len(data)-most, 0):])
	}
}
