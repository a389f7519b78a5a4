package qfrequest

import (
	"time"

	"quetzalfront/internal/qf"
)

// PlannedMove is where a request goes on when it leaves its endpoint.
type PlannedMove struct {
	// From is empty for the first attempt.
	From qf.EndpointID
	// To is the zero value if the router chooses.
	To qf.Endpoint
	// KVHandle names the KV cache that was imported there, if any was.
	KVHandle string
	Reason   qf.Reason
}

// ActiveStream describes the attempt in progress of a model engine's request.
type ActiveStream struct {
	Endpoint qf.EndpointID
	Attempt  qf.AttemptID
	// Tokens is the length of the answer so far.
	Tokens int
	// Pace is the time between two tokens, or 0 if it isn't known yet.
	Pace time.Duration
}

// pace measures the time between two tokens of an attempt.
type pace struct {
	firstAt, lastAt time.Time
	tokens          int
}

func (p *pace) note(e Event, kind ActionKind) {
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

// RequestMove asks the runner to leave an endpoint for the planned one. It reports
// whether there was room for the event.
func (r *Record) RequestMove(now time.Time, planned *PlannedMove) bool {
	r.mu.Lock()
	r.planned = planned
	r.mu.Unlock()
	return r.Post(Event{Kind: EventLeaving, At: now, Endpoint: planned.From})
}

// PreferEndpoint has the first attempt go to an endpoint that has the KV cache of an
// earlier owner's attempt. It must be called before the request runs.
func (r *Record) PreferEndpoint(to qf.Endpoint, attempt qf.AttemptID) {
	r.planned = &PlannedMove{To: to, KVHandle: string(attempt), Reason: qf.Reason{Rule: "CacheOfPreviousOwner"}}
}

// takeKVHandle returns the name of the KV cache for the next attempt once.
func (x *run) takeKVHandle() string {
	handle := x.kvHandle
	x.kvHandle = ""
	return handle
}

// takePlanned returns the planned destination of a move once. A plan for a move
// that didn't come about is dropped.
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
