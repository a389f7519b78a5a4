package qftelemetry

import (
	"context"
	"net/netip"
	"slices"

	"go.opentelemetry.io/otel/trace"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/transport/qfrpc"
)

// tracedPeer makes a span of each request that is handed over.
type tracedPeer struct {
	qf.PeerClient
	telemetry *Telemetry
}

// WrapPeerClient returns the peers with a span for each request that is handed over. The
// records carry the span's context to the peer.
func (t *Telemetry) WrapPeerClient(peer qf.PeerClient) qf.PeerClient { return &tracedPeer{peer, t} }

// HandOverRequests implements qf.PeerClient.
func (p *tracedPeer) HandOverRequests(ctx context.Context, address netip.AddrPort, records []qf.RequestRecord) qf.Result[[]qf.RequestID] {
	traced, spans := p.telemetry.startEach(ctx, spanHandOver, trace.SpanKindClient, records)
	for _, span := range spans {
		span.SetAttributes(keyPeer.String(address.String()))
	}
	result := p.PeerClient.HandOverRequests(ctx, address, traced)
	p.telemetry.handedOver(ctx, result.Certainty, len(result.Value))
	for _, span := range spans {
		finish(span, result)
		span.End()
	}
	return result
}

// startEach starts a span for each record under the record's own trace, and
// returns copies of the records that carry it.
func (t *Telemetry) startEach(ctx context.Context, name string, kind trace.SpanKind, records []qf.RequestRecord) ([]qf.RequestRecord, []trace.Span) {
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

// tracedHandler makes a span of each request that is taken over.
type tracedHandler struct {
	qfrpc.Handler
	telemetry *Telemetry
}

// WrapPeerHandler returns the handler of peers' calls with a span for each request
// that is taken over.
func (t *Telemetry) WrapPeerHandler(handler qfrpc.Handler) qfrpc.Handler {
	return &tracedHandler{handler, t}
}

// TakeOver implements qfrpc.Handler.
func (h *tracedHandler) TakeOver(records []qf.RequestRecord) []qf.RequestID {
	traced, spans := h.telemetry.startEach(context.Background(), spanTakeOver, trace.SpanKindServer, records)
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
