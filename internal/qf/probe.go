package qf

import (
	"context"
	"time"
)

// AttemptOptions holds the deadline and connection options of an attempt.
type AttemptOptions struct {
	// TimeLeft is the time to the deadline when the attempt is sent, so that the
	// endpoint's clock need not agree. Zero means that no deadline is sent.
	TimeLeft time.Duration
	// FreshConnection means that the attempt must use a new connection, after an
	// open one stopped responding.
	FreshConnection bool
}

// Prober checks over a new connection whether an endpoint is alive.
type Prober interface {
	ProbeEndpoint(ctx context.Context, endpoint Endpoint) (LoadReport, error)
}
