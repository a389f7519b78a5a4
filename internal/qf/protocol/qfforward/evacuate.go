package qfforward

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

const (
	// evacuationLead is how long before an endpoint stops its streams begin to move: late, so
	// that as many as possible end by themselves.
	evacuationLead = 1200 * time.Millisecond
	// evacuationTimePerStream is added to the lead for each stream, because moves share the
	// endpoint's link.
	evacuationTimePerStream = 50 * time.Millisecond
)

// streamTable holds the streams in progress by endpoint. It is safe for concurrent use.
type streamTable struct {
	mu      sync.Mutex
	streams map[qf.EndpointID]map[*stream]struct{}
}

// stream is one attempt that relays a stream.
type stream struct {
	call   *call
	picked qf.PickedEndpoint
	// hasEvents is set once an event was forwarded: only then the engine runs the request.
	hasEvents atomic.Bool
	// move is set once the stream's run is being moved. The table's lock guards it.
	move *streamMove
}

// streamMove is the last move of a stream's run to another endpoint.
type streamMove struct {
	to qf.PickedEndpoint
	// known is closed once certainty and memory are set. The run goes on at the other endpoint
	// if certainty is Done.
	known     chan struct{}
	certainty qf.Certainty
	memory    qf.RunMemory
	// isAbandoned is set if the caller's request ended before the result was known. The
	// table's lock guards it.
	isAbandoned bool
}

func newStreamTable() *streamTable {
	return &streamTable{streams: map[qf.EndpointID]map[*stream]struct{}{}}
}

func (t *streamTable) add(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := s.picked.Endpoint.ID
	if t.streams[id] == nil {
		t.streams[id] = map[*stream]struct{}{}
	}
	t.streams[id][s] = struct{}{}
}

// remove removes a stream that has ended, and returns its move, if one has begun.
func (t *streamTable) remove(s *stream) *streamMove {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := s.picked.Endpoint.ID
	delete(t.streams[id], s)
	if len(t.streams[id]) == 0 {
		delete(t.streams, id)
	}
	return s.move
}

// beginMove sets the stream's move, unless the stream has ended or is being moved.
func (t *streamTable) beginMove(s *stream, move *streamMove) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, isOpen := t.streams[s.picked.Endpoint.ID][s]; !isOpen || s.move != nil {
		return false
	}
	s.move = move
	return true
}

// settle sets the result of a move, and reports whether the run goes on at the other endpoint.
func (t *streamTable) settle(move *streamMove, certainty qf.Certainty, memory qf.RunMemory) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	move.certainty, move.memory = certainty, memory
	close(move.known)
	return certainty == qf.Done && !move.isAbandoned
}

// abandon gives up a move because the caller's request has ended. It reports whether the move
// had succeeded before, so that the other endpoint is still reserved.
func (t *streamTable) abandon(move *streamMove) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	move.isAbandoned = true
	select {
	case <-move.known:
		return move.certainty == qf.Done
	default:
		return false
	}
}

func (t *streamTable) at(endpoint qf.EndpointID) []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*stream, 0, len(t.streams[endpoint]))
	for s := range t.streams[endpoint] {
		list = append(list, s)
	}
	return list
}

// Evacuate moves the streams that still run at an endpoint shortly before it stops, with the
// memory of their runs. Streams that callers or nodes can resume elsewhere stay.
func (f *Forwarder) Evacuate(ctx context.Context, endpoint qf.EndpointID, stopsIn time.Duration) {
	lead := evacuationLead + time.Duration(len(f.streams.at(endpoint)))*evacuationTimePerStream
	if wait := stopsIn - lead; wait > 0 {
		subscription := f.ports.Clock.After(wait)
		defer subscription.Stop()
		select {
		case <-subscription.C():
		case <-ctx.Done():
			return
		}
	}
	for _, s := range f.streams.at(endpoint) {
		if ctx.Err() == nil && !s.call.route.Resumable && s.hasEvents.Load() {
			f.moveStream(ctx, s)
		}
	}
}

// moveStream copies the memory of a stream's run while it goes on, then stops it and copies the
// rest.
func (f *Forwarder) moveStream(ctx context.Context, s *stream) {
	c, from := s.call, &s.picked.Endpoint
	now := f.ports.Clock.Now()
	to, err := f.ports.Picker.PickEndpoint(&qf.PickQuery{
		Now: now, Route: c.route, Organisation: c.organisation(), Prompt: c.request.Prompt, Deadline: c.deadline,
		Excluded: []qf.EndpointID{from.ID}, Entry: from.Entry, Residency: c.residency(),
	})
	if err != nil {
		f.ports.ObserveMove(c.request.ID, from.ID, "", qf.NotDone, err)
		return
	}
	move := &streamMove{known: make(chan struct{}), to: to}
	moved := f.copyRun(ctx, s, move)
	if !f.streams.settle(move, moved.Certainty, moved.Value) {
		f.releaseMove(move)
	}
	f.ports.ObserveMove(c.request.ID, from.ID, to.Endpoint.ID, moved.Certainty, moved.Err)
}

// releaseMove ends the reservation of an endpoint to which no run was moved.
func (f *Forwarder) releaseMove(move *streamMove) {
	f.ports.Picker.RecordAttemptEnd(f.ports.Clock.Now(), &move.to, qf.AttemptCancelled)
}

var errOtherVersion = errors.New("no endpoint of the same version may get the run")

// copyRun makes the calls of a move. The result is NotDone if the run goes on or has ended where
// it is.
func (f *Forwarder) copyRun(ctx context.Context, s *stream, move *streamMove) qf.Result[qf.RunMemory] {
	from, to := &s.picked.Endpoint, &move.to.Endpoint
	if to.Version != from.Version {
		return qf.NotDoneFor[qf.RunMemory](errOtherVersion)
	}
	step := &qf.RunMove{Request: s.call.request.ID, From: from.Address, To: to.Address}
	if copied := f.ports.Mover.MoveRun(ctx, step); copied.Certainty != qf.Done {
		return qf.NotDoneFor[qf.RunMemory](copied.Err)
	}
	if !f.ports.Admission.TakeRetry(f.ports.Clock.Now(), from.Entry) {
		return qf.NotDoneFor[qf.RunMemory](errNoRetry)
	}
	if !f.streams.beginMove(s, move) {
		return qf.NotDoneFor[qf.RunMemory](errStreamEnded)
	}
	step.IsLast = true
	return f.ports.Mover.MoveRun(ctx, step)
}

var (
	errNoRetry     = errors.New("the retry budget is used up")
	errStreamEnded = errors.New("the stream has ended")
)

// relayMovable relays a stream that may be moved meanwhile. The move is nil if the stream ended
// where it began.
func (c *call) relayMovable(ctx context.Context, s *relay, a *attempt, watch *qftimer.Alarm) (*streamMove, error) {
	entry := &stream{call: c, picked: a.picked}
	s.stream = entry
	table := c.forwarder.streams
	table.add(entry)
	err := s.relayStream(a, watch)
	move := table.remove(entry)
	if move == nil {
		return nil, err
	}
	select {
	case <-move.known:
	case <-ctx.Done():
		if table.abandon(move) {
			c.forwarder.releaseMove(move)
		}
		return nil, ctx.Err()
	}
	switch move.certainty {
	case qf.Done:
		return move, nil
	case qf.Unknown:
		return nil, errors.Join(err, io.ErrUnexpectedEOF) // The run may have been stopped before its end.
	default:
		return nil, err
	}
}
