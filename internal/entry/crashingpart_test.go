package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

// crashSeed is added to the seeds of the days with crashes; others are played by hand.
var crashSeed = flag.Int("crash-seed", 0, "the seed of days with crashing endpoints")

// crashEnd is what the connections of a crashed endpoint show.
type crashEnd string

const (
	// endsWithReset breaks all connections, and refuses new ones.
	endsWithReset crashEnd = "Reset"
	// endsSilently leaves all connections open without an answer, and drops new ones.
	endsSilently crashEnd = "Silence"
)

const (
	// contact is the time within which a node must act on what it was sent, enoughCrashes the number of
	// crashes after which a part must be known.
	contact       = 4 * time.Second
	enoughCrashes = 5
	// mostAfter is the number of requests with a crashing part that may still reach endpoints.
	mostAfter = 3
	// restartAfter is the time after which a crashed endpoint is back, rowLapsesAfter that after
	// which its row is removed.
	restartAfter   = 3 * time.Second
	rowLapsesAfter = 3600 * time.Millisecond
	sharedPart     = "a0"
	// troubleAfter is the time until the day's other trouble begins.
	troubleAfter = 2 * time.Second
)

// crashDay is a day on which prompts with some parts crash the endpoints.
type crashDay struct {
	name             string
	nodes, endpoints int
	// prompts are the parts of the requests with a crashing part; a last part is added.
	prompts [][]string
	// crashing are the parts that crash endpoints, crashingBodies the bodies that do.
	crashing       []string
	crashingBodies []string
	afterEvent     int
	end            crashEnd
	// keepsIdentity makes endpoints come back under the identity that they had.
	keepsIdentity bool
	// pause interrupts the requests with a crashing part.
	pause time.Duration
	// soundEvery is the time between two sound requests; 0 stands for 50 ms.
	soundEvery time.Duration
	// restarts stops all nodes in the middle of the day, and starts them again.
	restarts bool
	// trouble is what else happens from a few seconds on; nil stands for nothing.
	trouble func(w *crashWorld)
	seed    uint64
}

// crashWorld plays a crashDay.
type crashWorld struct {
	*testFleet
	day    crashDay
	random *rand.Rand

	mu sync.Mutex
	// all holds the endpoints, those that have crashed included; dark the addresses that are silent.
	all     []*standreplica.Replica
	dark    map[netip.Addr]bool
	crashes []time.Time
	born    int
	// restartedAt is when all nodes were started again.
	restartedAt    time.Time
	troubleEndedAt time.Time
}

// crashAtOnce crashes a number of the endpoints that run, for a reason of their own.
func (w *crashWorld) crashAtOnce(count int) {
	w.mu.Lock()
	all := slices.Clone(w.all)
	w.mu.Unlock()
	for _, replica := range all {
		if count > 0 && !replica.HasStopped() {
			count--
			replica.Crash.End()
			replica.Stop()
		}
	}
}

// cutOff cuts a node off from all endpoints for some time.
func (w *crashWorld) cutOff(node int, length time.Duration) {
	address := netip.AddrFrom4([4]byte{10, 1, 0, byte(node)})
	isEndpoint := func(a netip.Addr) bool { return netip.MustParsePrefix("10.8.0.0/16").Contains(a) }
	w.network.Partition(func(a, b netip.Addr) bool {
		return a == address && isEndpoint(b) || b == address && isEndpoint(a) || w.isDark(a, b)
	})
	w.sleep(length)
	w.network.Partition(w.isDark)
}

// crashesAfter returns the number of crashes after a time.
func (w *crashWorld) crashesAfter(after time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, at := range w.crashes {
		if at.After(after) {
			count++
		}
	}
	return count
}

func isCrashing(parts []string, header string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(","+header, ","+part+":") })
}

func (w *crashWorld) startEndpoint(id string, number int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, 1, byte(number)}), 80)
	replica := standreplica.New(id, w.clock)
	replica.EventCount, replica.EventInterval = 6, 80*time.Millisecond
	server := w.serve(address, replica)
	replica.Crash = &standreplica.Crash{
		IsCause: func(run *standreplica.ExecutedRequest) bool {
			return isCrashing(w.day.crashing, run.Header.Get("X-Prompt-Prefix")) || w.isCrashingBody(run.Body)
		},
		AfterEvent: w.day.afterEvent,
		End:        sync.OnceFunc(func() { w.crash(id, number, address.Addr(), server) }),
	}
	w.mu.Lock()
	w.all = append(w.all, replica)
	w.born++
	born := w.born
	delete(w.dark, address.Addr())
	w.mu.Unlock()
	zone := []string{"north-a", "south-a"}[number%2]
	w.store.Put("servers", id, fmt.Appendf(nil,
		`{"service":"chat","address":%q,"zone":%q,"version":"v1","slots":16,"state":"ready","cold-left-ms":0,"seq":1,"born":%d}`, address, zone, born))
}

// crash ends an endpoint, and starts it again after some seconds.
func (w *crashWorld) crash(id string, number int, address netip.Addr, server *http.Server) {
	w.mu.Lock()
	w.crashes = append(w.crashes, w.clock.Now())
	generation := len(w.crashes)
	if w.day.end == endsSilently {
		w.dark[address] = true
		w.network.Blackhole(func(a, _ netip.Addr) bool { return a == address })
	}
	w.mu.Unlock()
	_ = server.Close() // All connections and the listener are closed.
	next := fmt.Sprintf("again-%d", generation)
	if w.day.keepsIdentity {
		next = id
	}
	go func() {
		w.sleep(restartAfter)
		w.startEndpoint(next, number)
		if next != id {
			w.sleep(rowLapsesAfter - restartAfter)
			w.store.Remove("servers", id)
		}
	}()
}

func (w *crashWorld) isDark(a, b netip.Addr) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark[a] || w.dark[b]
}

// isBesideCrashing reports whether a part stands in the requests with a crashing part.
func (w *crashWorld) isBesideCrashing(part string) bool {
	return slices.ContainsFunc(w.day.prompts, func(parts []string) bool { return slices.Contains(parts, part) })
}

// prompt returns the header that names the parts of a prompt.
func prompt(parts []string, last int) string {
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(part + ":200,")
	}
	return b.String() + fmt.Sprintf("%x:100", 0xf0000000+last)
}

// play sends sound requests and requests with crashing parts for some time.
func (w *crashWorld) play(length time.Duration) (sound []sentRequest) {
	const step = 50 * time.Millisecond
	const crashingSteps = 6
	soundSteps := int(max(w.day.soundEvery, step) / step)
	var wait sync.WaitGroup
	var mu sync.Mutex
	began := w.clock.Now()
	if w.day.trouble != nil {
		wait.Go(func() {
			w.sleep(troubleAfter)
			w.day.trouble(w)
			w.troubleEndedAt = w.clock.Now()
		})
	}
	for i := 0; w.clock.Now().Sub(began) < length; i++ {
		node := w.random.IntN(w.day.nodes) + 1
		elapsed := w.clock.Now().Sub(began)
		isPaused := w.day.pause > 0 && elapsed > length/3 && elapsed < length/3+w.day.pause
		if w.day.restarts && elapsed > length/2 && elapsed <= length/2+step {
			w.restartedAt = w.restartNodes()
		}
		if i%soundSteps == 0 {
			parts := []string{sharedPart, fmt.Sprintf("b%d", w.random.IntN(20))}
			if i%2 == 0 {
				parts[1] = fmt.Sprintf("c%d", i/4) // A part that only a few requests have.
			}
			wait.Go(func() {
				at := w.clock.Now()
				a := w.call(w.t.Context(), node, http.MethodPost, "/talk/1", fmt.Sprint("sound ", i), "X-Token-Counts", "500,20", "X-Prompt-Prefix", prompt(parts, 2*i))
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, sentRequest{at: at, part: parts[1], hasRun: w.hasRun(a.id), isSuspected: strings.Contains(a.body, "a part of this prompt")})
			})
		}
		if i%crashingSteps == 0 && len(w.day.prompts) > 0 && !isPaused && elapsed > time.Second {
			parts := w.day.prompts[w.random.IntN(len(w.day.prompts))]
			other := w.random.IntN(w.day.nodes) + 1
			wait.Go(func() {
				w.call(w.t.Context(), other, http.MethodPost, "/ask/1", fmt.Sprint("crash ", i), "X-Token-Counts", "500,20", "X-Prompt-Prefix", prompt(parts, 2*i+1))
			})
		}
		w.sleep(step)
	}
	wait.Wait()
	return sound
}

// sentRequest is a sound request and what became of it.
type sentRequest struct {
	at time.Time
	// part is the part of its prompt that isn't shared by all.
	part   string
	hasRun bool
	// isSuspected is true if it was refused because of a part.
	isSuspected bool
}

func (w *crashWorld) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, replica := range w.all {
		if replica.HasRun(id) {
			return true
		}
	}
	return false
}

// crashingRuns returns when requests with a crashing part began to run.
func (w *crashWorld) crashingRuns() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []time.Time
	for _, replica := range w.all {
		for _, run := range replica.Runs() {
			if isCrashing(w.day.crashing, run.Header.Get("X-Prompt-Prefix")) {
				runs = append(runs, run.At)
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	return runs
}

func runCrashDay(t *testing.T, day crashDay, check func(w *crashWorld)) {
	t.Helper()
	runFleet(t, day.nodes, func(f *testFleet) {
		w := &crashWorld{testFleet: f, day: day, random: rand.New(rand.NewPCG(day.seed+uint64(*crashSeed), 28)), dark: map[netip.Addr]bool{}}
		w.store.Remove("servers", "chat-1")
		w.store.Remove("servers", "chat-2")
		w.network.Partition(w.isDark)
		for i := range day.endpoints {
			w.startEndpoint(fmt.Sprintf("engine-%d", i), i+1)
		}
		w.sleep(2 * time.Second)
		check(w)
	})
}

// startShare returns the share of sound requests from a time on that began to run.
func startShare(sent []sentRequest, from time.Time) (share float64, count int) {
	began := 0
	for _, s := range sent {
		if s.at.Before(from) {
			continue
		}
		count++
		if s.hasRun {
			began++
		}
	}
	return float64(began) / float64(max(count, 1)), count
}

// TestCrashedEndpointsGetNoMoreRequests fails if requests are refused because they go to endpoints
// that refuse connections, one after the other, while others could serve them. Six of nine endpoints
// crash at once; their rows are removed 3.6 s later.
func TestCrashedEndpointsGetNoMoreRequests(t *testing.T) {
	const crashed = 6
	day := crashDay{nodes: 6, endpoints: 9, trouble: func(w *crashWorld) { w.crashAtOnce(crashed) }}
	runCrashDay(t, day, func(w *crashWorld) {
		began := w.clock.Now()
		sound := w.play(4 * time.Second)
		share, count := startShare(sound, began.Add(2200*time.Millisecond))
		if count < 20 || share < 0.99 {
			t.Errorf("%.3f of %d requests began", share, count)
		}
		if tries := w.log.count(`"Event":26`, "connection refused"); tries > 2*day.nodes*crashed {
			t.Errorf("%d requests were sent to crashed endpoints", tries)
		}
	})
}

// TestCrashingPartIsStoppedOnAllNodes fails if requests with a part that crashes endpoints
// still reach them once it must be known, or if sound requests with the other parts don't.
func TestCrashingPartIsStoppedOnAllNodes(t *testing.T) {
	middle := [][]string{{sharedPart, "bad001", "b1"}}
	tests := []crashDay{
		{name: "first part", prompts: [][]string{{"bad001", sharedPart, "b1"}}, crashing: []string{"bad001"}},
		{name: "middle part", prompts: middle, crashing: []string{"bad001"}},
		{name: "next to last part", prompts: [][]string{{sharedPart, "b1", "bad001"}}, crashing: []string{"bad001"}},
		{name: "two parts", prompts: [][]string{{"bad001"}}, crashing: []string{"bad001"}},
		{name: "five parts", prompts: [][]string{{sharedPart, "b1", "b2", "bad001"}, {sharedPart, "b3", "bad001", "b4"}}, crashing: []string{"bad001"}},
		{name: "two crashing parts in one request", prompts: [][]string{{sharedPart, "bad001", "bad002"}}, crashing: []string{"bad001", "bad002"}},
		{name: "two crashing parts in several requests", prompts: [][]string{{sharedPart, "bad001"}, {sharedPart, "bad002", "b1"}}, crashing: []string{"bad001", "bad002"}},
		{name: "crash after the first event", prompts: middle, crashing: []string{"bad001"}, afterEvent: 1},
		{name: "reset", prompts: middle, crashing: []string{"bad001"}, end: endsWithReset},
		{name: "silence", prompts: middle, crashing: []string{"bad001"}, end: endsSilently},
		{name: "same identity", prompts: middle, crashing: []string{"bad001"}, keepsIdentity: true},
		{name: "seven nodes, few endpoints", nodes: 7, endpoints: 5, prompts: middle, crashing: []string{"bad001"}},
		{name: "relays", nodes: 20, prompts: middle, crashing: []string{"bad001"}},
		{name: "all nodes start anew", prompts: middle, crashing: []string{"bad001"}, restarts: true},
		{name: "few sound requests", prompts: [][]string{{sharedPart, "bad001"}}, crashing: []string{"bad001"}, soundEvery: 600 * time.Millisecond},
		{name: "comes back after a pause", prompts: middle, crashing: []string{"bad001"}, pause: 8 * time.Second},
	}
	for _, day := range tests {
		day.nodes, day.endpoints = max(day.nodes, 6), max(day.endpoints, 9)
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			checkCrashDay(t, day)
		})
	}
}

// checkCrashDay plays a day and checks that its crashing parts are stopped while sound requests
// are served.
func checkCrashDay(t *testing.T, day crashDay) {
	t.Helper()
	runCrashDay(t, day, func(w *crashWorld) {
		sound := w.play(25 * time.Second)
		if len(w.crashingRuns()) == 0 {
			t.Fatal("no endpoint crashed")
		}
		after, runs := 0, w.crashingRuns()
		known := runs[min(len(runs), enoughCrashes)-1]
		for _, at := range runs {
			if len(runs) >= enoughCrashes && at.Sub(known) > contact {
				after++
			}
		}
		if after > mostAfter {
			t.Errorf("%d requests reached endpoints more than %v after crash number %d, want at most %d", after, contact, enoughCrashes, mostAfter)
		}
		if again := w.crashesAfter(w.restartedAt); day.restarts && again > mostAfter {
			t.Errorf("%d endpoints crashed after all nodes had started anew, want at most %d", again, mostAfter)
		}
		share, count := startShare(sound, known.Add(2*contact))
		if count < 20 || share < 0.9 {
			t.Errorf("%.2f of %d sound requests began", share, count)
		}
		beside := slices.DeleteFunc(slices.Clone(sound), func(s sentRequest) bool { return !w.isBesideCrashing(s.part) })
		if share, count := startShare(beside, known.Add(2*contact)); count >= 5 && share < 0.5 {
			t.Errorf("%.2f of %d sound requests with a part that stands beside a crashing one began", share, count)
		}
		all, _ := startShare(sound, time.Time{})
		t.Logf("%d crashes, %d runs, %d of them late, the last %v after the first crash; %.3f of the sound requests began, %.3f of the later ones",
			len(w.crashes), len(runs), after, runs[len(runs)-1].Sub(w.crashes[0]), all, share)
	})
}

// troubles are what may happen beside a crashing part, and without one. None of them is a reason to
// refuse sound requests.
func troubles() []crashDay {
	return []crashDay{
		{name: "a third of the endpoints crash", trouble: func(w *crashWorld) { w.crashAtOnce(3) }},
		{name: "all endpoints crash", trouble: func(w *crashWorld) { w.crashAtOnce(9) }},
		{name: "waves", trouble: func(w *crashWorld) {
			for range 4 {
				w.crashAtOnce(4)
				w.sleep(1500 * time.Millisecond)
			}
		}},
		{name: "one endpoint after the other", trouble: func(w *crashWorld) {
			for range 12 {
				w.crashAtOnce(1)
				w.sleep(500 * time.Millisecond)
			}
		}},
		{name: "silent crashes", end: endsSilently, trouble: func(w *crashWorld) {
			w.crashAtOnce(4)
			w.sleep(rowLapsesAfter) // Until then they don't show.
		}},
		{name: "a node is cut off and comes back", trouble: func(w *crashWorld) { w.cutOff(2, 6*time.Second) }},
		{name: "nodes are replaced", trouble: func(w *crashWorld) {
			for range 2 {
				w.replaceNode(0)
				w.crashAtOnce(1)
				w.sleep(time.Second)
			}
		}},
	}
}

// TestSoundPartsAreServedThroughTrouble fails if parts are blamed for longer than it takes to see
// sound answers on them, when endpoints crash for reasons of their own, together or in turn, or
// nodes are cut off or replaced.
func TestSoundPartsAreServedThroughTrouble(t *testing.T) {
	const length, recovery = 20 * time.Second, 4 * time.Second
	for _, day := range troubles() {
		day.nodes, day.endpoints = 6, 9
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			runCrashDay(t, day, func(w *crashWorld) {
				sound := w.play(length)
				suspected, late := 0, 0
				for _, s := range sound {
					if !s.isSuspected {
						continue
					}
					suspected++
					if s.at.After(w.troubleEndedAt.Add(recovery)) {
						late++
					}
				}
				if share, count := startShare(sound, w.troubleEndedAt.Add(recovery)); count < 20 || share < 0.98 || late > 0 {
					t.Errorf("%.3f of %d requests began after the trouble; %d were refused because of a part", share, count, late)
				}
				if most := len(sound) / 50; suspected > most {
					t.Errorf("%d of %d sound requests were refused because of a part, want at most %d", suspected, len(sound), most)
				}
				t.Logf("%d of %d were refused because of a part", suspected, len(sound))
			})
		})
	}
}

// TestCrashingPartIsStoppedInTrouble fails if a crashing part isn't stopped, or takes sound requests
// with it, while endpoints crash for other reasons or nodes are cut off or replaced.
func TestCrashingPartIsStoppedInTrouble(t *testing.T) {
	for _, day := range troubles() {
		day.nodes, day.endpoints = 6, 9
		day.prompts, day.crashing = [][]string{{sharedPart, "bad001", "b1"}}, []string{"bad001"}
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			checkCrashDay(t, day)
		})
	}
}
