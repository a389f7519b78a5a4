package qftelemetry

import (
	"context"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"quetzalfront/internal/qf/state/qfevent"
)

// logExporter writes each span as a log event.
type logExporter struct {
	logger zerolog.Logger
}

// NewLogExporter returns an exporter that writes each span as a log event.
func NewLogExporter(logger zerolog.Logger) sdktrace.SpanExporter {
	return &logExporter{logger: logger}
}

// ExportSpans implements sdktrace.SpanExporter.
func (x *logExporter) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, s := range spans {
		parent := ""
		if s.Parent().HasSpanID() {
			parent = s.Parent().SpanID().String()
		}
		qfevent.SpanEnded.Log(&x.logger, s.Name(), s.SpanContext().TraceID().String(), s.SpanContext().SpanID().String(),
			parent, s.StartTime(), s.EndTime().Sub(s.StartTime()).String(), attributesOf(s.Attributes()), s.Status().Description)
	}
	return nil
}

func attributesOf(pairs []attribute.KeyValue) map[string]any {
	values := make(map[string]any, len(pairs))
	for _, pair := range pairs {
		values[string(pair.Key)] = pair.Value.AsInterface()
	}
	return values
}

// Shutdown implements sdktrace.SpanExporter.
func (x *logExporter) Shutdown(context.Context) error { return nil }
