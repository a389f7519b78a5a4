package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qftelemetry"
	"quetzalfront/pkg/qfapi"
)

// fetchPage returns the status and the body of the page at a URL.
func fetchPage(ctx context.Context, t *testing.T, client *http.Client, url string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// callerTraceParent is the traceparent header of the caller's request.
const callerTraceParent = "00-0102030405060708090a0b0c0d0e0f10-0102030405060708-01"

// persistentSpans keeps its spans after the exporter's shutdown.
type persistentSpans struct{ *tracetest.InMemoryExporter }

func (persistentSpans) Shutdown(context.Context) error { return nil }

// slowEngine is a client whose streams end a time after their attempt was cancelled.
type slowEngine struct{ qf.EngineClient }

// slowStream is a stream of a slowEngine.
type slowStream struct{ qf.ChunkStream }

// StartGeneration implements qf.EngineClient.
func (e slowEngine) StartGeneration(ctx context.Context, endpoint qf.Endpoint, r qf.GenerateRequest) (qf.ChunkStream, error) {
	stream, err := e.EngineClient.StartGeneration(ctx, endpoint, r)
	return slowStream{stream}, err
}

// Next implements qf.ChunkStream.
func (s slowStream) Next(ctx context.Context) (qf.StreamChunk, error) {
	chunk, err := s.ChunkStream.Next(ctx)
	if err != nil {
		<-qftimer.NewWall().After(time.Minute).C()
	}
	return chunk, err
}

// TestRequestKeepsOneTraceThroughHandOver guards against spans that are missing from the
// caller's trace, or have the wrong parent, when a request is handed over.
func TestRequestKeepsOneTraceThroughHandOver(t *testing.T) { testTraceOfHandOver(t, nil) }

// TestStopKeepsTraceOfSlowAttempt guards against the loss of the span of an attempt that
// ends late, when its node stops.
func TestStopKeepsTraceOfSlowAttempt(t *testing.T) {
	testTraceOfHandOver(t, func(engine qf.EngineClient) qf.EngineClient { return slowEngine{engine} })
}

// testTraceOfHandOver checks the spans of a request that is handed over.
func testTraceOfHandOver(t *testing.T, wrapEngine func(qf.EngineClient) qf.EngineClient) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		spans := persistentSpans{tracetest.NewInMemoryExporter()}
		s := newSystem(t)
		s.wrapEngine = wrapEngine
		first := s.start("node-1", spans, nil)
		client := s.client()
		streaming := make(chan struct{}, 1000)
		done := make(chan error, 1)
		go func() {
			answer, err := client.Chat(qftelemetry.ContextWithTraceParent(t.Context(), callerTraceParent), qfapi.ChatRequest{
				Model: "assistant", MaxTokens: 200, Messages: []qfapi.ChatMessage{{Role: "user", Content: "girth"}},
			}, func(string) { streaming <- struct{}{} })
			if err == nil && answer.Tokens != 200 {
				err = fmt.Errorf("the answer has %d tokens, want 200", answer.Tokens)
			}
			done <- err
		}()
		<-streaming
		second := s.start("node-2", spans, nil)
		first.Stop("test")
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // The last handler has returned and ended its span.
		second.Kill()
		got := describe(spans.GetSpans().Snapshots())
		want := []string{
			"attempt < POST /v1/chat/completions", "attempt < take over", "hand over < POST /v1/chat/completions",
			"POST /v1/chat/completions < caller", "POST /v1/chat/completions < caller", "take over < hand over",
			"GET /v1/nodes < caller",
		}
		sort.Strings(want)
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Errorf("spans:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	})
}

// describe lists the names of the spans of the caller's trace, each with its parent's.
func describe(spans []sdktrace.ReadOnlySpan) []string {
	names := map[string]string{"0102030405060708": "caller"}
	for _, s := range spans {
		names[s.SpanContext().SpanID().String()] = s.Name()
	}
	var lines []string
	for _, s := range spans {
		if s.SpanContext().TraceID().String() == "0102030405060708090a0b0c0d0e0f10" {
			lines = append(lines, s.Name()+" < "+names[s.Parent().SpanID().String()])
		}
	}
	sort.Strings(lines)
	return lines
}

// TestOperatorPortServesMetricsAndProfiles guards against missing pages on the operators'
// port and against missing or misnamed metrics.
func TestOperatorPortServesMetricsAndProfiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.start("node-1", nil, nil)
		chat := qfapi.ChatRequest{
			Model: "assistant", MaxTokens: 5, Messages: []qfapi.ChatMessage{{Role: "user", Content: "girth"}},
		}
		if _, err := s.client().Chat(t.Context(), chat, nil); err != nil {
			t.Fatal(err)
		}
		chat.MaxTokens = 1 << 30
		if _, err := s.client().Chat(t.Context(), chat, nil); err == nil {
			t.Fatal("a request over MaxTokens was accepted")
		}
		synctest.Wait() // A handler counts its request once the caller has the whole answer.
		tests := []struct{ path, want string }{
			{qfapi.PathHealth, ""},
			{qfapi.PathReady, ""},
			{qfapi.PathMetrics, `quetzalfront_requests_total{otel_scope_name="quetzalfront",otel_scope_schema_url="",` +
				`otel_scope_version="",quetzalfront_entry="assistant",quetzalfront_outcome="Answered"} 1`},
			{qfapi.PathMetrics, `quetzalfront_output_tokens_total{otel_scope_name="quetzalfront",otel_scope_schema_url="",` +
				`otel_scope_version="",quetzalfront_entry="assistant",quetzalfront_version="v1"} `},
			{qfapi.PathMetrics, `quetzalfront_active_requests{otel_scope_name="quetzalfront",otel_scope_schema_url="",otel_scope_version=""} 0`},
			{qfapi.PathMetrics, "quetzalfront_attempt_time_to_first_token_seconds_count"},
			{qfapi.PathMetrics, "http_server_request_duration_seconds_count"},
			{qfapi.PathProfiles, "goroutine"},
			{qfapi.PathProfiles + "goroutine?debug=1", "goroutine profile"},
		}
		for _, test := range tests {
			status, body := s.get(t.Context(), s.operators[0], test.path)
			if status != http.StatusOK || !strings.Contains(body, test.want) {
				t.Errorf("%s: status %d, want 200 and %q in %s", test.path, status, test.want, body)
			}
		}
	})
}
