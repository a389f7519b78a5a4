package qfrequest

import (
	"time"

	"quetzalfront/internal/qf"
)

// The questions about a broken once-only attempt: how often an endpoint that
// can't be reached is asked, and the delays between questions.
const (
	maxStatusAsks    = 4
	firstStatusDelay = 100 * time.Millisecond
	maxStatusDelay   = 2 * time.Second
)

// maxQuiet bounds the silences before the first piece during which a busy
// endpoint is waited for.
const maxQuiet = 3

// silent checks on an attempt that makes no progress. A plain service is asked
// for the attempt's status, so that a call which still runs isn't run again; an
// engine is probed.
func (l *Lifecycle) silent(e Event) Action {
	if !l.isCurrent(e) {
		return Action{Kind: ActionNone}
	}
	l.quiet++
	if l.request.Kind == qf.KindPlainService {
		return Action{Kind: ActionQueryStatus}
	}
	return Action{Kind: ActionProbe}
}

// probed acts on a probe of a silent engine. One that answers on a new connection
// has lost the old one and gets the request again, unless the request may still
// be in its queue.
func (l *Lifecycle) probed(e Event) Action {
	if !l.isCurrent(e) {
		return Action{Kind: ActionNone}
	}
	if e.Err == nil && !l.hasPiece && e.Queued > 0 && l.quiet <= maxQuiet {
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

// status acts on the endpoint's word. Only proof that the attempt never ran, nor
// ever will, allows another one.
func (l *Lifecycle) status(e Event) Action {
	isOpen := l.phase == PhaseQuerying || l.phase == PhaseRunning
	if !isOpen || e.Attempt != l.attempt {
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
		return Action{Kind: ActionNone} // The old connection may still bring the answer.
	default:
		return l.askAgain(e)
	}
}

// askAgain asks until the deadline while the endpoint says that the attempt runs,
// and a few times if it says nothing.
func (l *Lifecycle) askAgain(e Event) Action {
	l.asks++
	if l.asks >= maxStatusAsks && qf.CodeOf(e.Err) != qf.CodeStillRunning {
		return l.giveUp(e)
	}
	delay := firstStatusDelay << min(l.asks-1, maxStatusAsks)
	return Action{Kind: ActionQueryStatus, After: min(delay, maxStatusDelay)}
}

// lost ends a request whose key another node settled: it may have run there.
func (l *Lifecycle) lost(e Event) Action {
	l.mayHaveRun = true
	return l.giveUp(Event{Err: qf.NewError(qf.CodeStillRunning, qf.StepIntent, "", e.Err.Error())})
}
