package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// crashingBody is the body of the request that crashes endpoints.
const crashingBody = "crash"

// insistentCaller sends one request again and again, and at once where it failed.
type insistentCaller struct {
	name string
	path string
	// every is the time between two requests, attempts how often one is sent at most, each time at another node.
	every    time.Duration
	attempts int
	// isTogether sends the attempts at the same time rather than one after the other.
	isTogether bool
}

// insist plays a caller for some time, and returns when its requests were answered.
func (w *crashWorld) insist(c *insistentCaller, length time.Duration) (answered []time.Time) {
	began := w.clock.Now()
	var mu sync.Mutex
	send := func(node int) answer {
		a := w.call(w.t.Context(), node%w.day.nodes+1, http.MethodPost, c.path, crashingBody, "X-Token-Counts", "500,20",
			"X-Prompt-Prefix", prompt([]string{sharedPart}, 1<<20))
		if a.status == http.StatusOK && a.err == nil {
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, w.clock.Now())
		}
		return a
	}
	for round := 0; w.clock.Now().Sub(began) < length; round++ {
		sentAt := w.clock.Now()
		var wait sync.WaitGroup
		for attempt := range c.attempts {
			if c.isTogether {
				wait.Go(func() { send(round + attempt) })
				continue
			}
			if a := send(round + attempt); a.status == http.StatusServiceUnavailable || a.status == http.StatusOK && a.err == nil {
				break
			}
		}
		wait.Wait()
		w.sleep(c.every - w.clock.Now().Sub(sentAt))
	}
	return answered
}

// insistentCallers are callers that wait for others' answers, and some that don't.
func insistentCallers() []insistentCaller {
	return []insistentCaller{
		{name: "one attempt", path: "/ask/1", every: 2 * time.Second, attempts: 1},
		{name: "attempts at once after a failure", path: "/ask/1", every: 2 * time.Second, attempts: 4},
		{name: "attempts at once, not repeatable", path: "/talk/1", every: 2 * time.Second, attempts: 4},
		{name: "attempts together", path: "/ask/1", every: 2 * time.Second, attempts: 4, isTogether: true},
		{name: "attempts together, now and then", path: "/ask/1", every: 11 * time.Second, attempts: 4, isTogether: true},
		{name: "seldom", path: "/talk/1", every: 50 * time.Second, attempts: 1},
	}
}

// TestInsistentCallerDoesNotWearRefusalsOut fails if a request that crashes endpoints and is sent again all the while reaches
// more of them than a trial at a time when its refusal ends (review, case 10).
func TestInsistentCallerDoesNotWearRefusalsOut(t *testing.T) {
	const length = 4 * time.Minute // Two trials are due.
	for _, caller := range insistentCallers() {
		for _, trouble := range insistentTroubles() {
			t.Run(fmt.Sprintf("%s, %s", caller.name, trouble.name), func(t *testing.T) {
				t.Parallel()
				checkInsistentCaller(t, 1, &caller, &trouble, length)
			})
		}
	}
}

// TestInsistentCallerAtManyNodes is TestInsistentCallerDoesNotWearRefusalsOut for requests that come to several nodes in
// one instant, in fleets with and without relays.
func TestInsistentCallerAtManyNodes(t *testing.T) {
	const nodes, nodesWithRelays = 4, 18
	callers := insistentCallers()
	atOnce, together := &callers[1], &callers[3]
	tests := []struct {
		name   string
		nodes  int
		caller *insistentCaller
		length time.Duration
	}{
		{"attempts at once", nodes, atOnce, 4 * time.Minute},
		{"attempts together", nodes, together, 100 * time.Second},
		{"attempts together, relays", nodesWithRelays, together, 60 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			checkInsistentCaller(t, tt.nodes, tt.caller, &insistentTroubles()[0], tt.length)
		})
	}
}

func checkInsistentCaller(t *testing.T, nodes int, caller *insistentCaller, trouble *crashDay, length time.Duration) {
	t.Helper()
	day := *trouble
	day.nodes, day.endpoints, day.crashingBodies, day.soundEvery = nodes, 9, []string{crashingBody}, 2*time.Second
	runCrashDay(t, day, func(w *crashWorld) {
		var wait sync.WaitGroup
		wait.Go(func() { w.play(length) })
		w.sleep(3 * time.Second)
		w.insist(caller, length-5*time.Second)
		wait.Wait()
		w.checkLateRetries()
	})
}

// insistentTroubles are what happens beside an insistent caller.
func insistentTroubles() []crashDay {
	return []crashDay{
		{name: "nothing else"},
		{name: "endpoints crash and keep their names", keepsIdentity: true, trouble: func(w *crashWorld) {
			for range 8 {
				w.crashAtOnce(2)
				w.sleep(13 * time.Second)
			}
		}},
	}
}

// TestMendedRequestIsServedAgain fails if a request that crashed endpoints stays refused at some nodes once it no longer does.
func TestMendedRequestIsServedAgain(t *testing.T) {
	const (
		mendedAfter = 15 * time.Second
		// servedAfter is when the first trial has been due for some seconds.
		servedAfter = 50 * time.Second
		length      = 100 * time.Second
	)
	for _, nodes := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			day := crashDay{nodes: nodes, endpoints: 9, crashingBodies: []string{crashingBody}, soundEvery: 400 * time.Millisecond}
			runCrashDay(t, day, func(w *crashWorld) {
				began := w.clock.Now()
				var sound sync.WaitGroup
				sound.Go(func() { w.play(length) }) // Answers show that the parts that it shares with others are sound.
				go func() {
					w.sleep(mendedAfter)
					w.mend()
				}()
				answered := w.insist(&insistentCaller{path: "/ask/1", every: 2 * time.Second, attempts: 1}, length)
				sound.Wait()
				late := 0
				for _, at := range answered {
					if at.After(began.Add(servedAfter)) {
						late++
					}
				}
				if want := int((length - servedAfter) / (2 * time.Second)); late < want-1 {
					t.Errorf("%d of %d requests were served after the mend", late, want)
				}
				if tried := w.log.count(`"Event":207`); tried != 1 {
					t.Errorf("%d trials in the log, want 1", tried)
				}
			})
		})
	}
}

// mend ends all requests' crashes.
func (w *crashWorld) mend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.day.crashingBodies = nil
}

// TestRefusedRequestsNameTheirTrial fails if a refused request isn't told when it may come back.
func TestRefusedRequestsNameTheirTrial(t *testing.T) {
	day := crashDay{nodes: 3, endpoints: 9, crashingBodies: []string{crashingBody}}
	runCrashDay(t, day, func(w *crashWorld) {
		w.insist(&insistentCaller{path: "/talk/1", every: 2 * time.Second, attempts: 1}, 10*time.Second)
		a := w.call(w.t.Context(), 1, http.MethodPost, "/talk/1", crashingBody, "X-Token-Counts", "500,20", "X-Prompt-Prefix", prompt([]string{sharedPart}, 1<<20))
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || !strings.Contains(a.body, "with this request in progress") {
			t.Errorf("answer %d with Retry-After %q: %s", a.status, a.header.Get("Retry-After"), a.body)
		}
	})
}

// isCrashingBody reports whether requests with a body crash endpoints now.
func (w *crashWorld) isCrashingBody(body string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.day.crashingBodies, body)
}
