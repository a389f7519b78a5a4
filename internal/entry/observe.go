package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfforward"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qflog"
	"quetzalfront/internal/qf/transport/qftelemetry"
)

// droppedLogInterval is the time between two lines that report the number of dropped lines.
const droppedLogInterval = time.Second

// observe counts and logs the end of a request.
func (e *Entry) observe(o *qfforward.Outcome) {
	if e.platform.Telemetry != nil {
		e.platform.Telemetry.RecordForwarded(o)
	}
	class := logClass(o)
	if !e.logLimiter.Allow(e.now(), class) {
		return
	}
	attempts := summariseAttempts(o.Attempts)
	if isSuccess(o) {
		qfevent.ForwardEnded.Log(&e.platform.Logger, o.Request, o.Route, o.Organisation, o.Revision, o.Status, attempts, o.First.String(), o.Took.String(), o.FromPeer)
		return
	}
	if o.Departure != "" {
		qfevent.CallerLeft.Log(&e.platform.Logger, o.Request, o.Route, o.Organisation, o.Revision, o.Departure, attempts, o.First.String(), o.Took.String(), o.FromPeer)
		return
	}
	qfevent.ForwardFailed.Log(&e.platform.Logger, o.Request, o.Route, o.Organisation, o.Revision, o.Status, attempts, o.First.String(), o.Took.String(), o.Err, o.FromPeer)
}

// observeState registers the node's state for the scrapes of its metrics.
func (e *Entry) observeState() error {
	if e.platform.Telemetry == nil {
		return nil
	}
	return e.platform.Telemetry.ObserveState(func() qftelemetry.State {
		nodes := map[qf.NodeState]int{}
		now := e.now()
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, peer := range e.membership.Peers(now) {
			nodes[peer.State]++
		}
		return qftelemetry.State{Active: int(e.inProgress.Load()), Revision: e.configuration.Revision(), Nodes: nodes}
	})
}

// observeMove logs the result of a move of a running request to another endpoint.
func (e *Entry) observeMove(request qf.RequestID, from, to qf.EndpointID, certainty qf.Certainty, err error) {
	if e.logLimiter.Allow(e.now(), qflog.ClassNotable) {
		qfevent.RunMoved.Log(&e.platform.Logger, request, from, to, certainty, err)
	}
}

func isSuccess(o *qfforward.Outcome) bool {
	return o.Err == nil && o.Status < http.StatusInternalServerError
}

func logClass(o *qfforward.Outcome) qflog.Class {
	if isSuccess(o) && len(o.Attempts) == 1 {
		return qflog.ClassPlain
	}
	return qflog.ClassNotable
}

// logDropped logs how many lines were dropped.
func (e *Entry) logDropped(context.Context) {
	if dropped := e.logLimiter.TakeDropped(); dropped.Any() {
		qfevent.RequestsLeftOut.Log(&e.platform.Logger, dropped.Plain, dropped.Notable)
	}
}

// rulePeer is the rule of an attempt that is left to another node, whose name stands in place of the
// endpoint's.
const rulePeer = "ThroughPeer"

// summariseAttempts writes the attempts of a request in one field: endpoint, version, rule with the
// predicted time, end, status, time, error and next step.
func summariseAttempts(attempts []qfforward.AttemptReport) string {
	var b strings.Builder
	for i := range attempts {
		a := &attempts[i]
		if i > 0 {
			b.WriteString("; ")
		}
		if a.Peer != "" {
			b.WriteString(string(a.Peer) + " - " + rulePeer)
		} else {
			b.WriteString(string(a.Endpoint) + " " + string(a.Version) + " " + a.Rule)
		}
		b.WriteString("(" + a.Predicted.Round(time.Millisecond).String() + ") " + string(a.End))
		b.WriteString(" " + strconv.Itoa(a.Status) + " " + a.Took.String())
		if a.Err != nil {
			b.WriteString(" (" + a.Err.Error() + ")")
		}
		b.WriteString(" " + a.Next)
	}
	return b.String()
}
