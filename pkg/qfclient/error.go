package qfclient

import (
	"errors"
	"time"

	"quetzalfront/internal/qf"
)

// Error is the typed error of the library; errors.As finds it. Its Ran says what
// is known of the request, its RetryAfter when to come back.
type Error = qf.Error

// Ran says whether a request ran at an endpoint.
type Ran = qf.Ran

// The values of Ran. RanNo is said only if it is proven.
const (
	RanNo      = qf.RanNo
	RanYes     = qf.RanYes
	RanUnknown = qf.RanUnknown
)

// Timer is the source of time in Options.
type Timer = qf.Clock

// truthful keeps a later sending's "not run" from hiding that an earlier sending of
// the same request may have run.
func truthful(err error, mayHaveRun bool) error {
	var e *qf.Error
	if !mayHaveRun || !errors.As(err, &e) || e.Ran != qf.RanNo {
		return err
	}
	known := *e
	known.Ran = qf.RanUnknown
	known.Reason = "an earlier sending may have run; the last one: " + e.Reason
	return &known
}

// advice returns the time after which a node asked to come back, or 0.
func advice(err error) time.Duration {
	var e *qf.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
