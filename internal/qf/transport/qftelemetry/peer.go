package qftelemetry

import (
	"context"
	"net/netip"
	"slices"

	"go.opentelemetry.io/otel/trace"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/transport/qfrpc"
)

// tracedPeerClient records a span for each request that is handed over.
type tracedPeerClient struct {
	qf.PeerClient
	telemetry *Telemetry
}

// WrapPeerClient wraps a client so that each request that is handed over has a span. The
// records carry the span's trace context to the peer.
func (t *Telemetry) WrapPeerClient(peer qf.PeerClient) qf.PeerClient {
	return &tracedPeerClient{peer, t}
}

// HandOverRequests implements qf.PeerClient.
func (p *tracedPeerClient) HandOverRequests(ctx context.Context, address netip.AddrPort, records []qf.RequestRecord) qf.Result[[]qf.RequestID] {
	traced, spans := p.telemetry.startSpans(ctx, spanHandOver, trace.SpanKindClient, records)
	for _, span := range spans {
		span.SetAttributes(keyPeer.String(address.String()))
	}
	result := p.PeerClient.HandOverRequests(ctx, address, traced)
	p.telemetry.recordHandOver(ctx, result.Certainty, len(result.Value))
	for _, span := range spans {
		recordResult(span, result)
		span.End()
	}
	return result
}

// startSpans starts a span in the trace of each record. It returns the spans and copies of
// the records that carry the spans' trace contexts.
func (t *Telemetry) startSpans(ctx context.Context, name string, kind trace.SpanKind, records []qf.RequestRecord) ([]qf.RequestRecord, []trace.Span) {
	traced := append([]qf.RequestRecord(nil), records...)
	spans := make([]trace.Span, 0, len(records))
	for i := range traced {
		request := &traced[i].Request
		spanCtx, span := t.tracer.Start(ContextWithTraceParent(ctx, request.TraceParent), name, trace.WithSpanKind(kind),
			trace.WithAttributes(keyRequest.String(string(request.ID)), keyEntry.String(string(request.Entry))))
		request.TraceParent = TraceParentOf(spanCtx)
		spans = append(spans, span)
	}
	return traced, spans
}

// tracedPeerHandler records a span for each request that is offered for takeover.
type tracedPeerHandler struct {
	qfrpc.Handler
	telemetry *Telemetry
}

// WrapPeerHandler wraps a handler so that each request that is offered for takeover has a
// span.
func (t *Telemetry) WrapPeerHandler(handler qfrpc.Handler) qfrpc.Handler {
	return &tracedPeerHandler{handler, t}
}

// TakeOver implements qfrpc.Handler.
func (h *tracedPeerHandler) TakeOver(records []qf.RequestRecord) []qf.RequestID {
	traced, spans := h.telemetry.startSpans(context.Background(), spanTakeOver, trace.SpanKindServer, records)
	taken := h.Handler.TakeOver(traced)
	for i, span := range spans {
		outcome := qf.NotDone
		if slices.Contains(taken, traced[i].Request.ID) {
			outcome = qf.Done
		}
		span.SetAttributes(keyOutcome.String(string(outcome)))
		span.End()
	}
	return taken
}
