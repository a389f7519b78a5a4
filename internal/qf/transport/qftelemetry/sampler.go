package qftelemetry

import (
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"quetzalfront/internal/qf"
)

// sampler decides at the spans with which a request enters a node: the parent
// decides, or else a ratio, and a rate limit bounds both, so that callers who ask
// for every trace can't overload the exporter. Inner spans follow their parent;
// without one they aren't part of a request and are dropped.
type sampler struct {
	timer   qf.Clock
	ratio   sdktrace.Sampler
	limiter *rate.Limiter
}

func newSampler(config *Config) *sampler {
	burst := max(1, int(config.MaxTracesPerSecond))
	return &sampler{
		timer: config.Clock, ratio: sdktrace.TraceIDRatioBased(config.TraceRatio),
		limiter: rate.NewLimiter(rate.Limit(config.MaxTracesPerSecond), burst),
	}
}

// ShouldSample implements sdktrace.Sampler.
func (s *sampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	parent := trace.SpanContextFromContext(p.ParentContext)
	result := sdktrace.SamplingResult{Decision: sdktrace.Drop, Tracestate: parent.TraceState()}
	if s.isWanted(p, parent) {
		result.Decision = sdktrace.RecordAndSample
	}
	return result
}

func (s *sampler) isWanted(p sdktrace.SamplingParameters, parent trace.SpanContext) bool {
	if p.Kind != trace.SpanKindServer {
		return parent.IsSampled()
	}
	wanted := parent.IsSampled()
	if !parent.IsValid() {
		wanted = s.ratio.ShouldSample(p).Decision == sdktrace.RecordAndSample
	}
	return wanted && s.limiter.AllowN(s.timer.Now(), 1)
}

// Description implements sdktrace.Sampler.
func (s *sampler) Description() string { return "ParentOrRatioWithRateLimit" }
