package qfhttp_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// TestEvictedRequestIsRefusedBesideSilentConnections fails if a request that was read whole on an evicted connection gets neither an answer nor a
// refusal while as many silent connections are refused as are at once.
func TestEvictedRequestIsRefusedBesideSilentConnections(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	parsed, goOn, running := make(chan struct{}), make(chan struct{}), make(chan struct{}, 2)
	evicted := make(chan struct{}, 1000)
	var isHeld atomic.Bool
	release := make(chan struct{})
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			running <- struct{}{}
			<-release
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateActive {
				if isHeld.CompareAndSwap(false, true) {
					close(parsed)
					<-goOn // The node is late to the first request, which it has parsed.
				}
			}
		},
	}
	guarded := qfhttp.NewConnectionBudget(qftimer.NewWall(), 0, func(qfhttp.LimitBreak) { evicted <- struct{}{} }).
		Guard(server, raw, qfhttp.PortLimits{Name: "callers", Connections: 1})
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(guarded) })
	defer serving.Wait()
	defer server.Close() //nolint:errcheck // The test is over.
	defer close(release)
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(qftimer.NewWall().Now().Add(10 * time.Second))
		_, _ = io.WriteString(c, text)
		return c
	}
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	first := dial(request)
	<-parsed
	_ = dial(request) // It evicts the first.
	<-evicted
	<-running
	for range 64 {
		_ = dial("") // Refused: a request is in progress on the only other one.
		<-evicted
	}
	close(goOn)
	answer, err := io.ReadAll(first)
	if len(answer) == 0 {
		t.Errorf("no answer: %q, %v", answer, err)
	}
}
