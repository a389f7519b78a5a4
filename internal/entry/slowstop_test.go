package entry_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestStopThatWaitsForOthersCutsNoAnswer fails if a node that stops while the store, or its peers, don't answer goes on accepting requests that
// can't end before the grace does, and cuts them, or
// is still at work when its process is killed.
func TestStopThatWaitsForOthersCutsNoAnswer(t *testing.T) {
	const first, step, latest = 2600 * time.Millisecond, 200 * time.Millisecond, 7400 * time.Millisecond
	isNode := func(a netip.Addr) bool { return a.As4()[0] == 10 && a.As4()[1] == 1 }
	tests := []struct {
		name string
		// isSilent reports whether the nodes get no answers from an address.
		isSilent func(a netip.Addr) bool
		// silentFrom is when that begins after the stop.
		silentFrom time.Duration
	}{
		{"nobody is silent", func(netip.Addr) bool { return false }, 0},
		{"the store", func(a netip.Addr) bool { return a == storeAddress.Addr() }, 0},
		{"the other nodes", isNode, 0},
		{"the other nodes at the end", isNode, 7 * time.Second},
		{"the store and the other nodes", func(a netip.Addr) bool { return isNode(a) || a == storeAddress.Addr() }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 2, func(w *testFleet) {
				w.configure(2, func(text string) string { return strings.ReplaceAll(text, `"timeout-ms":4000`, `"timeout-ms":15000`) })
				w.sleep(time.Second)
				var wait sync.WaitGroup
				w.setWorkTime(time.Minute) // One request lasts longer than the grace.
				wait.Go(func() { w.call(w.t.Context(), 1, http.MethodPost, "/talk/1", "", "X-Token-Counts", "500,20") })
				w.sleep(100 * time.Millisecond)
				w.setWorkTime(4500 * time.Millisecond)
				silent := func(a, b netip.Addr) bool { return isNode(a) && tt.isSilent(b) }
				wait.Go(func() {
					w.sleep(tt.silentFrom)
					w.network.Partition(silent)
				})
				stopAt := w.clock.Now()
				wait.Go(func() {
					w.nodes[0].Stop(context.Background())
					if took := w.clock.Now().Sub(stopAt); took > 7900*time.Millisecond {
						w.t.Errorf("the stop took %v, and the process is killed after 8s", took)
					}
				})
				w.sleep(first)
				for sentAt := first; sentAt <= latest; sentAt += step {
					wait.Go(func() {
						a := w.call(w.t.Context(), 1, http.MethodPost, "/talk/1", "", "X-Token-Counts", "500,20")
						if a.err != nil && w.runsOf(a.id) > 0 {
							w.t.Errorf("the stream sent %v after the stop began ran and was cut after %v: %v", sentAt, w.clock.Now().Sub(stopAt), a.err)
						}
					})
					w.sleep(step)
				}
				wait.Wait()
				w.network.Heal()
				w.nodes = w.nodes[1:]
			})
		})
	}
}

// setWorkTime sets how long the endpoints work on a request that arrives from now on.
func (w *testFleet) setWorkTime(work time.Duration) {
	for _, replica := range w.replicas {
		replica.SetWorkTime(work)
	}
}
