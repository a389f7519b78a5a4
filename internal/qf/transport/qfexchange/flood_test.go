package qfexchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qftest"
	"quetzalfront/internal/standin/standflood"
	"quetzalfront/platform"
)

// TestFloodsAreBounded fails if an endpoint that sends bytes without end fills the memory or
// isn't disconnected. A body that goes on is bounded by its reader and by the context.
func TestFloodsAreBounded(t *testing.T) {
	const mostBytes, longest = 4 << 20, time.Minute
	for _, flood := range standflood.All() {
		t.Run(string(flood), func(t *testing.T) {
			address, closed := qftest.StartFlood(t, flood, "X-Request-Id: a\r\n")
			counter := &qftest.ByteCounter{Most: mostBytes}
			client := NewClient(qftimer.NewWall(), counter.Dial, platform.Protocol{})
			ctx, cancel := context.WithTimeout(t.Context(), longest)
			defer cancel()
			answer, err := client.SendRequest(ctx, &qf.EndpointRequest{
				ID: "a", Endpoint: qf.Endpoint{ID: "e-1", Address: address}, Method: http.MethodPost, Target: "/", Host: "h.example",
				Body: []byte("body"), Header: http.Header{"X-Request-Id": {"a"}},
			})
			if err == nil {
				_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, mostBytes/2))
				_ = answer.Body.Close()
			}
			isBody := strings.HasSuffix(string(flood), "Body") || strings.HasPrefix(string(flood), "Event") || strings.HasPrefix(string(flood), "JSON")
			if err == nil && (!isBody || flood == standflood.StaleBody) || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("the exchange ended with %v", err)
			}
			counter.Check(t)
			<-closed // Ends once the connection is closed.
		})
	}
}
