package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/standin/standfault"
	"quetzalfront/internal/standin/standreplica"
)

// drainBound is the time after which a leaving endpoint must get no new requests, and
// changeBound the time after which a change must be in force.
const (
	drainBound  = 3 * time.Second
	changeBound = 3 * time.Second
)

// TestLeavingEndpointGetsNoWork fails if an endpoint still gets requests after drainBound, for
// each way of leaving.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(w *testFleet)
	}{
		{"draining", func(w *testFleet) { w.list("books-1", "books", "10.8.0.3:80", "draining") }},
		{"removed", func(w *testFleet) { w.store.Remove("servers", "books-1") }},
		{"unreadable", func(w *testFleet) { w.store.Put("servers", "books-1", []byte("{")) }},
		{"while the store comes back", func(w *testFleet) {
			w.store.SetFaults(standfault.Faults{Down: true})
			w.sleep(4 * time.Second)
			w.store.SetFaults(standfault.Faults{})
			w.store.Remove("servers", "books-1")
		}},
		{"with most others of its entry", func(w *testFleet) {
			for _, id := range []string{"books-3", "books-4", "books-5"} {
				w.addReplica(id, "books", 10+len(w.replicas))
			}
			w.sleep(time.Second)
			for _, id := range []string{"books-1", "books-3", "books-4"} {
				w.store.Remove("servers", id)
			}
		}},
		{"in a gap of the history", func(w *testFleet) {
			w.store.Remove("servers", "books-1")
			w.store.DropHistory()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 2, func(w *testFleet) {
				tt.leave(w)
				w.sleep(drainBound)
				before := len(w.replicas["books-1"].Runs())
				for i := range 20 {
					w.call(w.t.Context(), i%2+1, http.MethodGet, "/read/1", "")
				}
				if after := len(w.replicas["books-1"].Runs()); after != before {
					t.Errorf("a leaving endpoint got %d requests", after-before)
				}
			})
		})
	}
}

// TestChangeIsInForceAndStays fails if an accepted change isn't in force at all nodes within
// changeBound, or if an older one replaces it.
func TestChangeIsInForceAndStays(t *testing.T) {
	runFleet(t, 4, func(w *testFleet) {
		rename := func(text string) string { return strings.Replace(text, "/read/", "/look/", 1) }
		w.configure(7, rename)
		w.sleep(changeBound)
		status := func(number int, path string) int {
			return w.call(w.t.Context(), number, http.MethodGet, path, "").status
		}
		for number := 1; number <= 4; number++ {
			if got := status(number, "/look/1"); got != http.StatusOK {
				t.Errorf("node %d: the new route answers %d", number, got)
			}
			if got := status(number, "/read/1"); got != http.StatusNotFound {
				t.Errorf("node %d: the old route answers %d", number, got)
			}
		}
		w.configure(3, nil)
		w.store.DropHistory()
		w.sleep(changeBound)
		for number := 1; number <= 4; number++ {
			if got := status(number, "/look/1"); got != http.StatusOK {
				t.Errorf("node %d: an older change replaced the newer one: status %d", number, got)
			}
		}
	})
}

// TestNodeServesWithoutStore fails if a running node stops serving while the store is down, or
// if a node without a configuration answers anything but 503.
func TestNodeServesWithoutStore(t *testing.T) {
	runFleet(t, 1, func(w *testFleet) {
		w.store.SetFaults(standfault.Faults{Down: true})
		w.sleep(20 * time.Second)
		if a := w.call(w.t.Context(), 1, http.MethodGet, "/read/1", ""); a.status != http.StatusOK {
			t.Errorf("without the store: %d", a.status)
		}
		w.start(2)
		w.sleep(time.Second)
		if a := w.call(w.t.Context(), 2, http.MethodGet, "/none/1", ""); a.status != http.StatusServiceUnavailable {
			t.Errorf("a node without a configuration answers %d", a.status)
		}
	})
}

// TestPlannedStop fails if a planned stop truncates an answer or takes longer than the grace.
func TestPlannedStop(t *testing.T) {
	runFleet(t, 2, func(w *testFleet) {
		for _, replica := range w.replicas {
			replica.EventInterval = 500 * time.Millisecond
		}
		answers := make(chan answer, 1)
		go func() {
			answers <- w.call(w.t.Context(), 1, http.MethodPost, "/talk/1", "body", "X-Token-Counts", tokens)
		}()
		w.sleep(100 * time.Millisecond)
		began := w.clock.Now()
		w.nodes[0].Stop(context.Background())
		if took := w.clock.Now().Sub(began); took > 8*time.Second {
			t.Errorf("the stop took %s", took)
		}
		if a := <-answers; a.err != nil || a.body != wholeStream(a.id) {
			t.Errorf("a planned stop truncated an answer: %q, %v", a.body, a.err)
		}
		w.nodes = w.nodes[1:]
	})
}

// directory returns the addresses that a node's directory gives to callers.
func (w *testFleet) directory(number int, zone string) []string {
	client := &http.Client{Transport: &http.Transport{DialContext: w.network.From(callerIP).Dial, DisableKeepAlives: true}}
	url := "http://10.1.0." + strconv.Itoa(number) + ":4/quetzalfront/resolve?name=" + host + "&zone=" + zone
	response, err := client.Get(url)
	if err != nil {
		w.t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	var found struct {
		Addrs []string `json:"addrs"`
	}
	_ = json.Unmarshal(body, &found) // A refusal has no body.
	return found.Addrs
}

// TestDirectoryOfALargeFleet fails if callers get the addresses of a few nodes only after all nodes have started, so that
// these get all requests.
func TestDirectoryOfALargeFleet(t *testing.T) {
	const nodes = 40
	runFleet(t, nodes, func(w *testFleet) { // It has let settle pass.
		for number := 1; number <= nodes; number += 3 {
			for _, zone := range []string{"north-a", "south-a"} {
				if got := len(w.directory(number, zone)); got < nodes/2*9/10 {
					t.Errorf("node-%d names %d nodes of %s, which has %d", number, got, zone, nodes/2)
				}
			}
		}
	})
}

// TestDirectory fails if callers get addresses of other zones or of nodes that have left.
func TestDirectory(t *testing.T) {
	runFleet(t, 4, func(w *testFleet) {
		if got := w.directory(1, "north-a"); len(got) != 2 || got[0] != "10.1.0.2:1" && got[1] != "10.1.0.2:1" {
			t.Errorf("addresses %v", got)
		}
		w.nodes[1].Stop(context.Background())
		w.sleep(time.Second)
		if got := w.directory(1, "north-a"); len(got) != 1 || got[0] != "10.1.0.4:1" {
			t.Errorf("after a node has left: %v", got)
		}
		w.nodes = append(w.nodes[:1], w.nodes[2:]...)
	})
}

// TestUsageIsReportedOnce fails if a request is missing from the reports, if a window gets two
// different reports, or if reporting stops when the lease holder leaves.
func TestUsageIsReportedOnce(t *testing.T) {
	runFleet(t, 3, func(w *testFleet) {
		const calls = 30
		for i := range calls {
			w.call(w.t.Context(), i%2+1, http.MethodGet, "/read/1", "")
			w.sleep(300 * time.Millisecond)
			if i == calls/2 {
				w.nodes[2].Stop(context.Background())
				w.nodes = w.nodes[:2]
			}
		}
		w.sleep(15 * time.Second)
		if total := w.reportedUsage("north"); total != calls {
			t.Errorf("%d of %d requests were reported", total, calls)
		}
	})
}

// TestRetriesAreBounded fails if retries add more than a fifth of the requests and 50 runs to the
// load of failing endpoints.
func TestRetriesAreBounded(t *testing.T) {
	runFleet(t, 1, func(w *testFleet) {
		const calls = 300
		var failures []standreplica.Behaviour
		for range 2 * calls {
			failures = append(failures, standreplica.Fails)
		}
		w.behave("books", failures...)
		for range calls {
			w.call(w.t.Context(), 1, http.MethodGet, "/read/1", "")
		}
		runs := len(w.replicas["books-1"].Runs()) + len(w.replicas["books-2"].Runs())
		if bound := calls + calls/5 + 50; runs > bound {
			t.Errorf("%d runs of %d requests, want at most %d", runs, calls, bound)
		}
	})
}
