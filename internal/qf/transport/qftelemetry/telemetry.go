// Package qftelemetry provides a node's metrics and traces with OpenTelemetry. It belongs
// to the transport layer, because spans start where requests enter and leave a node. It
// wraps the interfaces that the other layers use, so that they don't depend on it.
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

// scope is the name of the instrumentation scope.
const scope = "quetzalfront"

// Config configures a node's telemetry.
type Config struct {
	Node             qf.NodeID
	AvailabilityZone qf.AvailabilityZone
	Clock            qf.Clock
	// TraceRatio is the share of requests that are traced, of those without a trace
	// context of their caller.
	TraceRatio float64
	// MaxTracesPerSecond bounds the traces, including those that callers sample.
	MaxTracesPerSecond float64
	// Exporter receives the spans; nil disables traces.
	Exporter sdktrace.SpanExporter
}

// Telemetry holds the instruments of one node. It is safe for concurrent use.
type Telemetry struct {
	tracer         trace.Tracer
	tracerProvider *sdktrace.TracerProvider
	meterProvider  *metric.MeterProvider
	registry       *prometheus.Registry
	// runtime holds the metrics of the Go runtime and of the process.
	runtime    *prometheus.Registry
	propagator propagation.TextMapPropagator
	instruments
	forwardInstruments
}

// New returns the telemetry of a node. The caller must call Shutdown after use.
func New(config Config) (*Telemetry, error) {
	registry, runtime := prometheus.NewRegistry(), prometheus.NewRegistry()
	runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	nodeResource := resource.NewSchemaless(
		semconv.ServiceName(scope), semconv.ServiceInstanceID(string(config.Node)),
		semconv.CloudAvailabilityZone(string(config.AvailabilityZone)),
	)
	t := &Telemetry{
		registry:      registry,
		runtime:       runtime,
		meterProvider: metric.NewMeterProvider(metric.WithReader(reader), metric.WithResource(nodeResource)),
		propagator:    propagation.TraceContext{},
	}
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(nodeResource), sdktrace.WithSampler(sdktrace.NeverSample())}
	if config.Exporter != nil {
		options = append(options, sdktrace.WithSampler(newSampler(&config)), sdktrace.WithBatcher(config.Exporter))
	}
	t.tracerProvider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.tracerProvider.Tracer(scope)
	t.instruments, err = newInstruments(t.meterProvider.Meter(scope))
	if err != nil {
		return nil, err
	}
	t.forwardInstruments, err = newForwardInstruments(t.meterProvider.Meter(scope))
	return t, err
}

// flushTimeout bounds the export of the last spans.
const flushTimeout = 2 * time.Second

// Shutdown exports the remaining spans and ends the goroutines.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	return errors.Join(t.tracerProvider.Shutdown(ctx), t.meterProvider.Shutdown(ctx))
}

// MetricsHandler serves the node's own metrics in the Prometheus format. Those of the runtime
// are apart, so that a scraper that limits what it reads gets the node's own.
func (t *Telemetry) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// RuntimeMetricsHandler serves the metrics of the Go runtime and of the process.
func (t *Telemetry) RuntimeMetricsHandler() http.Handler {
	return promhttp.HandlerFor(t.runtime, promhttp.HandlerOpts{})
}
