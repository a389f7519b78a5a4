package qf

import (
	"context"
	"time"
)

// AttemptOptions is what an attempt says about the way to its endpoint.
type AttemptOptions struct {
	// TimeLeft is the time to the deadline when the attempt leaves, so that the
	// endpoint's clock need not agree. Zero means that none is passed on.
	TimeLeft time.Duration
	// FreshConnection keeps the attempt off connections that are open already,
	// after one of them went silent.
	FreshConnection bool
}

// Prober asks an endpoint over a new connection whether it lives.
type Prober interface {
	ProbeEndpoint(ctx context.Context, endpoint Endpoint) (LoadReport, error)
}
