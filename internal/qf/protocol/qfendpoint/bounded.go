package qfendpoint

import (
	"context"
	"fmt"

	"quetzalfront/internal/qf"
)

// boundedEngine bounds what an engine may make a node keep.
type boundedEngine struct {
	qf.EngineClient
	maxBytes int
}

// BoundAnswers returns the engines with a bound on the text of one answer. An
// attempt that brings more, or more tokens than were asked for, is broken off.
func BoundAnswers(engine qf.EngineClient, maxBytes int) qf.EngineClient {
	return &boundedEngine{EngineClient: engine, maxBytes: maxBytes}
}

// StartGeneration implements qf.EngineClient.
func (e *boundedEngine) StartGeneration(ctx context.Context, endpoint qf.Endpoint, request qf.GenerateRequest) (qf.ChunkStream, error) {
	stream, err := e.EngineClient.StartGeneration(ctx, endpoint, request)
	if err != nil {
		return nil, err
	}
	return &boundedStream{
		ChunkStream: stream, endpoint: endpoint.ID,
		bytesLeft: e.maxBytes - len(request.ResumeText), tokensLeft: request.MaxTokens - request.ResumeTokens,
	}, nil
}

// boundedStream counts what an attempt may still bring.
type boundedStream struct {
	qf.ChunkStream
	endpoint qf.EndpointID
	// bytesLeft and tokensLeft are negative once a bound is passed.
	bytesLeft, tokensLeft int
}

// Next implements qf.ChunkStream.
func (s *boundedStream) Next(ctx context.Context) (qf.StreamChunk, error) {
	piece, err := s.ChunkStream.Next(ctx)
	if err != nil || piece.End {
		return piece, err
	}
	s.bytesLeft -= len(piece.Text)
	s.tokensLeft--
	if s.bytesLeft < 0 || s.tokensLeft < 0 {
		return qf.StreamChunk{}, &qf.Error{
			Code: qf.CodeTooLarge, Step: qf.StepAttempt, Peer: string(s.endpoint), Ran: qf.RanUnknown,
			Reason: fmt.Sprintf("the answer passes its bound at token %d", piece.Offset),
		}
	}
	return piece, nil
}
