package qf

import "time"

// RetryQuery holds the inputs of the decision whether a request is retried.
type RetryQuery struct {
	Now     time.Time
	Request *Request
	// Retry numbers the retries of the request, from 1.
	Retry int
	// RemainingTokens is the length of the answer that is still to come.
	RemainingTokens int
	// AtOnce means that the retry needs no delay, because the connection was lost but
	// the endpoint is alive.
	AtOnce bool
	// Draw is uniform in [0, 1).
	Draw float64
}

// RetryDecision is the decision on a RetryQuery.
type RetryDecision struct {
	Allowed bool
	// Delay is how long to wait before the attempt.
	Delay  time.Duration
	Reason Reason
}
