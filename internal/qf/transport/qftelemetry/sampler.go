package qftelemetry

import (
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"quetzalfront/internal/qf"
)

// sampler decides which spans are recorded. A server span, with which a request enters the
// node, follows its parent, or a ratio if it has none. A rate limit applies to both, so
// that callers who sample every request can't overload the exporter. Inner spans follow
// their parent; without one they aren't part of a request and are dropped.
type sampler struct {
	clock   qf.Clock
	ratio   sdktrace.Sampler
	limiter *rate.Limiter
}

func newSampler(config *Config) *sampler {
	burst := max(1, int(config.MaxTracesPerSecond))
	return &sampler{
		clock: config.Clock, ratio: sdktrace.TraceIDRatioBased(config.TraceRatio),
		limiter: rate.NewLimiter(rate.Limit(config.MaxTracesPerSecond), burst),
	}
}

// ShouldSample implements sdktrace.Sampler.
func (s *sampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	parent := trace.SpanContextFromContext(p.ParentContext)
	result := sdktrace.SamplingResult{Decision: sdktrace.Drop, Tracestate: parent.TraceState()}
	if s.shouldSample(p, parent) {
		result.Decision = sdktrace.RecordAndSample
	}
	return result
}

func (s *sampler) shouldSample(p sdktrace.SamplingParameters, parent trace.SpanContext) bool {
	if p.Kind != trace.SpanKindServer {
		return parent.IsSampled()
	}
	sampled := parent.IsSampled()
	if !parent.IsValid() {
		sampled = s.ratio.ShouldSample(p).Decision == sdktrace.RecordAndSample
	}
	return sampled && s.limiter.AllowN(s.clock.Now(), 1)
}

// Description implements sdktrace.Sampler.
func (s *sampler) Description() string { return "ParentOrRatioWithRateLimit" }
