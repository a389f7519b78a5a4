package qftelemetry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"quetzalfront/internal/qf/state/qftimer"
)

const (
	sampledParent   = "00-0102030405060708090a0b0c0d0e0f10-0102030405060708-01"
	unsampledParent = "00-0102030405060708090a0b0c0d0e0f10-0102030405060708-00"
)

// TestSamplingIsBounded fails if callers who sample every request exceed the rate limit, or if
// inner spans don't follow their parent.
func TestSamplingIsBounded(t *testing.T) {
	tests := []struct {
		name   string
		parent string
		kind   trace.SpanKind
		ratio  float64
		rate   float64
		// want is the number of recorded spans out of 100 at one time, wantLater out of
		// 100 a second later.
		want, wantLater int
	}{
		{"no parent, ratio 0", "", trace.SpanKindServer, 0, 1000, 0, 0},
		{"no parent, ratio 1", "", trace.SpanKindServer, 1, 1000, 100, 100},
		{"no parent, over the rate", "", trace.SpanKindServer, 1, 10, 10, 10},
		{"sampled parent, ratio 0", sampledParent, trace.SpanKindServer, 0, 1000, 100, 100},
		{"sampled parent, over the rate", sampledParent, trace.SpanKindServer, 0, 10, 10, 10},
		{"unsampled parent, ratio 1", unsampledParent, trace.SpanKindServer, 1, 1000, 0, 0},
		{"inner span follows a sampled parent", sampledParent, trace.SpanKindClient, 0, 1, 100, 100},
		{"inner span without a request", "", trace.SpanKindClient, 1, 1000, 0, 0},
		{"malformed parent counts as none", "00-xyz", trace.SpanKindServer, 0, 1000, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := qftimer.NewVirtual(time.Unix(1, 0))
			s := newSampler(&Config{Clock: clock, TraceRatio: test.ratio, MaxTracesPerSecond: test.rate})
			for _, want := range []int{test.want, test.wantLater} {
				got := 0
				for i := range 100 {
					p := sdktrace.SamplingParameters{
						ParentContext: ContextWithTraceParent(context.Background(), test.parent), Kind: test.kind,
						TraceID: trace.TraceID{15: byte(i + 1)},
					}
					if s.ShouldSample(p).Decision == sdktrace.RecordAndSample {
						got++
					}
				}
				if got != want {
					t.Errorf("%d of 100 recorded, want %d", got, want)
				}
				clock.Advance(time.Second)
			}
		})
	}
}

// TestTransportAddsTheTraceContext fails if endpoints don't receive the trace context, or if
// the caller's request is modified.
func TestTransportAddsTheTraceContext(t *testing.T) {
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = r.Header.Get(headerTraceParent)
	}))
	defer server.Close()
	client := &http.Client{Transport: NewTracingTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for _, want := range []string{sampledParent, unsampledParent, ""} {
		request, err := http.NewRequestWithContext(ContextWithTraceParent(t.Context(), want), http.MethodGet, server.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if got != want || request.Header.Get(headerTraceParent) != "" {
			t.Errorf("the endpoint received %q, want %q", got, want)
		}
	}
}
