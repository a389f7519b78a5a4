package entry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

// rolloutWorld plays rollouts of books from v1 to later versions at a fleet whose lease holder is lost meanwhile.
type rolloutWorld struct {
	*testFleet
	// lost is the number of the node that is cut off from everything; 0 means none.
	lost int
	sent int
}

const (
	rolloutNodes = 3
	// rolloutRate is the number of requests a second, rolloutWithin the time of an order in seconds.
	rolloutRate   = 50
	rolloutWithin = 12
	// exposedShare and exposedSlack bound the requests that a bad version may get of all.
	exposedShare = 0.1
	exposedSlack = 50
)

// runRollouts starts endpoints of v1 and lets the fleet do its duties for a while.
func runRollouts(t *testing.T, run func(w *rolloutWorld)) {
	t.Helper()
	runFleet(t, rolloutNodes, func(f *testFleet) {
		w := &rolloutWorld{testFleet: f}
		w.load(16*time.Second, nil) // Until usage was reported, from which the holder shows.
		run(w)
		w.network.Heal()
	})
}

// load sends requests at a steady rate for some time, or until the function returns true.
func (w *rolloutWorld) load(length time.Duration, isEnd func() bool) {
	const interval = time.Second / rolloutRate
	for began := w.clock.Now(); w.clock.Now().Sub(began) < length; {
		w.sent++
		if node := w.sent%rolloutNodes + 1; node != w.lost {
			w.call(w.t.Context(), node, http.MethodPost, "/file/1", "body")
		}
		w.sleep(interval)
		if isEnd != nil && isEnd() {
			return
		}
	}
}

func (w *rolloutWorld) addVersion(version string, endpoints ...int) {
	for _, number := range endpoints {
		id := fmt.Sprintf("%s-%d", version, number)
		address := w.startReplica(id, number)
		w.store.Put("servers", id, fmt.Appendf(nil,
			`{"service":"books","address":%q,"zone":"north-a","version":%q,"slots":8,"state":"ready","cold-left-ms":0,"seq":1,"born":1}`, address, version))
	}
}

func (w *rolloutWorld) order(version string) {
	w.store.Put("op", "rollout/books", fmt.Appendf(nil, `{"service":"books","to":%q,"duration-s":%d}`, version, rolloutWithin))
}

// spoil makes each second request at a version's endpoints fail.
func (w *rolloutWorld) spoil(version string) {
	for id, replica := range w.replicas {
		if strings.HasPrefix(id, version) {
			var next []standreplica.Behaviour
			for range 1000 {
				next = append(next, standreplica.Fails, standreplica.Answers)
			}
			replica.SetNextBehaviours(next...)
		}
	}
}

func (w *rolloutWorld) runsAt(prefix string) int {
	count := 0
	for id, replica := range w.replicas {
		if strings.HasPrefix(id, prefix) {
			count += len(replica.Runs())
		}
	}
	return count
}

// loseHolder cuts the holder of the duties off from everything.
func (w *rolloutWorld) loseHolder() {
	w.cloud.mu.Lock()
	holder := w.cloud.acts[len(w.cloud.acts)-1].holder
	w.cloud.mu.Unlock()
	if _, err := fmt.Sscanf(holder, "node-%d", &w.lost); err != nil {
		w.t.Fatal(err)
	}
	address := netip.AddrFrom4([4]byte{10, 1, 0, byte(w.lost)})
	w.network.Partition(func(a, b netip.Addr) bool { return a == address || b == address })
}

func (w *rolloutWorld) state() string {
	value, _ := w.store.Get("status", "rollout/books")
	return string(value)
}

// checkExposure fails if a version got more than a small share of the requests since a time.
func (w *rolloutWorld) checkExposure(version string, before, sentBefore int) {
	got, sent := w.runsAt(version)-before, w.sent-sentBefore
	if most := int(float64(sent)*exposedShare) + exposedSlack; got > most {
		w.t.Errorf("%s got %d of %d requests, want at most %d", version, got, sent, most)
	}
	w.t.Logf("%s got %d of %d requests", version, got, sent)
}

// TestBadVersionIsStoppedWithoutHolder fails if a version that turns bad while all traffic moves to it goes on getting
// all of it because the node that holds the duties is lost at that moment, or isn't reported as rolled back later.
func TestBadVersionIsStoppedWithoutHolder(t *testing.T) {
	for _, isHolderLost := range []bool{true, false} {
		t.Run(fmt.Sprint("holder lost ", isHolderLost), func(t *testing.T) {
			runRollouts(t, func(w *rolloutWorld) {
				w.addVersion("v2", 11, 12)
				sentBefore := w.sent
				w.order("v2")
				v1 := 0
				lastV1 := w.clock.Now()
				w.load(rolloutWithin*time.Second, func() bool {
					if runs := w.runsAt("books"); runs != v1 {
						v1, lastV1 = runs, w.clock.Now()
					}
					return w.clock.Now().Sub(lastV1) > 100*time.Millisecond
				})
				w.spoil("v2")
				if isHolderLost {
					w.loseHolder()
				}
				w.load(rolloutWithin*time.Second-time.Duration(w.sent-sentBefore)*time.Second/rolloutRate, nil)
				w.checkExposure("v2", 0, sentBefore)
				w.load(10*time.Second, nil)
				if state := w.state(); !strings.Contains(state, `"rolled_back"`) {
					t.Errorf("the operator reads %s", state)
				}
			})
		})
	}
}

// TestVersionTakenBackStaysSo fails if a version that was taken back gets all requests again between a second order and
// the first plan for it, which is long if the holder of the duties is lost then. The version taken back has the name
// that comes first, and as many endpoints as the good one.
func TestVersionTakenBackStaysSo(t *testing.T) {
	for _, isHolderLost := range []bool{true, false} {
		t.Run(fmt.Sprint("holder lost ", isHolderLost), func(t *testing.T) {
			runRollouts(t, func(w *rolloutWorld) {
				w.addVersion("bad", 11, 12, 13)
				w.spoil("bad")
				w.order("bad")
				w.load(rolloutWithin*time.Second, func() bool { return strings.Contains(w.state(), `"rolled_back"`) })
				before, sentBefore := w.runsAt("bad"), w.sent
				w.load(time.Second, nil)
				w.order("v3")
				if isHolderLost {
					w.loseHolder()
				}
				w.load(2*time.Second, nil)
				w.addVersion("v3", 21)
				w.load(rolloutWithin*time.Second, nil)
				if got := w.runsAt("bad") - before; got > 5 {
					t.Errorf("a version that was taken back got %d of %d requests", got, w.sent-sentBefore)
				}
				w.checkExposure("bad", before, sentBefore)
			})
		})
	}
}
