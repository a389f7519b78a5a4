package qfforward

import (
	"time"

	"quetzalfront/internal/qf"
)

// Outcome describes how one request ended, and its attempts.
type Outcome struct {
	Request      qf.RequestID
	Route        string
	Organisation qf.Organisation
	Kind         qf.RouteKind
	// Revision is the revision of the configuration under which the request was handled.
	Revision qf.Revision
	Status   int
	Attempts []AttemptReport
	// FromPeer is the node that passed the request on; it is empty for a caller's.
	FromPeer qf.NodeID
	// Err is nil if an endpoint's answer was delivered completely.
	Err error
	// First is the time to the first byte of the answer, or 0 if there was none; Took is
	// the total time.
	First, Took time.Duration
}

// AttemptReport describes one attempt.
type AttemptReport struct {
	Endpoint qf.EndpointID
	// Peer is the node that made the attempt's attempts instead of this one; Endpoint is empty then.
	Peer    qf.NodeID
	Version qf.Version
	// Rule is the routing rule that chose the endpoint, Predicted the predicted time to
	// the first token there; 0 means unknown.
	Rule      string
	Predicted time.Duration
	End       qf.AttemptEnd
	// Status is the HTTP status of the endpoint's answer, or 0 if there was none.
	Status int
	// Next is the step that followed the attempt.
	Next string
	Took time.Duration
	Err  error
}
