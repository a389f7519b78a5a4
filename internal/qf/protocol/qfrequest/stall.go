package qfrequest

import (
	"time"

	"quetzalfront/internal/qf"
)

// The status queries for a broken once-only attempt: their number at an endpoint that
// doesn't answer them, and the bounds of the delays between them.
const (
	maxStatusQueries = 4
	firstStatusDelay = 100 * time.Millisecond
	maxStatusDelay   = 2 * time.Second
)

// maxStallsBeforeFirstChunk bounds the stalls before the first chunk during which the
// request is left in the queue of a busy endpoint.
const maxStallsBeforeFirstChunk = 3

// stalled checks an attempt that makes no progress. A plain service is queried for the
// attempt's status, so that a call that still runs isn't run again; an engine is probed.
func (l *Lifecycle) stalled(e Event) Action {
	if !l.isCurrentAttempt(e) {
		return Action{Kind: ActionNone}
	}
	l.stalls++
	if l.request.Kind == qf.KindPlainService {
		return Action{Kind: ActionQueryStatus}
	}
	return Action{Kind: ActionProbe}
}

// probed handles the probe of a stalled engine. An engine that answers over a new
// connection has lost the old one and is sent the request again, unless the request may
// still be in its queue.
func (l *Lifecycle) probed(e Event) Action {
	if !l.isCurrentAttempt(e) {
		return Action{Kind: ActionNone}
	}
	if e.Err == nil && !l.hasChunk && e.Queued > 0 && l.stalls <= maxStallsBeforeFirstChunk {
		return Action{Kind: ActionNone}
	}
	l.mayHaveRun = true
	l.lastErr = qf.NewError(qf.CodeBroken, qf.StepAttempt, string(l.endpoint), "the endpoint made no progress")
	action := l.retry()
	if e.Err == nil && action.Kind == ActionStart {
		action.Cause = StartReconnect
		action.Avoid = ""
	}
	return action
}

// status handles the endpoint's status of an attempt. Another attempt is allowed only if
// it is proven that this one never ran and never will.
func (l *Lifecycle) status(e Event) Action {
	isPending := l.phase == PhaseQuerying || l.phase == PhaseRunning
	if !isPending || e.Attempt != l.attempt {
		return Action{Kind: ActionNone}
	}
	switch {
	case e.Certainty == qf.Done && e.Answer != nil && e.Answer.Attempt == l.attempt:
		return l.answered(e.Answer)
	case e.Certainty == qf.NotDone:
		if l.request.OnceOnly() {
			l.mayHaveRun = false
		}
		l.lastErr = e.Err
		return l.retry()
	case l.phase == PhaseRunning:
		return Action{Kind: ActionNone} // The answer may still arrive over the old connection.
	default:
		return l.queryStatusAgain(e)
	}
}

// queryStatusAgain repeats the query until the deadline while the endpoint reports that the
// attempt runs, and up to maxStatusQueries times if there is no answer.
func (l *Lifecycle) queryStatusAgain(e Event) Action {
	l.statusQueries++
	if l.statusQueries >= maxStatusQueries && qf.CodeOf(e.Err) != qf.CodeStillRunning {
		return l.giveUp(e)
	}
	delay := firstStatusDelay << min(l.statusQueries-1, maxStatusQueries)
	return Action{Kind: ActionQueryStatus, After: min(delay, maxStatusDelay)}
}

// lost ends a request whose intent another node changed: it may have run there.
func (l *Lifecycle) lost(e Event) Action {
	l.mayHaveRun = true
	return l.giveUp(Event{Err: qf.NewError(qf.CodeStillRunning, qf.StepIntent, "", e.Err.Error())})
}
