// Package qftelemetry gives a node its metrics and traces by OpenTelemetry. It
// stands in the transport layer, because spans are made where bytes enter and
// leave a node: it decorates the interfaces that the layers below see, so that
// none of them knows of it.
package qftelemetry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"
	"go.opentelemetry.io/otel/trace"

	"quetzalfront/internal/qf"
)

// scope names the instrumentation.
const scope = "quetzalfront"

// Config says what a node's telemetry does.
type Config struct {
	Node             qf.NodeID
	AvailabilityZone qf.AvailabilityZone
	Clock            qf.Clock
	// TraceRatio is the share of requests that are traced, of those whose caller
	// doesn't decide it.
	TraceRatio float64
	// MaxTracesPerSecond bounds the traces, those that callers ask for included.
	MaxTracesPerSecond float64
	// Exporter takes the spans; nil turns traces off.
	Exporter sdktrace.SpanExporter
}

// Telemetry holds the instruments of one node. It is safe for concurrent use.
type Telemetry struct {
	tracer     trace.Tracer
	traces     *sdktrace.TracerProvider
	meters     *metric.MeterProvider
	registry   *prometheus.Registry
	propagator propagation.TextMapPropagator
	instruments
	forwardInstruments
}

// New returns the telemetry of a node. Shut it down after use.
func New(config Config) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	about := resource.NewSchemaless(
		semconv.ServiceName(scope), semconv.ServiceInstanceID(string(config.Node)),
		semconv.CloudAvailabilityZone(string(config.AvailabilityZone)),
	)
	t := &Telemetry{
		registry:   registry,
		meters:     metric.NewMeterProvider(metric.WithReader(reader), metric.WithResource(about)),
		propagator: propagation.TraceContext{},
	}
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(about), sdktrace.WithSampler(sdktrace.NeverSample())}
	if config.Exporter != nil {
		options = append(options, sdktrace.WithSampler(newSampler(&config)), sdktrace.WithBatcher(config.Exporter))
	}
	t.traces = sdktrace.NewTracerProvider(options...)
	t.tracer = t.traces.Tracer(scope)
	t.instruments, err = newInstruments(t.meters.Meter(scope))
	if err != nil {
		return nil, err
	}
	t.forwardInstruments, err = newForwardInstruments(t.meters.Meter(scope))
	return t, err
}

// flushTimeout bounds the export of the last spans.
const flushTimeout = 2 * time.Second

// Shutdown exports what is left and ends the goroutines.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	return errors.Join(t.traces.Shutdown(ctx), t.meters.Shutdown(ctx))
}

// MetricsHandler serves the metrics in the Prometheus format.
func (t *Telemetry) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}
