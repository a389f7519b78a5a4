package qfforward

import (
	"time"

	"quetzalfront/internal/qf"
)

// Outcome is what became of one request, with what decided it.
type Outcome struct {
	Request      qf.RequestID
	Route        string
	Organisation qf.Organisation
	Kind         qf.RouteKind
	// Revision is that of the configuration by which the request was handled.
	Revision qf.Revision
	Status   int
	Attempts []AttemptReport
	// Err is nil if an endpoint's answer was delivered whole.
	Err error
	// First is the time to the first byte of the answer, or 0; Took is the whole time.
	First, Took time.Duration
}

// AttemptReport tells of one attempt.
type AttemptReport struct {
	Endpoint qf.EndpointID
	Version  qf.Version
	// Rule is why the endpoint was chosen, Predicted the time to the first token that was
	// foreseen there; 0 is unknown.
	Rule      string
	Predicted time.Duration
	End       qf.AttemptEnd
	// Status is the endpoint's, or 0 if it didn't answer.
	Status int
	// Next is what was done after it.
	Next string
	Took time.Duration
	Err  error
}
