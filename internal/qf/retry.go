package qf

import "time"

// RetryQuery asks whether a request may have another attempt.
type RetryQuery struct {
	Now     time.Time
	Request *Request
	// Retry numbers the retries of the request, from 1.
	Retry int
	// RemainingTokens is the length of the answer that is still to come.
	RemainingTokens int
	// AtOnce asks for a retry without delay, on a connection that was lost at an
	// endpoint that lives.
	AtOnce bool
	// Draw is uniform in [0, 1).
	Draw float64
}

// RetryDecision is the answer to a RetryQuery.
type RetryDecision struct {
	Allowed bool
	// Delay is how long to wait before the attempt.
	Delay  time.Duration
	Reason Reason
}
