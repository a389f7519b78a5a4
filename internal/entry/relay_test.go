package entry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// TestLeavingIsInForceBehindACutRelay fails if the members of a relay that no longer gets the
// store's answers go on sending work to an endpoint that has announced that it leaves.
func TestLeavingIsInForceBehindACutRelay(t *testing.T) {
	const relay, member = 1, 3
	relayIP := netip.AddrFrom4([4]byte{10, 1, 0, relay})
	for offset := time.Duration(0); offset < 3*time.Second; offset += 300 * time.Millisecond {
		t.Run(fmt.Sprint("cut ", offset, " into a poll"), func(t *testing.T) {
			runFleet(t, 4, func(w *testFleet) {
				w.sleep(offset)
				w.network.Partition(func(a, b netip.Addr) bool {
					return a == relayIP && b == storeAddress.Addr() || b == relayIP && a == storeAddress.Addr()
				})
				w.store.Put("servers", "chat-2", []byte(
					`{"service":"chat","address":"10.8.0.2:80","zone":"north-a","version":"v1","slots":8,"state":"draining","seq":2,"born":1}`))
				drainedAt := w.clock.Now()
				for w.clock.Now().Sub(drainedAt) < 6*time.Second {
					w.call(w.t.Context(), member, http.MethodPost, "/ask/1", "body", "X-Token-Counts", "500,100")
					w.sleep(20 * time.Millisecond)
				}
				for _, run := range w.replicas["chat-2"].Runs() {
					if late := run.At.Sub(drainedAt); late > leavingInForce {
						t.Fatalf("a leaving endpoint got a request %v after the acknowledgement", late)
					}
				}
				w.network.Heal()
			})
		})
	}
}
