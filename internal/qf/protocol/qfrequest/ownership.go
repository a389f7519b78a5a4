package qfrequest

import (
	"time"

	"quetzalfront/internal/qf"
)

// NewMoved returns a record that states only which node owns a request.
func NewMoved(now time.Time, request *qf.Request, node qf.Node) *Record {
	r := NewRecord(request, 1)
	r.lifecycle.Apply(Event{Kind: EventHandedOver, At: now})
	r.MoveTo(now, node)
	return r
}

// Generation returns the generation under which this node owns the request.
func (r *Record) Generation() qf.Generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// RaiseGeneration raises the generation to at least the given one, because another node
// may own the request under a lower generation.
func (r *Record) RaiseGeneration(generation qf.Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation = max(r.generation, generation)
}

// MarkWatched records that a caller is about to read this node's answer.
func (r *Record) MarkWatched() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched = true
}

// IsWatched reports whether a caller has read this node's answer, or is about to.
func (r *Record) IsWatched() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watched
}

// IsOwned reports whether this node owns the request and it hasn't ended.
func (r *Record) IsOwned() bool { return r.isOwned() }

// Supersede ends a stale ownership: it stops the attempt in progress and notifies
// readers of the new owner. A request that ended here keeps its outcome.
func (r *Record) Supersede(now time.Time, node qf.Node, generation qf.Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moved != nil || r.outcome != "" {
		return
	}
	if r.lifecycle.Phase() != PhaseEnded {
		r.lifecycle.Apply(Event{Kind: EventHandedOver, At: now})
		close(r.released)
	}
	r.generation = generation
	r.moved = &Moved{Node: node}
	r.endedAt = now
	r.wake()
}

// OwnershipRecord returns the record's ownership without its text.
func (r *Record) OwnershipRecord(now time.Time, owner qf.NodeID) qf.RequestRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return qf.RequestRecord{
		Request: qf.Request{
			ID: r.Request.ID, Organisation: r.Request.Organisation, Entry: r.Request.Entry,
			Kind: r.Request.Kind, Stream: r.Request.Stream,
		},
		Generation: r.generation, Owner: owner, TimeLeft: r.Request.Deadline.Sub(now), Final: r.outcome != "",
		Watched: r.watched,
	}
}

// FullProgress returns the record's whole progress, including tokens that readers may
// not see yet.
func (r *Record) FullProgress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress(0, len(r.text))
}

// visible returns the number of tokens that readers may see. It is called with the lock
// held.
func (r *Record) visible() int {
	if r.limitedToShadowed {
		return min(r.shadowed, len(r.text))
	}
	return len(r.text)
}

// LimitToShadowed limits readers to the tokens that ConfirmShadow has confirmed.
func (r *Record) LimitToShadowed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitedToShadowed = true
}

// LiftShadowLimit shows readers the whole text again, for when no peer can hold a
// shadow.
func (r *Record) LiftShadowLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitedToShadowed = false
	r.wake()
}

// ConfirmShadow records that a peer holds a shadow with the given number of tokens.
func (r *Record) ConfirmShadow(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shadowed = max(r.shadowed, tokens)
	r.wake()
}

// needsShadow reports whether a caller may still read a part of the record that only
// this node holds.
func (r *Record) needsShadow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Request.Kind != qf.KindModelEngine || r.moved != nil {
		return false
	}
	if r.outcome == "" {
		return r.lifecycle.Phase() != PhaseEnded
	}
	return r.outcome == qf.OutcomeAnswered && len(r.readers) > 0
}

// Shadow returns a copy for a peer: the whole record if whole is true, else the tokens
// from the index on. The text is shared with the record and must not be changed.
func (r *Record) Shadow(now time.Time, owner qf.NodeID, from int, whole bool) qf.RequestRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := qf.RequestRecord{
		Generation: r.generation, Owner: owner, TimeLeft: r.Request.Deadline.Sub(now),
		Final: r.outcome == qf.OutcomeAnswered, Endpoint: r.lifecycle.Endpoint(), Attempt: r.lifecycle.attempt,
	}
	if whole {
		out.Request = *r.Request
		out.Text = r.text[:len(r.text):len(r.text)]
		return out
	}
	out.Update = true
	out.Request.ID = r.Request.ID
	out.TextFrom = from
	out.Text = r.text[from:len(r.text):len(r.text)]
	return out
}
