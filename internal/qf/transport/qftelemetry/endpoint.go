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

// The attributes of spans and metrics.
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

// The names of spans other than those of HTTP requests.
const (
	spanAttempt  = "attempt"
	spanStatus   = "ask status"
	spanHandOver = "hand over"
	spanTakeOver = "take over"
	eventFirst   = "first token"
)

// fail marks a span as failed.
func fail(span trace.Span, err error) {
	if err == nil {
		return
	}
	span.SetStatus(codes.Error, err.Error())
	span.SetAttributes(keyErrorType.String(string(qf.CodeOf(err))))
}

func (t *Telemetry) startAttempt(ctx context.Context, name string, endpoint *qf.Endpoint, pairs ...attribute.KeyValue) (context.Context, trace.Span) {
	pairs = append(pairs, keyEntry.String(string(endpoint.Entry)), keyVersion.String(string(endpoint.Version)),
		keyEndpoint.String(string(endpoint.ID)), keyZone.String(string(endpoint.AvailabilityZone)),
		keyPeer.String(endpoint.Address.String()))
	return t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(pairs...))
}

// tracedEngine makes a span of each attempt.
type tracedEngine struct {
	qf.EngineClient
	telemetry *Telemetry
}

// WrapEngineClient returns the engines with a span for each attempt.
func (t *Telemetry) WrapEngineClient(engine qf.EngineClient) qf.EngineClient { return &tracedEngine{engine, t} }

// StartGeneration implements qf.EngineClient.
func (e *tracedEngine) StartGeneration(ctx context.Context, endpoint qf.Endpoint, request qf.GenerateRequest) (qf.ChunkStream, error) {
	ctx, span := e.telemetry.startAttempt(ctx, spanAttempt, &endpoint,
		keyRequest.String(string(request.Request)), keyAttempt.String(string(request.Attempt)),
		keyOrganisation.String(string(request.Organisation)), keyResumed.Int(request.ResumeTokens))
	stream, err := e.EngineClient.StartGeneration(ctx, endpoint, request)
	if err != nil {
		fail(span, err)
		span.End()
		return nil, err
	}
	if !span.IsRecording() {
		return stream, nil // Spares the tokens of untraced requests the detour.
	}
	return &tracedStream{ChunkStream: stream, span: span}, nil
}

// tracedStream ends the span of an attempt with its stream.
type tracedStream struct {
	qf.ChunkStream
	span trace.Span
	// tokens counts the pieces but the end mark.
	tokens int
	once   sync.Once
}

// Next implements qf.ChunkStream.
func (s *tracedStream) Next(ctx context.Context) (qf.StreamChunk, error) {
	piece, err := s.ChunkStream.Next(ctx)
	switch {
	case err != nil:
		s.failed(err)
		return piece, err
	case piece.End:
		s.end()
	case s.tokens == 0:
		s.span.AddEvent(eventFirst)
		s.span.SetAttributes(keyCached.Int(piece.CachedTokens), keyComputed.Int(piece.ComputedTokens))
		s.tokens++
	default:
		s.tokens++
	}
	return piece, nil
}

func (s *tracedStream) failed(err error) {
	if errors.Is(err, io.EOF) {
		err = errCut
	}
	fail(s.span, err)
}

var errCut = &qf.Error{Code: qf.CodeBroken, Step: qf.StepAttempt, Reason: "the stream ended without its end mark"}

func (s *tracedStream) end() {
	s.once.Do(func() {
		s.span.SetAttributes(keyTokens.Int(s.tokens))
		s.span.End()
	})
}

// Close implements qf.ChunkStream.
func (s *tracedStream) Close() error {
	s.end()
	return s.ChunkStream.Close()
}

// tracedService makes a span of each attempt and of each question about one.
type tracedService struct {
	qf.ServiceClient
	telemetry *Telemetry
}

// WrapServiceClient returns the plain services with a span for each attempt.
func (t *Telemetry) WrapServiceClient(service qf.ServiceClient) qf.ServiceClient {
	return &tracedService{service, t}
}

// CallService implements qf.ServiceClient.
func (s *tracedService) CallService(ctx context.Context, endpoint qf.Endpoint, call qf.ServiceCall) qf.Result[qf.ServiceResponse] {
	ctx, span := s.telemetry.startAttempt(ctx, spanAttempt, &endpoint,
		keyRequest.String(string(call.Request)), keyAttempt.String(string(call.Attempt)),
		keyOrganisation.String(string(call.Organisation)))
	defer span.End()
	return finish(span, s.ServiceClient.CallService(ctx, endpoint, call))
}

// FetchStatus implements qf.ServiceClient.
func (s *tracedService) FetchStatus(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) qf.Result[qf.ServiceResponse] {
	ctx, span := s.telemetry.startAttempt(ctx, spanStatus, &endpoint, keyAttempt.String(string(attempt)))
	defer span.End()
	return finish(span, s.ServiceClient.FetchStatus(ctx, endpoint, attempt))
}

// finish notes on a span what is known of an operation's effect.
func finish[T any](span trace.Span, result qf.Result[T]) qf.Result[T] {
	span.SetAttributes(keyOutcome.String(string(result.Certainty)))
	fail(span, result.Err)
	return result
}
