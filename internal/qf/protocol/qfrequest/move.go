package qfrequest

import (
	"time"

	"quetzalfront/internal/qf"
)

// PlannedMove is the planned destination of a request that leaves its endpoint.
type PlannedMove struct {
	// From is empty for the first attempt.
	From qf.EndpointID
	// To is the zero value if the router chooses the endpoint.
	To qf.Endpoint
	// KVHandle names the KV cache that was imported there; it is empty if none was.
	KVHandle string
	Reason   qf.Reason
}

// ActiveStream describes the attempt in progress of a model engine's request.
type ActiveStream struct {
	Endpoint qf.EndpointID
	Attempt  qf.AttemptID
	// Tokens is the length of the answer so far.
	Tokens int
	// Pace is the mean time between two tokens; 0 means unknown.
	Pace time.Duration
}

// pace measures the mean time between two tokens of an attempt.
type pace struct {
	firstAt, lastAt time.Time
	tokens          int
}

func (p *pace) record(e Event, kind ActionKind) {
	switch {
	case e.Kind == EventStarted:
		*p = pace{}
	case kind != ActionDeliver:
	case p.tokens == 0:
		p.firstAt = e.At
		fallthrough
	default:
		p.lastAt = e.At
		p.tokens++
	}
}

// ActiveStream returns the attempt in progress, or false if there is none that can
// move.
func (r *Record) ActiveStream() (ActiveStream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Request.Kind != qf.KindModelEngine || r.lifecycle.Phase() != PhaseRunning {
		return ActiveStream{}, false
	}
	s := ActiveStream{Endpoint: r.lifecycle.endpoint, Attempt: r.lifecycle.attempt, Tokens: len(r.text)}
	if r.pace.tokens > 1 {
		s.Pace = r.pace.lastAt.Sub(r.pace.firstAt) / time.Duration(r.pace.tokens-1)
	}
	return s, true
}

// RequestMove requests that the runner move from the endpoint to the planned one. It
// returns false if the event queue is full.
func (r *Record) RequestMove(now time.Time, planned *PlannedMove) bool {
	r.mu.Lock()
	r.planned = planned
	r.mu.Unlock()
	return r.Post(Event{Kind: EventLeaving, At: now, Endpoint: planned.From})
}

// PreferEndpoint sends the first attempt to an endpoint that holds the KV cache of an
// earlier owner's attempt. It must be called before the request runs.
func (r *Record) PreferEndpoint(to qf.Endpoint, attempt qf.AttemptID) {
	r.planned = &PlannedMove{To: to, KVHandle: string(attempt), Reason: qf.Reason{Rule: "CacheOfPreviousOwner"}}
}

// takeKVHandle returns and clears the name of the KV cache for the next attempt.
func (x *run) takeKVHandle() string {
	handle := x.kvHandle
	x.kvHandle = ""
	return handle
}

// takePlanned returns and clears the planned destination of a move. A plan for a move
// that isn't this one is dropped.
func (x *run) takePlanned(action *Action) (qf.RouteChoice, bool) {
	x.record.mu.Lock()
	defer x.record.mu.Unlock()
	planned := x.record.planned
	x.record.planned = nil
	if planned == nil || action.Cause == StartRetry || planned.From != action.Avoid {
		return qf.RouteChoice{}, false
	}
	x.kvHandle = planned.KVHandle
	return qf.RouteChoice{Endpoint: planned.To, Reason: planned.Reason}, planned.To.ID != ""
}
