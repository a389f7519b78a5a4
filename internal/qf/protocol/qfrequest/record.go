package qfrequest

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// Record is its owner's record of a request: the lifecycle and the answer so far.
// Callers attach to it as readers; there may be several.
type Record struct {
	Request *qf.Request

	mu         sync.Mutex
	lifecycle  *Lifecycle
	generation qf.Generation
	// history is the history at the time when this node last released the request.
	history History
	// text holds the tokens of the answer so far.
	text []string
	// answer is the whole answer of a plain service.
	answer *qf.ServiceResponse
	// outcome is empty until the request ended.
	outcome qf.FinalOutcome
	err     *qf.Error
	// moved is set once another node owns the request.
	moved   *Moved
	endedAt time.Time
	readers map[*Reader]struct{}
	// events is the runner's event queue. Post never blocks on it; attempts do.
	events chan Event
	// released is closed when this node gives up its ownership; the runner then
	// returns and closes idle.
	released, idle chan struct{}
	// limitedToShadowed limits readers to the first shadowed tokens while the node
	// leaves, so that no caller receives more of the answer than the shadow holds.
	limitedToShadowed bool
	shadowed          int
	// watched is true once a caller has read this node's answer, or is about to.
	watched bool
	// pace measures the attempt in progress; planned is its next move, if any.
	pace    pace
	planned *PlannedMove
	// decisions holds the first maxDecisions decisions about the request.
	decisions []Decision
	// recomputed counts the prompt and answer tokens that attempts after the first
	// had to compute again.
	recomputed int
	// plan is set if, and only if, the request is once-only. It is set before the runner
	// starts.
	plan *PlannedStart
	// unrecorded is the outcome that isn't recorded in the ledger yet, if any.
	unrecorded *pendingOutcome
}

// Moved names the node that now owns a request.
type Moved struct {
	Node qf.Node
}

// Decision describes one decision about a request, for reports.
type Decision struct {
	At       time.Time
	Step     qf.Step
	Endpoint qf.EndpointID
	Reason   qf.Reason
	Note     string
}

// maxDecisions bounds the decisions that a record keeps.
const maxDecisions = 64

// eventBuffer is small because each of thousands of open requests has one. An attempt
// blocks while it is full, which applies back-pressure to its endpoint.
const eventBuffer = 4

// NewRecord returns the record of a request that this node owns. The part of the
// answer that the caller sent back moves from the request into the record.
func NewRecord(request *qf.Request, maxAttempts int) *Record {
	text := request.ResumeText
	request.ResumeText = nil
	return &Record{
		Request: request, lifecycle: NewLifecycle(request, maxAttempts, History{Tokens: len(text)}), generation: 1, text: text,
		readers: map[*Reader]struct{}{}, events: make(chan Event, eventBuffer),
		released: make(chan struct{}), idle: make(chan struct{}),
	}
}

// NewResumed returns the record of a request that another node handed over.
func NewResumed(from *qf.RequestRecord, now time.Time, maxAttempts int) *Record {
	request := from.Request
	request.Deadline = now.Add(from.TimeLeft)
	r := NewRecord(&request, maxAttempts)
	r.lifecycle = NewLifecycle(&request, maxAttempts, History{Tokens: len(from.Text), MayHaveRun: from.MayHaveRun})
	r.generation = from.Generation
	r.text = append([]string(nil), from.Text...)
	if from.Final {
		r.CompleteWith(now, nil)
	}
	return r
}

// Reader reads a record for one caller.
type Reader struct {
	record *Record
	// signal has capacity 1; a value means that the record changed.
	signal chan struct{}
}

// Progress is the progress of a record from an offset on.
type Progress struct {
	// Text holds the tokens from the requested offset on.
	Text    []string
	Answer  *qf.ServiceResponse
	Outcome qf.FinalOutcome
	Err     *qf.Error
	Moved   *Moved
}

// Ended reports whether this node will add nothing more.
func (p *Progress) Ended() bool { return p.Outcome != "" || p.Moved != nil }

// Attach returns a reader of the record. Detach it after use.
func (r *Record) Attach() *Reader {
	reader := &Reader{record: r, signal: make(chan struct{}, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers[reader] = struct{}{}
	r.watched = true
	return reader
}

// Detach removes the reader from the record.
func (d *Reader) Detach() {
	d.record.mu.Lock()
	defer d.record.mu.Unlock()
	delete(d.record.readers, d)
}

// Wait blocks until there is text from the offset on or the request has ended, and
// returns the progress.
func (d *Reader) Wait(ctx context.Context, offset int) (Progress, error) {
	for {
		progress := d.record.Progress(offset)
		if len(progress.Text) > 0 || progress.Ended() {
			return progress, nil
		}
		select {
		case <-d.signal:
		case <-ctx.Done():
			return Progress{}, ctx.Err()
		}
	}
}

// Progress returns the visible progress from the offset on.
func (r *Record) Progress(offset int) Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress(offset, r.visible())
}

// progress is called with the lock held.
func (r *Record) progress(offset, limit int) Progress {
	p := Progress{Moved: r.moved}
	if limit == len(r.text) {
		p.Answer, p.Outcome, p.Err = r.answer, r.outcome, r.err
	}
	if offset < limit {
		p.Text = r.text[offset:limit:limit]
	}
	return p
}

// Decisions returns the decisions about the request so far.
func (r *Record) Decisions() []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Decision(nil), r.decisions...)
}

// Recomputed returns the number of tokens that were computed again.
func (r *Record) Recomputed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recomputed
}

// EndedAt returns when the request ended here, or the zero time.
func (r *Record) EndedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedAt
}

// Endpoint returns the endpoint of the attempt in progress, or "".
func (r *Record) Endpoint() qf.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifecycle.Endpoint()
}

// Post queues an event for the runner. It returns false if the queue is full.
func (r *Record) Post(e Event) bool {
	select {
	case r.events <- e:
		return true
	default:
		return false
	}
}

// addDecision adds a decision. It is called without the lock held.
func (r *Record) addDecision(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.decisions) < maxDecisions {
		r.decisions = append(r.decisions, d)
	}
}

// wake signals every reader. It is called with the lock held.
func (r *Record) wake() {
	for reader := range r.readers {
		select {
		case reader.signal <- struct{}{}:
		default:
		}
	}
}

// apply applies an event to the lifecycle and records its effect atomically, so that
// readers never see a part of it.
func (r *Record) apply(e Event) Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	action := r.lifecycle.Apply(e)
	r.pace.record(e, action.Kind)
	switch action.Kind {
	case ActionDeliver:
		r.text = append(r.text, e.Chunk.Text)
		r.wake()
	case ActionFinish:
		r.answer = action.Answer
	default:
	}
	return action
}

// publishOutcome makes the outcome visible to readers. It is separate from apply because
// a once-only outcome must be recorded before the caller sees it.
func (r *Record) publishOutcome(now time.Time, outcome qf.FinalOutcome, err *qf.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = outcome
	r.err = err
	r.endedAt = now
	r.wake()
}

// Release ends this node's ownership, so that no further token reaches a reader, and
// returns the record for the next owner. It returns false if the request has ended or
// can't move: the call of a plain service is bound to its connection.
func (r *Record) Release(now time.Time) (qf.RequestRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lifecycle.Phase() == PhaseEnded || r.Request.Kind != qf.KindModelEngine {
		return qf.RequestRecord{}, false
	}
	attempts := r.lifecycle.Attempts()
	endpoint, attempt := r.lifecycle.Endpoint(), r.lifecycle.attempt
	r.history = r.lifecycle.History()
	r.lifecycle.Apply(Event{Kind: EventHandedOver, At: now})
	close(r.released)
	return qf.RequestRecord{
		Request: *r.Request, Generation: r.generation + 1, TimeLeft: r.Request.Deadline.Sub(now),
		Text: append([]string(nil), r.text...), Attempts: attempts, MayHaveRun: r.history.MayHaveRun,
		Endpoint: endpoint, Attempt: attempt,
	}, true
}

// Restore takes back a released request that no node took over, under a generation above
// all those that were offered. The caller must run it again, unless Restore returns false
// because another node owns the request after all.
func (r *Record) Restore(maxAttempts int, generation qf.Generation) bool {
	<-r.idle
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moved != nil {
		return false
	}
	r.generation = generation
	r.lifecycle = NewLifecycle(r.Request, maxAttempts, r.history)
	r.released, r.idle = make(chan struct{}), make(chan struct{})
	return true // Queued events of earlier attempts are ignored.
}

// MoveTo notifies the readers of a released request which node owns it.
func (r *Record) MoveTo(now time.Time, node qf.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved = &Moved{Node: node}
	r.endedAt = now
	r.wake()
}

// CompleteWith ends a record that never ran here, with the answer from the ledger if
// there is one.
func (r *Record) CompleteWith(now time.Time, answer *qf.ServiceResponse) {
	r.mu.Lock()
	r.lifecycle.Apply(Event{Kind: EventHandedOver, At: now})
	r.answer = answer
	r.mu.Unlock()
	r.publishOutcome(now, qf.OutcomeAnswered, nil)
}
