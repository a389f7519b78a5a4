package qf

import (
	"context"
	"errors"
)

// ErrCallerLeft means that a caller has closed its connection, so that nobody waits for the answer.
var ErrCallerLeft = errors.New("the caller has left")

// CallerPresence reports whether callers still wait for their answers. It is safe for concurrent use.
type CallerPresence interface {
	// HasLeft reports whether the caller of the request with this context has left. It looks at the connection
	// itself, and ends the request's context if so.
	HasLeft(ctx context.Context) bool
	// IsCut reports whether the node itself has closed the connection of the request with this context.
	IsCut(ctx context.Context) bool
}
