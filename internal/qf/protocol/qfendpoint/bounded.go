package qfendpoint

import (
	"context"
	"fmt"

	"quetzalfront/internal/qf"
)

// boundedEngine bounds the memory that an engine's answers can take on a node.
type boundedEngine struct {
	qf.EngineClient
	maxBytes int
}

// BoundAnswers returns the client with a bound on the text of one answer. A stream that
// exceeds it, or has more tokens than were requested, ends with an error.
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

// boundedStream counts the bytes and tokens that an attempt may still send.
type boundedStream struct {
	qf.ChunkStream
	endpoint qf.EndpointID
	// bytesLeft and tokensLeft are negative once their bound is exceeded.
	bytesLeft, tokensLeft int
}

// Next implements qf.ChunkStream.
func (s *boundedStream) Next(ctx context.Context) (qf.StreamChunk, error) {
	chunk, err := s.ChunkStream.Next(ctx)
	if err != nil || chunk.End {
		return chunk, err
	}
	s.bytesLeft -= len(chunk.Text)
	s.tokensLeft--
	if s.bytesLeft < 0 || s.tokensLeft < 0 {
		return qf.StreamChunk{}, &qf.Error{
			Code: qf.CodeTooLarge, Step: qf.StepAttempt, Peer: string(s.endpoint), Ran: qf.RanUnknown,
			Reason: fmt.Sprintf("the answer exceeds its bound at token %d", chunk.Offset),
		}
	}
	return chunk, nil
}
