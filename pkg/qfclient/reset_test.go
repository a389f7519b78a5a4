package qfclient_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"quetzalfront/internal/qftest"
	"quetzalfront/internal/standin/standsocket"
	"quetzalfront/pkg/qfapi"
	"quetzalfront/pkg/qfclient"
)

// TestResetDuringUpload fails if a part of a service's answer without a length counts as the whole one because the write of the
// call, and not the read, got the error of the reset.
func TestResetDuringUpload(t *testing.T) {
	standard := http.DefaultTransport
	defer func() { http.DefaultTransport = standard }()
	transport := standard.(*http.Transport).Clone()
	transport.DialContext = qftest.DialLateWrites(transport.DialContext)
	http.DefaultTransport = transport // The client's transport is a copy of it.
	const calls = 20
	for range calls {
		ctx, cancel := context.WithCancel(t.Context())
		var attempts atomic.Int64
		address := qftest.StartSocket(t, &standsocket.Server{Ending: standsocket.Resets, Answer: func(r *http.Request) string {
			if strings.HasPrefix(r.URL.Path, qfapi.PathNodes) {
				return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
			}
			if attempts.Add(1) > 1 {
				cancel() // The first one has failed, as it must.
			}
			return "HTTP/1.1 200 OK\r\n" + qfapi.HeaderRan + ": Yes\r\n\r\nfiled a pa"
		}})
		client := qfclient.New(qfclient.Options{Seeds: []netip.AddrPort{address}, Organisation: "parks"})
		answer, err := client.Do(ctx, qfclient.Call{
			Entry: "register", Method: http.MethodPost, Path: "/permits", IdempotencyKey: "k", Body: make([]byte, standsocket.LongUploadBytes),
		})
		cancel()
		if err == nil {
			t.Errorf("%q counts as the whole answer", answer.Body)
		}
	}
}
