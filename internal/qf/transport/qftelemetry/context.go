package qftelemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// headerTraceParent is the name of the W3C trace context header.
const headerTraceParent = "traceparent"

var traceContext propagation.TraceContext

// TraceParentOf returns the W3C trace context of the context's span, or "" if it has none.
func TraceParentOf(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	traceContext.Inject(ctx, carrier)
	return carrier.Get(headerTraceParent)
}

// ContextWithTraceParent returns a context whose spans have the W3C trace context as their
// parent. A malformed trace context is ignored.
func ContextWithTraceParent(ctx context.Context, traceParent string) context.Context {
	if traceParent == "" {
		return ctx
	}
	return traceContext.Extract(ctx, propagation.MapCarrier{headerTraceParent: traceParent})
}

// tracingTransport adds the trace context to the headers of requests.
type tracingTransport struct {
	*http.Transport
}

// NewTracingTransport returns a transport that adds the trace context of a request's
// context to its headers.
func NewTracingTransport(transport *http.Transport) http.RoundTripper {
	return &tracingTransport{transport}
}

// RoundTrip implements http.RoundTripper.
func (t *tracingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !trace.SpanContextFromContext(request.Context()).IsValid() {
		return t.Transport.RoundTrip(request)
	}
	traced := request.Clone(request.Context())
	traceContext.Inject(request.Context(), propagation.HeaderCarrier(traced.Header))
	return t.Transport.RoundTrip(traced)
}

// Unpooled returns a transport that opens a new connection for each request.
func (t *tracingTransport) Unpooled() http.RoundTripper {
	unpooled := t.Clone()
	unpooled.DisableKeepAlives = true
	return NewTracingTransport(unpooled)
}
