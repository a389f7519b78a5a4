package qftelemetry

import (
	"context"
	"errors"
	"io"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"quetzalfront/internal/qf"
)

// The attribute keys of spans and metrics.
const (
	keyEntry        = attribute.Key("quetzalfront.entry")
	keyVersion      = attribute.Key("quetzalfront.version")
	keyOrganisation = attribute.Key("quetzalfront.organisation")
	keyRequest      = attribute.Key("quetzalfront.request.id")
	keyAttempt      = attribute.Key("quetzalfront.attempt.id")
	keyEndpoint     = attribute.Key("quetzalfront.endpoint.id")
	keyZone         = attribute.Key("quetzalfront.endpoint.availability_zone")
	keyPeer         = attribute.Key("server.address")
	keyTokens       = attribute.Key("quetzalfront.tokens")
	keyResumed      = attribute.Key("quetzalfront.resumed_tokens")
	keyCached       = attribute.Key("quetzalfront.cached_tokens")
	keyComputed     = attribute.Key("quetzalfront.computed_tokens")
	keyOutcome      = attribute.Key("quetzalfront.outcome")
	keyState        = attribute.Key("quetzalfront.state")
	keyErrorType    = attribute.Key("error.type")
)

// The names of spans other than those of HTTP requests, and of their events.
const (
	spanAttempt     = "attempt"
	spanFetchStatus = "ask status"
	spanHandOver    = "hand over"
	spanTakeOver    = "take over"
	eventFirstToken = "first token"
)

// recordError marks a span as failed unless the error is nil.
func recordError(span trace.Span, err error) {
	if err == nil {
		return
	}
	span.SetStatus(codes.Error, err.Error())
	span.SetAttributes(keyErrorType.String(string(qf.CodeOf(err))))
}

// startAttempt starts a client span with the attributes of the endpoint.
func (t *Telemetry) startAttempt(ctx context.Context, name string, endpoint *qf.Endpoint, pairs ...attribute.KeyValue) (context.Context, trace.Span) {
	pairs = append(pairs, keyEntry.String(string(endpoint.Entry)), keyVersion.String(string(endpoint.Version)),
		keyEndpoint.String(string(endpoint.ID)), keyZone.String(string(endpoint.AvailabilityZone)),
		keyPeer.String(endpoint.Address.String()))
	return t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(pairs...))
}

// tracedEngineClient records a span for each attempt.
type tracedEngineClient struct {
	qf.EngineClient
	telemetry *Telemetry
}

// WrapEngineClient wraps a client so that each attempt has a span.
func (t *Telemetry) WrapEngineClient(engine qf.EngineClient) qf.EngineClient {
	return &tracedEngineClient{engine, t}
}

// StartGeneration implements qf.EngineClient.
func (e *tracedEngineClient) StartGeneration(ctx context.Context, endpoint qf.Endpoint, request qf.GenerateRequest) (qf.ChunkStream, error) {
	ctx, span := e.telemetry.startAttempt(ctx, spanAttempt, &endpoint,
		keyRequest.String(string(request.Request)), keyAttempt.String(string(request.Attempt)),
		keyOrganisation.String(string(request.Organisation)), keyResumed.Int(request.ResumeTokens))
	stream, err := e.EngineClient.StartGeneration(ctx, endpoint, request)
	if err != nil {
		recordError(span, err)
		span.End()
		return nil, err
	}
	if !span.IsRecording() {
		return stream, nil // Untraced requests avoid the cost of the wrapper for each token.
	}
	return &tracedStream{ChunkStream: stream, span: span}, nil
}

// tracedStream ends the span of an attempt at the end of its stream.
type tracedStream struct {
	qf.ChunkStream
	span trace.Span
	// tokens counts the chunks without the end mark.
	tokens int
	once   sync.Once
}

// Next implements qf.ChunkStream.
func (s *tracedStream) Next(ctx context.Context) (qf.StreamChunk, error) {
	chunk, err := s.ChunkStream.Next(ctx)
	switch {
	case err != nil:
		s.recordStreamError(err)
		return chunk, err
	case chunk.End:
		s.endSpan()
	case s.tokens == 0:
		s.span.AddEvent(eventFirstToken)
		s.span.SetAttributes(keyCached.Int(chunk.CachedTokens), keyComputed.Int(chunk.ComputedTokens))
		s.tokens++
	default:
		s.tokens++
	}
	return chunk, nil
}

func (s *tracedStream) recordStreamError(err error) {
	if errors.Is(err, io.EOF) {
		err = errNoEndMark
	}
	recordError(s.span, err)
}

var errNoEndMark = &qf.Error{Code: qf.CodeBroken, Step: qf.StepAttempt, Reason: "the stream ended without its end mark"}

func (s *tracedStream) endSpan() {
	s.once.Do(func() {
		s.span.SetAttributes(keyTokens.Int(s.tokens))
		s.span.End()
	})
}

// Close implements qf.ChunkStream.
func (s *tracedStream) Close() error {
	s.endSpan()
	return s.ChunkStream.Close()
}

// tracedServiceClient records a span for each attempt and each status call.
type tracedServiceClient struct {
	qf.ServiceClient
	telemetry *Telemetry
}

// WrapServiceClient wraps a client so that each attempt and each status call has a span.
func (t *Telemetry) WrapServiceClient(service qf.ServiceClient) qf.ServiceClient {
	return &tracedServiceClient{service, t}
}

// CallService implements qf.ServiceClient.
func (s *tracedServiceClient) CallService(ctx context.Context, endpoint qf.Endpoint, call qf.ServiceCall) qf.Result[qf.ServiceResponse] {
	ctx, span := s.telemetry.startAttempt(ctx, spanAttempt, &endpoint,
		keyRequest.String(string(call.Request)), keyAttempt.String(string(call.Attempt)),
		keyOrganisation.String(string(call.Organisation)))
	defer span.End()
	return recordResult(span, s.ServiceClient.CallService(ctx, endpoint, call))
}

// FetchStatus implements qf.ServiceClient.
func (s *tracedServiceClient) FetchStatus(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) qf.Result[qf.ServiceResponse] {
	ctx, span := s.telemetry.startAttempt(ctx, spanFetchStatus, &endpoint, keyAttempt.String(string(attempt)))
	defer span.End()
	return recordResult(span, s.ServiceClient.FetchStatus(ctx, endpoint, attempt))
}

// recordResult sets the certainty and the error of an operation on its span.
func recordResult[T any](span trace.Span, result qf.Result[T]) qf.Result[T] {
	span.SetAttributes(keyOutcome.String(string(result.Certainty)))
	recordError(span, result.Err)
	return result
}
