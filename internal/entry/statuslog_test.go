package entry_test

import (
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

// TestStatusChangesAreLogged fails if a change of the observed state of an endpoint or a peer
// is missing from the log or logged twice.
func TestStatusChangesAreLogged(t *testing.T) {
	const silence = 10 * time.Second
	runFleet(t, 2, func(w *testFleet) {
		if got := w.log.count(`"Event":421`, `"Peer":"node-1"`); got != 1 {
			t.Errorf("%d lines report node-1 as live, want 1", got)
		}
		w.replicas["books-1"].SetNextBehaviours(slices.Repeat([]standreplica.Behaviour{standreplica.Resets}, 40)...)
		for range 60 {
			w.call(w.t.Context(), 2, http.MethodGet, "/read/1", "")
		}
		w.sleep(time.Second)
		if w.log.count(`"Event":240`, `"Endpoint":"books-1"`) == 0 {
			t.Error("no line reports that the failing endpoint was ejected")
		}
		other := netip.MustParseAddr("10.1.0.1")
		w.network.Partition(func(a, b netip.Addr) bool { return a == other || b == other })
		w.sleep(silence)
		if got := w.log.count(`"Event":420`, `"Peer":"node-1"`); got != 1 {
			t.Errorf("%d lines report node-1 as lost, want 1", got)
		}
		w.network.Heal()
		w.sleep(silence)
		if got := w.log.count(`"Event":421`, `"Peer":"node-1"`); got != 2 {
			t.Errorf("%d lines report node-1 as live, want 2", got)
		}
	})
}
