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

// TestStatusUsesNewConnections fails if the status of a broken attempt is fetched over an open
// connection, which may no longer deliver data: tracing wraps the transport and must not hide
// its Unpooled method.
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
	const calls = 3
	for range calls {
		service.FetchStatus(t.Context(), endpoint, "attempt")
	}
	if got := opened.Load(); got != calls {
		t.Errorf("%d calls opened %d connections", calls, got)
	}
}
