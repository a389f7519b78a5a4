package qfhttp_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// TestUnreadBodyGetsItsAnswer fails if the answer to a request whose body wasn't read to its end is lost, since the connection is reset while the
// caller still writes.
func TestUnreadBodyGetsItsAnswer(t *testing.T) {
	const requests = 50
	tests := []struct {
		name string
		// bytes is the size of the body, and isKept is false if the request states Connection: close.
		bytes  int
		isKept bool
	}{
		{"small, kept", 8 << 10, true},
		{"small, closed", 8 << 10, false},
		{"200 KB, kept", 200 << 10, true},
		{"200 KB, closed", 200 << 10, false},
		{"2 MB, kept", 2 << 20, true},
		{"2 MB, closed", 2 << 20, false},
		{"8 MB, closed", 8 << 20, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "refused") // The caller checks it.
			})}
			budget := qfhttp.NewConnectionBudget(qftimer.NewWall(), 64<<20, func(qfhttp.LimitBreak) {})
			guarded := budget.Guard(server, listener, qfhttp.PortLimits{Name: "callers"})
			var running sync.WaitGroup
			running.Go(func() { _ = server.Serve(guarded) })
			defer running.Wait()
			defer server.Close() //nolint:errcheck // The test is over.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !test.isKept}, Timeout: time.Minute}
			body := bytes.Repeat([]byte("b"), test.bytes)
			lost := 0
			var last error
			for range requests {
				if err := postRefused(client, "http://"+listener.Addr().String(), body); err != nil {
					lost, last = lost+1, err
				}
			}
			if lost > 0 {
				t.Errorf("%d of %d answers were lost: %v", lost, requests, last)
			}
		})
	}
}

// postRefused sends a request that is refused, and returns an error if its answer doesn't come whole.
func postRefused(client *http.Client, url string, body []byte) error {
	response, err := client.Post(url, "text/plain", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusServiceUnavailable || string(text) != "refused") {
		return fmt.Errorf("got status %d, %q", response.StatusCode, text)
	}
	return err
}
