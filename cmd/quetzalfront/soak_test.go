package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"quetzalfront/internal/standin/standfault"
	"quetzalfront/internal/standin/standproxy"
	"quetzalfront/internal/standin/standreplica"
)

var (
	soakSeeds = flag.Int("soak-seeds", 1, "number of seeds that the soak runs in addition to the kept ones")
	soakFirst = flag.Uint64("soak-first", 1, "the first seed of the soak")
	soakNodes = flag.Int("soak-nodes", 3, "number of node processes per seed")
	soakOther = flag.String("soak-other", "", "the program of another build; nodes are replaced by it and back while the soak goes on")
	soakLogs  = flag.String("soak-logs", "", "the folder in which the logs of failed seeds are kept; by default one of the system's")
)

// keptSeeds are seeds that once failed, each with the cause. They run in every soak.
var keptSeeds = []struct {
	seed  uint64
	cause string
}{}

const (
	plannedDuration  = 8 * time.Second
	chaosDuration    = 10 * time.Second
	recoveryDuration = 9 * time.Second
	// drainBound is the time after which a draining endpoint must receive no new requests.
	drainBound = 3 * time.Second
	// faultFreeDuration is the time since the last fault after which the drain bound is checked.
	faultFreeDuration = 4 * time.Second
	// settleDuration is the time before the first fault by which a request must have been sent
	// to be unaffected by any fault.
	settleDuration = 3 * time.Second
	soakClients    = 6
	// maxSoakNodes keeps the processes of one seed below half of the memory of a small machine.
	maxSoakNodes = 300
	// longestRestore is the age of the oldest copy from which the store comes back, and rewriteWithin the time
	// within which the operator and the replicas write again what it has lost.
	longestRestore = 4 * time.Second
	rewriteWithin  = 2 * time.Second
)

// TestSoak runs real node processes under injected faults. It has three phases: planned
// operations only, faults of all kinds, and recovery. Afterwards it checks what callers
// received and replicas ran against the guarantees.
func TestSoak(t *testing.T) {
	if *soakNodes < 1 || *soakNodes > maxSoakNodes {
		t.Fatalf("soak-nodes is %d, want 1 to %d", *soakNodes, maxSoakNodes)
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

// soak runs all phases with one seed.
func soak(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	w := newSoakWorld(t, byte(firstSoakNet+seed%soakNets))
	defer w.close()
	w.sleep(2 * time.Second)
	stop := make(chan struct{})
	for i := range soakClients {
		own := rand.New(rand.NewPCG(seed, uint64(100+i)))
		w.clients.Go(func() { w.client(own, fmt.Sprintf("s%d-c%d", seed, i), stop) })
	}
	w.play(random, plannedDuration, w.planned)
	chaosAt := w.timer.Now()
	w.setLastFault(chaosAt.Add(time.Hour)) // Replaced when the faults are over.
	w.play(random, chaosDuration, w.chaos)
	w.heal()
	healedAt := w.timer.Now().Add(recoveryDuration)
	w.setLastFault(w.timer.Now())
	w.sleep(recoveryDuration + 3*time.Second)
	close(stop)
	w.clients.Wait()
	w.check(chaosAt, healedAt)
	if t.Failed() {
		t.Logf("seed %d", seed)
		w.keepLogs(seed)
	}
}

// client sends requests until the soak ends. It has connections of its own and reuses
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

// play calls step repeatedly at random intervals for a duration. Effects of a step may
// outlast the next one.
func (w *soakWorld) play(random *rand.Rand, d time.Duration, step func(random *rand.Rand)) {
	for end := w.timer.Now().Add(d); w.timer.Now().Before(end); {
		step(random)
		w.sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
	}
}

// planned performs one random operation of an operator: a restart or a reload (SIGHUP) of
// a node, a configuration change, or the draining of a replica.
func (w *soakWorld) planned(random *rand.Rand) {
	n := w.nodes[random.IntN(len(w.nodes))]
	switch random.IntN(4) {
	case 0:
		w.stop(n)
		w.chooseBuild(n)
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

const (
	// changeInterval is the time between the changes of the configuration beside a planned stop.
	changeInterval = 400 * time.Millisecond
	// lateCallers is the number of callers that connect to a stopping node again and again, from lateAfter for lateDuration: about
	// when it stops to accept connections.
	lateCallers  = 8
	lateAfter    = 2300 * time.Millisecond
	lateDuration = 800 * time.Millisecond
)

// stop ends a node's process as an operator does, beside changes of the configuration and callers that come late.
func (w *soakWorld) stop(n *soakNode) {
	exited := make(chan struct{})
	var beside sync.WaitGroup
	beside.Go(func() {
		for {
			select {
			case <-exited:
				return
			case <-w.timer.After(changeInterval).C():
				w.configure()
			}
		}
	})
	for range lateCallers {
		beside.Go(func() { w.comeLate(n) })
	}
	w.end(n, syscall.SIGTERM)
	close(exited)
	beside.Wait()
}

// comeLate tests which configuration is in force at a stopping node, with a new connection each time.
func (w *soakWorld) comeLate(n *soakNode) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	w.sleep(lateAfter)
	for end := w.timer.Now().Add(lateDuration); w.timer.Now().Before(end); {
		w.mu.Lock()
		path := fmt.Sprintf("/rev-%d/1", w.revision)
		w.mu.Unlock()
		w.sendTo(client, n, path, fmt.Sprintf("late-%d", n.number))
	}
}

// drain marks a replica as draining, checks that it receives no new requests after
// drainBound, and marks it as ready again. It does nothing while a replica of the same
// entry is draining.
func (w *soakWorld) drain(r *soakReplica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.replicas {
		if other.entry == r.entry && !other.drainingSince.IsZero() {
			return
		}
	}
	r.drainingSince = w.timer.Now()
	w.putReplica(r, "draining")
	w.clients.Go(func() {
		w.sleep(drainBound)
		before := len(r.Runs())
		w.sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if after := len(r.Runs()); after != before && w.timer.Now().Sub(w.lastFaultAt) > faultFreeDuration {
			w.t.Errorf("%s received %d requests later than %s after it started draining", r.ID, after-before, drainBound)
		}
		r.drainingSince = time.Time{}
		w.putReplica(r, "ready")
	})
}

// chaos injects one random fault or performs a planned operation.
func (w *soakWorld) chaos(random *rand.Rand) {
	n := w.nodes[random.IntN(len(w.nodes))]
	modes := []standproxy.Mode{standproxy.Delay, standproxy.Reset, standproxy.DropToTarget, standproxy.DropFromTarget, standproxy.DropBoth, standproxy.Pass}
	behaviours := []standreplica.Behaviour{
		standreplica.Fails, standreplica.Sheds, standreplica.Busy, standreplica.Truncates, standreplica.Resets, standreplica.Repeats, standreplica.CloseDelimited,
	}
	switch random.IntN(11) {
	case 0:
		w.end(n, os.Kill)
		w.start(n)
	case 7:
		w.killMany(random)
	case 8:
		w.restoreStore(random)
	case 9:
		w.state(w.replicas[random.IntN(len(w.replicas))], random)
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

// restoreStore brings the store back as it was some seconds ago. The operator and the replicas write
// again what it has lost.
func (w *soakWorld) restoreStore(random *rand.Rand) {
	w.store.Restore(time.Duration(random.Int64N(int64(longestRestore))))
	w.sleep(time.Duration(random.Int64N(int64(rewriteWithin))))
	w.store.RewriteLost()
}

// state makes a replica state something about itself for a moment.
func (w *soakWorld) state(r *soakReplica, random *rand.Rand) {
	switch random.IntN(3) {
	case 0:
		r.RejectAll([]string{"0.3", "1", ""}[random.IntN(3)])
		w.sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		r.AcceptAll()
	case 1:
		r.StateRate([]string{"5", "50", "x"}[random.IntN(3)])
		w.sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		r.StateRate("")
	default:
		r.FallSilent(time.Duration(random.IntN(1200)) * time.Millisecond)
	}
}

// killMany kills each node with the same random probability, and restarts the killed ones.
func (w *soakWorld) killMany(random *rand.Rand) {
	share := random.Float64()
	var killed []*soakNode
	for _, n := range w.nodes {
		if random.Float64() < share {
			killed = append(killed, n)
			_ = n.command.Process.Kill() // The process may have exited.
		}
	}
	w.sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	for _, n := range killed {
		w.end(n, os.Kill)
		w.start(n)
	}
}

// setLastFault sets the time when a fault was last active.
func (w *soakWorld) setLastFault(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFaultAt = at
}

// heal removes all faults.
func (w *soakWorld) heal() {
	w.store.SetFaults(standfault.Faults{})
	for _, p := range w.proxies {
		p.SetMode(standproxy.Pass)
	}
	for _, r := range w.replicas {
		r.SetNextBehaviours()
	}
}

// check compares the results and executions with the guarantees, and requires that 90% of
// the requests after the faults were served.
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
		if broken := r.violation(runs[r.id], r.sentAt.Before(chaosAt.Add(-settleDuration))); broken != "" {
			w.t.Errorf("%s %s at node %d %s", r.id, r.path, r.node, broken)
		}
		if r.isCut(chaosAt) {
			w.t.Errorf("%s %s at node %d, sent at %v, got neither an answer nor a refusal beside planned operations: %v", r.id, r.path, r.node, r.sentAt, r.err)
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

// violation describes the guarantee that a result violates, or returns "" if there is
// none. isPlanned is true if the request was sent while there were only planned operations.
func (r *soakResult) violation(runs int, isPlanned bool) string {
	isWhole := r.err == nil && r.status == http.StatusOK
	isOnceOnly := strings.HasPrefix(r.path, "/file/") || strings.HasPrefix(r.path, "/talk/")
	isRefusal := r.err == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable)
	switch {
	case isWhole && !r.isStream && !strings.HasPrefix(r.body, "answer to "+r.id+" by "):
		return fmt.Sprintf("received the answer %q", r.body)
	case isWhole && r.isStream && r.body != wholeSoakStream(r.id):
		return fmt.Sprintf("received the stream %q", r.body)
	case isOnceOnly && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case isRefusal && runs > 0:
		return fmt.Sprintf("was refused with %d, but ran %d times", r.status, runs)
	case isPlanned && runs > 0 && !isWhole:
		return fmt.Sprintf("ran during planned operations only, but its caller received %d, %v", r.status, r.err)
	default:
		return ""
	}
}

// isCut reports whether a request that is owed an answer or a refusal got neither before the first fault.
func (r *soakResult) isCut(chaosAt time.Time) bool {
	return r.isOwed && r.err != nil && r.endedAt.Before(chaosAt)
}

// TestSoakCatchesCutRequests fails if the soak misses a request that a planned stop has cut, or reports one that it can't have received.
func TestSoakCatchesCutRequests(t *testing.T) {
	chaosAt := time.Unix(100, 0)
	tests := []struct {
		name     string
		delivery delivery
		err      error
		endedAt  time.Time
		want     bool
	}{
		{"reset on a new connection", delivery{isWritten: true}, syscall.ECONNRESET, chaosAt.Add(-1), true},
		{"ended on a new connection", delivery{isWritten: true}, io.EOF, chaosAt.Add(-1), true},
		{"cut answer on a kept connection", delivery{isWritten: true, isReused: true, hasBegun: true}, io.ErrUnexpectedEOF, chaosAt.Add(-1), true},
		{"crossed the close of a kept connection", delivery{isWritten: true, isReused: true}, syscall.ECONNRESET, chaosAt.Add(-1), false},
		{"no connection", delivery{}, syscall.ECONNREFUSED, chaosAt.Add(-1), false},
		{"not written", delivery{}, syscall.EPIPE, chaosAt.Add(-1), false},
		{"answered", delivery{isWritten: true, hasBegun: true}, nil, chaosAt.Add(-1), false},
		{"beside faults", delivery{isWritten: true}, syscall.ECONNRESET, chaosAt, false},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			r := soakResult{err: tt.err, endedAt: tt.endedAt, isOwed: tt.delivery.isOwed()}
			if got := r.isCut(chaosAt); got != tt.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

// TestSoakCatchesViolations fails if the soak misses a violation, or reports one for an
// allowed result.
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
		{"answer to another request", with(whole, func(r *soakResult) { r.body = "answer to b by x" }), 1, false, true},
		{"missing event", with(stream, func(r *soakResult) { r.body = r.body[20:] }), 1, false, true},
		{"cut off with an error", with(stream, func(r *soakResult) { r.body, r.err = "", io.ErrUnexpectedEOF }), 1, false, false},
		{"cut off during planned operations", with(stream, func(r *soakResult) { r.body, r.err = "", io.ErrUnexpectedEOF }), 1, true, true},
		{"ran twice", whole, 2, false, true},
		{"refused, not run", with(whole, func(r *soakResult) { r.status = 503 }), 0, false, false},
		{"refused, but ran", with(whole, func(r *soakResult) { r.status = 503 }), 1, false, true},
		{"outcome unknown", with(whole, func(r *soakResult) { r.status = 502 }), 1, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.result.violation(tt.runs, tt.isPlanned); (got != "") != tt.isBroken {
				t.Errorf("got %q", got)
			}
		})
	}
}

// wholeSoakStream returns the complete stream that a replica sends for a request.
func wholeSoakStream(id string) string {
	var b strings.Builder
	for number := 1; number <= 4; number++ {
		b.WriteString(standreplica.StreamEvent(id, number))
	}
	return b.String()
}

// keepLogs copies the whole logs of all nodes to a folder that outlasts the test, and prints the last bytes of
// each.
func (w *soakWorld) keepLogs(seed uint64) {
	const mostBytes = 4000
	kept, err := os.MkdirTemp(*soakLogs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		w.t.Log(err)
	}
	w.t.Logf("the logs are kept in %s", kept)
	for _, n := range w.nodes {
		data, err := os.ReadFile(n.log.Name())
		if err == nil && kept != "" {
			err = os.WriteFile(filepath.Join(kept, filepath.Base(n.log.Name())), data, 0o600)
		}
		if err != nil {
			w.t.Log(err)
		}
		if len(w.nodes) <= mostPrintedLogs {
			w.t.Logf("node %d:\n%s", n.number, data[max(len(data)-mostBytes, 0):])
		}
	}
}

// mostPrintedLogs is the number of nodes up to which their logs are also printed.
const mostPrintedLogs = 10
