package entry

import (
	"net/http"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qflog"
	"quetzalfront/internal/qf/state/qfregistry"
)

// senderOf returns the endpoint that sent an answer, or "" if it isn't known: at the address of an endpoint that
// has stopped, another one may answer.
func senderOf(answer *qf.EndpointResponse, asked qf.EndpointID) qf.EndpointID {
	if answer.Status == http.StatusMisdirectedRequest {
		return answer.Traits.Sender
	}
	return asked
}

// recordPause records the pause that an endpoint states with a rejection, and reports whether it begins. Peers
// aren't told: the endpoint speaks of one node's requests, and each node tries others at once. The caller must hold
// p.mu.
func (p *endpointPicker) recordPause(at time.Time, picked *qf.PickedEndpoint, answer *qf.EndpointResponse) bool {
	if answer.Status != http.StatusServiceUnavailable || answer.Traits.RetryAfter <= 0 {
		p.pauses.RecordAnswer(at, &picked.Endpoint)
		return false
	}
	return p.pauses.RecordPause(at, &picked.Endpoint, answer.Traits.RetryAfter, p.nodes)
}

// observePause logs that an endpoint wants no requests of this node for some time.
func (e *Entry) observePause(endpoint *qf.Endpoint, length time.Duration) {
	if e.logLimiter.Allow(e.now(), qflog.ClassNotable) {
		qfevent.EndpointPaused.Log(&e.platform.Logger, endpoint.ID, endpoint.Entry, length.String())
	}
}

// The sources of the news that an endpoint leaves.
const (
	leaveStated   = "it stated so in an answer"
	leaveReported = "a peer reported that it stated so"
)

// observeLeave records that an endpoint has stated in an answer that it leaves, and tells the peers.
func (e *Entry) observeLeave(asked *qf.Endpoint, sender qf.EndpointID) {
	incarnation := asked.Incarnation
	if sender != asked.ID {
		e.mu.Lock()
		known := e.registry.Get(sender)
		e.mu.Unlock()
		if known == nil || known.Address != asked.Address {
			return // Which incarnation answered isn't known, or the name is another endpoint's.
		}
		incarnation = known.Incarnation
	}
	e.recordLeaves([]qf.LeavingEndpoint{{Endpoint: sender, Incarnation: incarnation}}, leaveStated)
}

// recordLeaves records endpoints that leave. From then on this node sends them nothing new, and the streams that
// run there move away as if the list had announced it.
func (e *Entry) recordLeaves(leaves []qf.LeavingEndpoint, source string) {
	if len(leaves) == 0 {
		return
	}
	now := e.now()
	var listed []*qfregistry.EndpointRecord
	hasNews := false
	e.mu.Lock()
	for i := range leaves {
		isNew, known := e.registry.MarkLeaving(now, leaves[i].Endpoint, leaves[i].Incarnation)
		hasNews = hasNews || isNew
		if known != nil {
			listed = append(listed, known)
		}
	}
	e.mu.Unlock()
	if !hasNews {
		return
	}
	e.updateEndpoints(now)
	for _, known := range listed {
		qfevent.EndpointLeaving.Log(&e.platform.Logger, known.ID, source, known.Position.Version)
		e.evacuate(&known.RegisteredEndpoint)
	}
	e.pushUrgent()
}

// listLeaves returns the endpoints that have stated that they leave.
func (e *Entry) listLeaves(now time.Time) []qf.LeavingEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.ListLeaves(now)
}
