package qftelemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"quetzalfront/internal/qf"
)

// TestRuntimeMetricsDontCrowdOutTheNodesOwn fails if a scraper that reads only the first bytes
// of the node's metrics gets those of the Go runtime instead.
func TestRuntimeMetricsDontCrowdOutTheNodesOwn(t *testing.T) {
	telemetry, err := New(Config{Node: "n", AvailabilityZone: "z"})
	if err != nil {
		t.Fatal(err)
	}
	telemetry.RecordTransfer("Operator", "Store", qf.Done, 100)
	tests := []struct {
		name    string
		handler http.Handler
		has     string
		lacks   string
	}{
		{"own", telemetry.MetricsHandler(), "quetzalfront_feed_bytes_total", "go_goroutines"},
		{"runtime", telemetry.RuntimeMetricsHandler(), "go_goroutines", "quetzalfront_feed_bytes_total"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			tt.handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
			if body := recorder.Body.String(); !strings.Contains(body, tt.has) || strings.Contains(body, tt.lacks) {
				t.Errorf("want %s and not %s in %s", tt.has, tt.lacks, body)
			}
		})
	}
}
