package qfforward

import (
	"errors"
	"net/http"
	"slices"
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
	// Status is the status of the answer, or StatusCallerLeft.
	Status int
	// Departure is empty unless the caller left before its answer.
	Departure Departure
	Attempts  []AttemptReport
	// FromPeer is the node that passed the request on; it is empty for a caller's.
	FromPeer qf.NodeID
	// Err is nil if an endpoint's answer was delivered completely.
	Err error
	// First is the time to the first byte of the answer, or 0 if there was none; Took is
	// the total time.
	First, Took time.Duration
}

// errCut is the error of a request whose connection the node has closed before its answer.
var errCut = errors.New("the node closed the caller's connection")

// StatusCallerLeft stands for the status of a request whose caller left: no answer is sent. Proxies commonly log this number.
const StatusCallerLeft = 499

// Departure is how far a request had come when its caller left.
type Departure string

// The departures.
const (
	// LeftUnsent means that the request was sent to no endpoint and no other node.
	LeftUnsent Departure = "Unsent"
	// LeftUnanswered means that it was sent, and no answer had begun.
	LeftUnanswered Departure = "Unanswered"
	// LeftInAnswer means that a part of the answer had been sent to the caller.
	LeftInAnswer Departure = "InAnswer"
)

// recordDeparture records in the outcome of a request that wasn't served that its caller has left. A node that stops ends the
// contexts of the requests that it aborts, too.
func (c *call) recordDeparture() {
	o := &c.outcome
	if c.incoming.Context().Err() == nil || o.Err == nil && o.Status < http.StatusInternalServerError {
		return
	}
	if until := c.forwarder.ports.ServesUntil(); !until.IsZero() && !c.forwarder.ports.Clock.Now().Before(until) {
		return
	}
	if c.forwarder.ports.Callers.IsCut(c.incoming.Context()) {
		o.Err = errors.Join(errCut, o.Err)
		return
	}
	switch {
	case o.First > 0:
		o.Departure = LeftInAnswer
	case slices.ContainsFunc(o.Attempts, wasSent):
		o.Departure = LeftUnanswered
	default:
		o.Departure = LeftUnsent
	}
	o.Status = StatusCallerLeft
}

// wasSent reports whether an attempt's request may have reached its endpoint.
func wasSent(a AttemptReport) bool { return a.Status != 0 || qf.RanOf(a.Err) != qf.RanNo }

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
