package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// lostKnown is the time after which lost nodes are no longer named to callers.
const lostKnown = 7 * time.Second

// seedFirstNodes makes the settings of all nodes name the first ones.
func (w *testFleet) seedFirstNodes() {
	const seeds = 3
	for number := 1; number <= seeds; number++ {
		w.seeds = append(w.seeds, netip.AddrPortFrom(nodeIP(number), 2))
	}
}

// loseAllBut cuts all nodes but one off from everything.
func (w *testFleet) loseAllBut(left int) {
	nodes, last := netip.MustParsePrefix("10.1.0.0/24"), nodeIP(left)
	isLost := func(a netip.Addr) bool { return nodes.Contains(a) && a != last }
	w.network.Partition(func(a, b netip.Addr) bool { return isLost(a) || isLost(b) })
}

// reportedUsage returns the requests of an organisation in the reports. It fails if a window was reported twice
// with different counts.
func (w *testFleet) reportedUsage(organisation string) int {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	total := 0
	for window, bodies := range w.cloud.usage {
		var report struct {
			Counts map[string]int `json:"counts"`
		}
		_ = json.Unmarshal([]byte(bodies[0]), &report)
		total += report.Counts[organisation]
		for _, body := range bodies {
			if body != bodies[0] {
				w.t.Errorf("window %d was reported as %s and as %s", window, bodies[0], body)
			}
		}
	}
	return total
}

// serveAlone sends requests to the node that is left for some time, and returns their number. It fails if one isn't
// served, or if callers are sent to nodes that were lost lostKnown before. A start of the node at restartAt excuses it.
func (w *testFleet) serveAlone(left int, length, restartAt time.Duration) (calls int) {
	const pause = 500 * time.Millisecond
	w.t.Helper()
	began := w.clock.Now()
	knownAt := began.Add(lostKnown)
	for w.clock.Now().Sub(began) < length {
		passed := w.clock.Now().Sub(began)
		if restartAt > 0 && passed >= restartAt {
			restartAt = 0
			w.replaceNode(len(w.nodes) - 1)
			w.sleep(time.Second)
			knownAt = w.clock.Now().Add(lostKnown)
		}
		calls++
		if a := w.call(w.t.Context(), left, http.MethodGet, "/read/1", ""); a.status != http.StatusOK {
			w.t.Errorf("%s after the loss the node that is left answers %d, %v", passed, a.status, a.err)
		}
		named := w.directory(left, "north-a")
		if w.clock.Now().After(knownAt) && (len(named) != 1 || named[0] != fmt.Sprintf("%s:1", nodeIP(left))) {
			w.t.Errorf("%s after the loss callers are sent to %v", passed, named)
		}
		w.sleep(pause)
	}
	return calls
}

// TestLastNodeOfAFleetServesOn fails if the process of the node that is left ends after all others were lost, as it did where more
// than 16 nodes were known and it asked the seeds (review, case 11), or if it refuses requests, names lost nodes to callers or
// loses usage.
func TestLastNodeOfAFleetServesOn(t *testing.T) {
	for _, nodes := range []int{3, 16, 17} {
		for _, restartAt := range []time.Duration{0, 8 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes, started again after %s", nodes, restartAt), func(t *testing.T) {
				runPreparedFleet(t, nodes, (*testFleet).seedFirstNodes, func(w *testFleet) {
					w.sleep(settle) // All have found each other.
					w.loseAllBut(nodes)
					calls := w.serveAlone(nodes, 18*time.Second, restartAt)
					w.sleep(20 * time.Second) // The last window is reported.
					w.network.Heal()
					// What a node counted is gone with its process if it has no peers.
					if got := w.reportedUsage("north"); got != calls && restartAt == 0 {
						t.Errorf("%d of %d requests were reported", got, calls)
					}
				})
			})
		}
	}
}

// TestNodesFindEachOtherAfterIsolation fails if nodes that were all cut off from each other don't name all of them to callers again,
// because a node that had lost some from its view takes the fleet for a small one and isn't sent lists of members.
func TestNodesFindEachOtherAfterIsolation(t *testing.T) {
	const foundWithin = 15 * time.Second
	for _, nodes := range []int{3, 16, 17} {
		for _, outage := range []time.Duration{20 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, outage), func(t *testing.T) {
				runPreparedFleet(t, nodes, (*testFleet).seedFirstNodes, func(w *testFleet) {
					w.sleep(settle)
					w.loseAllBut(nodes)
					w.sleep(outage)
					w.network.Heal()
					w.sleep(foundWithin)
					for number := 1; number <= nodes; number++ {
						if named := len(w.directory(number, "north-a")) + len(w.directory(number, "south-a")); named != nodes {
							t.Errorf("node-%d names %d nodes of %d", number, named, nodes)
						}
					}
				})
			})
		}
	}
}
