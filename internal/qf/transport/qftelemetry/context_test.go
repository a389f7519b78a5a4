package qftelemetry_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/internal/qf/transport/qftelemetry"
)

// TestStatusUsesNewConnections guards that the question about a broken attempt
// never goes over an open connection, which may have gone silent, although the
// transport is wrapped for tracing.
func TestStatusUsesNewConnections(t *testing.T) {
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := &http.Client{Transport: qftelemetry.NewTracingTransport(&http.Transport{})}
	service := qfendpoint.NewService(client)
	endpoint := qf.Endpoint{ID: "e", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	const questions = 3
	for range questions {
		service.FetchStatus(t.Context(), endpoint, "attempt")
	}
	if got := opened.Load(); got != questions {
		t.Errorf("%d questions opened %d connections", questions, got)
	}
}
