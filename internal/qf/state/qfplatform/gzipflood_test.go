package qfplatform

import (
	"compress/gzip"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfresponse"
)

// TestCompressedFloodIsBounded fails if an answer that is small while compressed fills the memory.
func TestCompressedFloodIsBounded(t *testing.T) {
	const blocks = 1 << 10
	written := make(chan int, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		compressor := gzip.NewWriter(w)
		text := strings.Repeat("x", 1<<20)
		_, _ = io.WriteString(compressor, `{"rows":"`)
		count := 0
		for ; count < blocks; count++ {
			if _, err := io.WriteString(compressor, text); err != nil {
				break
			}
		}
		written <- count
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close() //nolint:errcheck // The test is over.
	client := NewClient(netip.MustParseAddrPort(listener.Addr().String()), time.Minute, (&net.Dialer{}).DialContext)
	var answer any
	err = client.Read(t.Context(), qf.StepTableRead, client.NewRequest().Get("/"), &answer)
	if !errors.Is(err, qfresponse.ErrTooLarge) {
		t.Errorf("the call ended with %v, want %v", err, qfresponse.ErrTooLarge)
	}
	<-written
}
