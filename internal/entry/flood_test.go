package entry_test

import (
	"bufio"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/standin/standflood"
)

// floodPause is the time between two writes of a flood.
const floodPause = time.Millisecond

// addFlood lists an endpoint that answers with bytes without end. The returned function reports
// how many of its connections were closed by the node.
func (w *testFleet) addFlood(id, entryName string, number int, flood standflood.Flood, fields string) (closed func() int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, 0, byte(number)}), 80)
	listener, err := w.network.From(address.Addr()).Listen(w.t.Context(), address)
	if err != nil {
		w.t.Fatal(err)
	}
	count := make(chan struct{}, 100)
	server := &standflood.Server{
		Flood: flood, Fields: fields, Pause: func() { w.sleep(floodPause) }, Closed: func() { count <- struct{}{} },
	}
	go server.Serve(listener)
	w.t.Cleanup(func() { _ = listener.Close() })
	w.list(id, entryName, address.String(), "ready")
	return func() int { return len(count) }
}

// TestFloodOfEndpointEndsInTime fails if a caller waits past its route's timeout, or gets an answer
// that looks complete, because an endpoint sends bytes without end.
func TestFloodOfEndpointEndsInTime(t *testing.T) {
	tests := []struct {
		path    string
		entry   string
		timeout time.Duration
	}{
		{"/read/1", "books", 2 * time.Second},
		{"/talk/1", "chat", 4 * time.Second},
	}
	for _, tt := range tests {
		for _, flood := range standflood.All() {
			t.Run(tt.entry+"/"+string(flood), func(t *testing.T) {
				runFleet(t, 1, func(w *testFleet) {
					for _, id := range []string{"books-1", "books-2", "chat-1", "chat-2"} {
						w.store.Remove("servers", id)
					}
					closed := w.addFlood("flood", tt.entry, 40, flood, "X-Request-Id: request-1\r\nX-Response-Stamp: s\r\n")
					w.sleep(time.Second)
					began := w.clock.Now()
					a := w.call(w.t.Context(), 1, http.MethodPost, tt.path, "body", "X-Token-Counts", tokens)
					if a.status == http.StatusOK && a.err == nil {
						t.Errorf("the caller got %d bytes as a complete answer", len(a.body))
					}
					if took := w.clock.Now().Sub(began); took > tt.timeout+500*time.Millisecond {
						t.Errorf("the answer took %v", took)
					}
					w.sleep(time.Second)
					if closed() == 0 {
						t.Error("the connection stays open")
					}
				})
			})
		}
	}
}

// TestFloodOfCallerIsRefused fails if a caller's request without end, or one that states a great
// length, takes the node's memory, or if the caller isn't disconnected.
func TestFloodOfCallerIsRefused(t *testing.T) {
	const head = "POST /file/1 HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + goodKey + "\r\nX-Request-Id: r\r\n"
	line := strings.Repeat("x", 4<<10)
	tests := []struct {
		name, once, again string
		status            string
	}{
		{"great length", head + "Content-Length: 200000000\r\n\r\n", line, " 413 "},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + line + "\r\n", " 413 "},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", line, " 400 "},
		{"header field", head + "X-Long: ", line, " 431 "},
		{"header fields", head, "X-Some: " + line + "\r\n", " 431 "},
		{"request line", "POST /", line, " 431 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 1, func(w *testFleet) {
				connection, err := w.network.From(callerIP).Dial(w.t.Context(), "tcp", "10.1.0.1:1")
				if err != nil {
					t.Fatal(err)
				}
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				sent := make(chan int, 1)
				go func() {
					count := 0
					for text := tt.once + tt.again; count < 64<<20; text = tt.again {
						n, err := io.WriteString(connection, text)
						count += n
						if err != nil {
							break
						}
						w.sleep(floodPause)
					}
					sent <- count
				}()
				answer, _ := bufio.NewReader(connection).ReadString('\n')
				runtime.ReadMemStats(&after)
				if !strings.Contains(answer, tt.status) {
					t.Errorf("the answer is %q, want%s", answer, tt.status)
				}
				const mostBytes = 8 << 20
				if taken := after.TotalAlloc - before.TotalAlloc; taken > mostBytes {
					t.Errorf("%d bytes were allocated", taken)
				}
				w.sleep(20 * time.Second)
				_ = connection.Close() // The node has closed it, or it never would.
				if count := <-sent; count > mostBytes {
					t.Errorf("%d bytes were accepted", count)
				}
				if a := w.call(w.t.Context(), 1, http.MethodPost, "/file/1", "body"); a.status != http.StatusOK {
					t.Errorf("another request gets %d", a.status)
				}
			})
		})
	}
}
