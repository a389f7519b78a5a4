package qftelemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// headerTraceParent is the header of the W3C trace context.
const headerTraceParent = "traceparent"

var traceContext propagation.TraceContext

// TraceParentOf returns the W3C trace context of the span in the context, or "".
func TraceParentOf(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	traceContext.Inject(ctx, carrier)
	return carrier.Get(headerTraceParent)
}

// ContextWithTraceParent returns a context whose parent span is the W3C trace context. A
// malformed one is ignored.
func ContextWithTraceParent(ctx context.Context, traceParent string) context.Context {
	if traceParent == "" {
		return ctx
	}
	return traceContext.Extract(ctx, propagation.MapCarrier{headerTraceParent: traceParent})
}

// propagating passes the trace context on in the headers of requests.
type propagating struct {
	*http.Transport
}

// NewTracingTransport returns a transport that passes the trace context of a request's
// context on in its headers.
func NewTracingTransport(transport *http.Transport) http.RoundTripper { return &propagating{transport} }

// RoundTrip implements http.RoundTripper.
func (p *propagating) RoundTrip(request *http.Request) (*http.Response, error) {
	if !trace.SpanContextFromContext(request.Context()).IsValid() {
		return p.Transport.RoundTrip(request)
	}
	traced := request.Clone(request.Context())
	traceContext.Inject(request.Context(), propagation.HeaderCarrier(traced.Header))
	return p.Transport.RoundTrip(traced)
}

// Unpooled returns a transport that opens a new connection for each request.
func (p *propagating) Unpooled() http.RoundTripper {
	unpooled := p.Clone()
	unpooled.DisableKeepAlives = true
	return NewTracingTransport(unpooled)
}
