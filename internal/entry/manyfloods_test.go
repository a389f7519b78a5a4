package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standflood"
)

// addHeldFlood lists an endpoint that sends a part of an answer on each connection and is silent then.
func (w *testFleet) addHeldFlood(entryName string, flood standflood.Flood, most int) {
	const number, slots = 40, 1000
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, 0, number}), 80)
	listener, err := w.network.From(address.Addr()).Listen(w.t.Context(), address)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &standflood.Server{
		Flood: flood, Fields: "X-Request-Id: held\r\nX-Response-Stamp: s\r\n", Most: most, Pause: func() { w.sleep(floodPause) },
	}
	go server.Serve(listener)
	w.t.Cleanup(func() { _ = listener.Close() })
	w.store.Put("servers", "flood", fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"north-a","version":"v1","slots":%d,"state":"ready","cold-left-ms":0,"seq":1,"born":1}`,
		entryName, address.String(), slots))
}

// askWithoutReading sends requests to the first node over connections from which nothing is read.
func (w *testFleet) askWithoutReading(path string, count int) (open []net.Conn, end func()) {
	request := "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + goodKey +
		"\r\nX-Request-Id: held\r\nX-Token-Counts: " + tokens + "\r\nContent-Length: 4\r\n\r\nbody"
	open = make([]net.Conn, count)
	for i := range open {
		connection, err := w.network.From(callerIP).Dial(w.t.Context(), "tcp", "10.1.0.1:1")
		if err != nil {
			w.t.Fatal(err)
		}
		if _, err := io.WriteString(connection, request); err != nil {
			w.t.Fatal(err)
		}
		open[i] = connection
	}
	return open, func() {
		for _, connection := range open {
			_ = connection.Close()
		}
	}
}

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestFloodsOfManyAnswersAreBounded fails if the parts of many answers, each within the bound of one answer, take more than the
// process's memory.
func TestFloodsOfManyAnswersAreBounded(t *testing.T) {
	const (
		memoryBytes = 64 << 20
		callers     = 300
	)
	tests := []struct {
		name, entry, path, ordinary string
		flood                       standflood.Flood
		most                        int
	}{
		{"event", "chat", "/talk/1", "/read/1", standflood.Event, 1000 << 10},
		{"body", "books", "/file/1", "/ask/1", standflood.LengthBody, 240 << 10},
		{"body of slow callers", "books", "/file/1", "/ask/1", standflood.LengthBody, 1 << 20},
		{"head", "books", "/file/1", "/ask/1", standflood.HeaderField, 60 << 10},
		{"head of many lines", "books", "/file/1", "/ask/1", standflood.HeaderLines, 60 << 10},
		{"head of many names", "books", "/file/1", "/ask/1", standflood.HeaderNames, 60 << 10},
		{"heads of interim answers", "books", "/file/1", "/ask/1", standflood.Interim, 60 << 10},
		{"chunk extension", "books", "/file/1", "/ask/1", standflood.ChunkSize, 1 << 20},
		{"trailer", "books", "/file/1", "/ask/1", standflood.Trailer, 1 << 20},
		{"events of slow callers", "chat", "/talk/1", "/read/1", standflood.Events, 1 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			prepare := func(w *testFleet) { w.process = qf.ProcessLimits{MemoryBytes: memoryBytes} }
			runPreparedFleet(t, 1, prepare, func(w *testFleet) {
				for _, id := range []string{tt.entry + "-1", tt.entry + "-2"} {
					w.store.Remove("servers", id)
				}
				w.addHeldFlood(tt.entry, tt.flood, tt.most)
				w.sleep(time.Second)
				before := heapBytes()
				_, end := w.askWithoutReading(tt.path, callers)
				defer end()
				w.sleep(100 * floodPause)
				if held := heapBytes() - before; held > memoryBytes {
					t.Errorf("%d bytes are held, want at most %d", held, memoryBytes)
				} else {
					t.Logf("%d bytes are held", held)
				}
				if a := w.call(w.t.Context(), 1, http.MethodPost, tt.ordinary, "body", "X-Token-Counts", tokens); a.status != http.StatusOK || a.err != nil {
					t.Errorf("another request gets %d, %v", a.status, a.err)
				}
			})
		})
	}
}
