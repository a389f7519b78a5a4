package qfendpoint

import (
	"context"
	"fmt"

	"quetzalfront/internal/qf"
)

// boundedEngine bounds what an engine may make a node keep.
type boundedEngine struct {
	qf.ModelEngine
	maxBytes int
}

// BoundAnswers returns the engines with a bound on the text of one answer. An
// attempt that brings more, or more tokens than were asked for, is broken off.
func BoundAnswers(engine qf.ModelEngine, maxBytes int) qf.ModelEngine {
	return &boundedEngine{ModelEngine: engine, maxBytes: maxBytes}
}

// Generate implements qf.ModelEngine.
func (e *boundedEngine) Generate(ctx context.Context, endpoint qf.Endpoint, request qf.GenerateRequest) (qf.PieceStream, error) {
	stream, err := e.ModelEngine.Generate(ctx, endpoint, request)
	if err != nil {
		return nil, err
	}
	return &boundedStream{
		PieceStream: stream, endpoint: endpoint.ID,
		bytesLeft: e.maxBytes - len(request.ResumeText), tokensLeft: request.MaxTokens - request.ResumeTokens,
	}, nil
}

// boundedStream counts what an attempt may still bring.
type boundedStream struct {
	qf.PieceStream
	endpoint qf.EndpointID
	// bytesLeft and tokensLeft are negative once a bound is passed.
	bytesLeft, tokensLeft int
}

// Next implements qf.PieceStream.
func (s *boundedStream) Next(ctx context.Context) (qf.Piece, error) {
	piece, err := s.PieceStream.Next(ctx)
	if err != nil || piece.End {
		return piece, err
	}
	s.bytesLeft -= len(piece.Text)
	s.tokensLeft--
	if s.bytesLeft < 0 || s.tokensLeft < 0 {
		return qf.Piece{}, &qf.Error{
			Code: qf.CodeTooLarge, Step: qf.StepAttempt, Peer: string(s.endpoint), Ran: qf.RanUnknown,
			Reason: fmt.Sprintf("the answer passes its bound at token %d", piece.Offset),
		}
	}
	return piece, nil
}
