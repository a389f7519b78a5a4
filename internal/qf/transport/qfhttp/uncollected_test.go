package qfhttp_test

import (
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"

	"quetzalfront/internal/qf/transport/qfhttp"
)

// TestClosedMemoryIsCollected fails if a node gives memory that a large head held to the next ones before the collector has freed it, or if requests that
// hold little make the collector run. The collector doesn't run by itself meanwhile.
func TestClosedMemoryIsCollected(t *testing.T) {
	const memory = 1 << 20
	tests := []struct {
		name string
		// bytes is the size of a head's largest field, and requests is their number.
		bytes, requests int
		isKept          bool
		wantCollected   bool
	}{
		{"large, connections closed", 15 << 10, 100, false, true},
		{"large, connections kept", 15 << 10, 100, true, true},
		{"small, connections closed", 1 << 10, 2000, false, false},
		{"small, connections kept", 1 << 10, 2000, true, false},
		{"few large ones", 15 << 10, 8, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startBudgeted(t, memory, qfhttp.PortLimits{Name: "callers", Connections: 100})
			defer debug.SetGCPercent(debug.SetGCPercent(-1))
			runtime.GC()
			before := forcedCollections()
			request := "GET /plain HTTP/1.1\r\nHost: h\r\nX-Large: " + strings.Repeat("a", test.bytes) + "\r\n\r\n"
			connection := s.dial("")
			for range test.requests {
				if !test.isKept {
					_ = connection.Close() // Each request was answered.
					connection = s.dial("")
				}
				_, _ = connection.Write([]byte(request)) // The answer is checked.
				if got, _, _ := status(connection); got != http.StatusOK {
					t.Fatalf("got status %d", got)
				}
				<-s.started
			}
			if got := forcedCollections() > before; got != test.wantCollected {
				t.Errorf("collected %t, want %t", got, test.wantCollected)
			}
		})
	}
}

// forcedCollections returns how often the collector was run on demand.
func forcedCollections() uint32 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.NumForcedGC
}
