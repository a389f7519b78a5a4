package entry

import (
	"net/http"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfresponse"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// heldMemoryShare is the share of the process's memory that clients may make it hold, by an estimate. The collector lets the
// heap grow to twice of what is in use, and the node itself needs the rest.
const heldMemoryShare = 0.25

// answerMemoryShare is the share of the process's memory that the answers in progress may take, beside the small ones.
const answerMemoryShare = 0.125

// The shares of the process's descriptors that the connections of each port may use. What is left is for connections to
// endpoints, peers and the store: each request in progress needs one.
const (
	callerShare    = 3.0 / 8
	forwardShare   = 1.0 / 8
	peerCallShare  = 1.0 / 6
	directoryShare = 1.0 / 16
	readyShare     = 1.0 / 64
	metricsShare   = 1.0 / 64
	// addressShare is the share of a port's connections that may come from one address.
	addressShare = 0.75
)

// newConnectionBudget returns the budget of what clients may make the node hold.
func newConnectionBudget(e *Entry) *qfhttp.ConnectionBudget {
	memory := int64(heldMemoryShare * float64(e.deployment.Process.MemoryBytes))
	var count func(limit, action string)
	if e.platform.Telemetry != nil {
		count = e.platform.Telemetry.RecordLimit
	}
	reporter := qfhttp.NewLimitReporter(e.platform.Clock, &e.platform.Logger, count)
	return qfhttp.NewConnectionBudget(e.platform.Clock, memory, reporter.Report)
}

// newAnswerBudget returns the budget of what endpoints and other nodes may make the node hold with their answers.
func newAnswerBudget(e *Entry) *qfresponse.Budget {
	return qfresponse.NewBudget(int64(answerMemoryShare * float64(e.deployment.Process.MemoryBytes)))
}

// portLimits returns the limits of a port that may use a share of the descriptors.
func (e *Entry) portLimits(name string, share float64) qfhttp.PortLimits {
	connections := share * float64(e.deployment.Process.Descriptors)
	return qfhttp.PortLimits{
		Name: name, Connections: int(connections), ConnectionsOfAddress: int(addressShare * connections), HeadBytes: e.headLimit,
	}
}

// callerLimits returns the limits of the callers' port, whose timeouts are those of the configuration.
func (e *Entry) callerLimits() qfhttp.PortLimits {
	limits := e.portLimits(callersPort, callerShare)
	limits.ReadTimeouts = e.readTimeouts.Since
	limits.RequestID = e.requestID
	return limits
}

// requestID returns the identifier of a caller's request, as the platform's headers state it.
func (e *Entry) requestID(r *http.Request) qf.RequestID {
	request, _ := e.platform.Protocol.DecodeRequest(r) // The identifier is decoded first.
	return request.ID
}

// defaultTimeouts are in force where no configuration has any.
var defaultTimeouts = qfhttp.ReadTimeouts{Head: headerTimeout, Idle: idleTimeout}

// applyReadTimeouts applies the timeouts of a configuration to the callers' port.
func (e *Entry) applyReadTimeouts(c *qf.Configuration) {
	timeouts := defaultTimeouts
	if c.Limits.HeaderTimeout > 0 {
		timeouts.Head = c.Limits.HeaderTimeout
	}
	if c.Limits.IdleTimeout > 0 {
		timeouts.Idle = c.Limits.IdleTimeout
	}
	e.readTimeouts.Apply(e.now(), c.Revision, timeouts)
}

// peerLimits returns the limits of a port that other nodes connect to: each comes from one address, and passes on heads with
// fields of its own.
func (e *Entry) peerLimits(name string, share float64) qfhttp.PortLimits {
	limits := e.portLimits(name, share)
	limits.ConnectionsOfAddress = 0
	limits.HeadBytes = func() int { return maxHeaderBytes }
	return limits
}

// headLimit returns the configuration's limit of a request's head.
func (e *Entry) headLimit() int {
	if table := e.configuration.Get(); table != nil && table.Configuration.Limits.MaxHeaderBytes > 0 {
		return table.Configuration.Limits.MaxHeaderBytes
	}
	return maxHeaderBytes
}
