package entry_test

import (
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/standin/standreplica"
)

// TestBeliefsAreLogged guards that each change of what a node takes its endpoints and peers
// for can be found in the log.
func TestBeliefsAreLogged(t *testing.T) {
	const silence = 10 * time.Second
	inWorld(t, 2, func(w *world) {
		if got := w.log.count(`"Event":421`, `"Peer":"node-1"`); got != 1 {
			t.Errorf("%d lines tell that node-1 is heard, want 1", got)
		}
		w.replicas["books-1"].SetNextBehaviours(slices.Repeat([]standreplica.Behaviour{standreplica.Resets}, 40)...)
		for range 60 {
			w.call(w.t.Context(), 2, http.MethodGet, "/read/1", "")
		}
		w.sleep(time.Second)
		if w.log.count(`"Event":240`, `"Endpoint":"books-1"`) == 0 {
			t.Error("no line tells that a failing endpoint gets no work")
		}
		other := netip.MustParseAddr("10.1.0.1")
		w.network.Partition(func(a, b netip.Addr) bool { return a == other || b == other })
		w.sleep(silence)
		if got := w.log.count(`"Event":420`, `"Peer":"node-1"`); got != 1 {
			t.Errorf("%d lines tell that node-1 is silent, want 1", got)
		}
		w.network.Heal()
		w.sleep(silence)
		if got := w.log.count(`"Event":421`, `"Peer":"node-1"`); got != 2 {
			t.Errorf("%d lines tell that node-1 is heard, want 2", got)
		}
	})
}
