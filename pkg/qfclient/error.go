package qfclient

import (
	"errors"
	"time"

	"quetzalfront/internal/qf"
)

// Error is the typed error of the library; errors.As finds it in a returned error. Ran
// states whether the request ran, and RetryAfter is the delay that the node advises
// before a retry.
type Error = qf.Error

// Ran states whether a request ran at an endpoint.
type Ran = qf.Ran

// The values of Ran. RanNo is used only if it is proven.
const (
	RanNo      = qf.RanNo
	RanYes     = qf.RanYes
	RanUnknown = qf.RanUnknown
)

// Timer is the type of Options.Timer, the source of time.
type Timer = qf.Clock

// downgradeRan changes the Ran of an error from RanNo to RanUnknown if an earlier
// attempt of the same request may have run: that the last attempt didn't run proves
// nothing about the earlier one.
func downgradeRan(err error, mayHaveRun bool) error {
	var e *qf.Error
	if !mayHaveRun || !errors.As(err, &e) || e.Ran != qf.RanNo {
		return err
	}
	downgraded := *e
	downgraded.Ran = qf.RanUnknown
	downgraded.Reason = "an earlier attempt may have run; error of the last attempt: " + e.Reason
	return &downgraded
}

// retryAfterOf returns the delay that a node advises before a retry, or 0.
func retryAfterOf(err error) time.Duration {
	var e *qf.Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
