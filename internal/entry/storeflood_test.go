package entry_test

import (
	"net/http"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standflood"
)

// TestFloodsOfStoreAreBounded fails if a store whose answers don't end makes the node hold more than half of its memory, to which
// the collector adds as much, or if the node doesn't serve meanwhile.
func TestFloodsOfStoreAreBounded(t *testing.T) {
	const memoryBytes = 284 << 20
	for _, flood := range []standflood.Flood{standflood.JSON, standflood.JSONRows} {
		t.Run(string(flood), func(t *testing.T) {
			prepare := func(w *testFleet) { w.process = qf.ProcessLimits{MemoryBytes: memoryBytes} }
			runPreparedFleet(t, 1, prepare, func(w *testFleet) {
				before := heapBytes()
				_ = w.servers[0].Close()
				listener, err := w.network.From(storeAddress.Addr()).Listen(t.Context(), storeAddress)
				if err != nil {
					t.Fatal(err)
				}
				defer listener.Close() //nolint:errcheck // The test is over.
				server := &standflood.Server{Flood: flood, Pause: func() { w.sleep(floodPause) }}
				go server.Serve(listener)
				most := int64(0)
				for range 20 {
					w.sleep(100 * time.Millisecond)
					most = max(most, heapBytes()-before)
				}
				if most > memoryBytes/2 {
					t.Errorf("%d bytes are held, want at most %d", most, memoryBytes/2)
				} else {
					t.Logf("%d bytes are held", most)
				}
				if a := w.call(w.t.Context(), 1, http.MethodPost, "/read/1", "body"); a.status != http.StatusOK || a.err != nil {
					t.Errorf("another request gets %d, %v", a.status, a.err)
				}
			})
		})
	}
}
