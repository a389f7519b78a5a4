package qftelemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// WrapCallerHandler returns the handler with a span and metrics for each HTTP
// request. The W3C trace context of the caller becomes the span's parent.
func (t *Telemetry) WrapCallerHandler(handler http.Handler) http.Handler {
	return otelhttp.NewHandler(handler, "callers",
		otelhttp.WithTracerProvider(t.traces), otelhttp.WithMeterProvider(t.meters),
		otelhttp.WithPropagators(t.propagator),
	)
}

// countingService counts the requests that are refused.
type countingService struct {
	qfhttp.CallerService
	telemetry *Telemetry
}

// WrapCallerService returns the service with refusals counted, and with the span of
// the caller's request noted on the request, so that later hops find it.
func (t *Telemetry) WrapCallerService(service qfhttp.CallerService) qfhttp.CallerService {
	return &countingService{service, t}
}

// Accept implements qfhttp.CallerService.
func (s *countingService) Accept(ctx context.Context, request *qf.Request) (*qfrequest.Record, error) {
	request.TraceParent = TraceParentOf(ctx)
	record, err := s.CallerService.Accept(ctx, request)
	if err != nil {
		s.telemetry.refused(ctx, request.Entry, qf.CodeOf(err))
	}
	return record, err
}
