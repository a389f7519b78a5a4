package entry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
)

// linkBytesPerSecond is the link of a small VM, 10 Mbit/s.
const linkBytesPerSecond = 10e6 / 8

// TestLargeConfigurationIsInForceBehindSlowLinks fails if nodes with small links transfer a large
// configuration again and again without getting it.
func TestLargeConfigurationIsInForceBehindSlowLinks(t *testing.T) {
	const (
		routes = 4200
		// copies is how often a node may receive the bytes of a configuration.
		copies = 3
	)
	for _, nodes := range []int{6, 18} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			runFleet(t, nodes, func(w *testFleet) {
				for _, number := range w.numbers {
					w.network.LimitRate(w.clock, nodeIP(number), linkBytesPerSecond)
				}
				for revision := 2; revision <= 4; revision++ {
					w.sleep(settle)
					bytes := w.addRoutes(revision, routes)
					acknowledgedAt := w.clock.Now()
					w.sleep(changeInForce)
					for _, number := range w.numbers {
						path := fmt.Sprintf("/new/%d/1", revision)
						if a := w.call(w.t.Context(), number, http.MethodGet, path, ""); a.status != http.StatusOK {
							t.Errorf("node %d answers a route of revision %d with %d %v after its acknowledgement", number, revision, a.status, w.clock.Now().Sub(acknowledgedAt))
						}
						if received := w.network.BytesTo(nodeIP(number)); received > copies*(revision-1)*bytes {
							t.Errorf("node %d received %d bytes up to revision %d, a configuration has %d", number, received, revision, bytes)
						}
					}
				}
			})
		})
	}
}

func nodeIP(number int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(number)}) }

// addRoutes writes a configuration with many routes, one of which is /new/REVISION/, and returns
// its size.
func (w *testFleet) addRoutes(revision, routes int) int {
	var added strings.Builder
	for i := range routes {
		prefix := fmt.Sprintf("/more/%d/", i)
		if i == 0 {
			prefix = fmt.Sprintf("/new/%d/", revision)
		}
		fmt.Fprintf(&added, `{"name":"r-%08x","host":%q,"prefix":%q,"kind":"safe","timeout-ms":2000,"slo-ms":200,"priority":1,"service":"books","attempts":2,"public":true,"sticky":false,"resumable":false,"gap-aim-ms":400},`,
			i*revision*2654435761, host, prefix)
	}
	bytes := 0
	w.configure(revision, func(text string) string {
		text = strings.Replace(text, `"routes":[`, `"routes":[`+added.String(), 1)
		bytes = len(text)
		return text
	})
	return bytes
}
