package qftelemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// WrapCallerHandler wraps a handler with a span and metrics for each HTTP request. The
// caller's W3C trace context becomes the span's parent.
func (t *Telemetry) WrapCallerHandler(handler http.Handler) http.Handler {
	return otelhttp.NewHandler(handler, "callers",
		otelhttp.WithTracerProvider(t.tracerProvider), otelhttp.WithMeterProvider(t.meterProvider),
		otelhttp.WithPropagators(t.propagator),
	)
}

// instrumentedCallerService counts refused requests and sets the trace context of each
// request.
type instrumentedCallerService struct {
	qfhttp.CallerService
	telemetry *Telemetry
}

// WrapCallerService wraps a service so that refusals are counted and each request carries
// the trace context of its span, which later spans use as their parent.
func (t *Telemetry) WrapCallerService(service qfhttp.CallerService) qfhttp.CallerService {
	return &instrumentedCallerService{service, t}
}

// Accept implements qfhttp.CallerService.
func (s *instrumentedCallerService) Accept(ctx context.Context, request *qf.Request) (*qfrequest.Record, error) {
	request.TraceParent = TraceParentOf(ctx)
	record, err := s.CallerService.Accept(ctx, request)
	if err != nil {
		s.telemetry.recordRefusal(ctx, request.Entry, qf.CodeOf(err))
	}
	return record, err
}
