package qfretry

import (
	"time"

	"quetzalfront/internal/qf"
)

// newWeight is the weight of a new observation in an estimate.
const newWeight = 0.1

// estimate holds the moving averages of one entry's whole attempts. A zero means
// that there was no observation.
type estimate struct {
	// call is the time of a plain service's call.
	call                     time.Duration
	firstToken, betweenToken time.Duration
}

// RecordObservation learns how long attempts take. Only whole ones count, so that failures
// that end early don't make the next attempt look short.
func (b *Budget) RecordObservation(o *qf.Observation) {
	if !o.Complete {
		return
	}
	e := b.estimates[o.Entry]
	if e == nil {
		e = &estimate{}
		b.estimates[o.Entry] = e
	}
	if o.Tokens == 0 {
		e.call = average(e.call, o.Took)
		return
	}
	e.firstToken = average(e.firstToken, o.FirstToken)
	e.betweenToken = average(e.betweenToken, o.BetweenToken)
}

func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(newWeight*float64(observed-old))
}

// expected is the time that an attempt needs; 0 if nothing is known.
func (b *Budget) expected(entry qf.EntryName, remaining int) time.Duration {
	e := b.estimates[entry]
	if e == nil {
		return 0
	}
	if remaining == 0 {
		return e.call
	}
	return e.firstToken + time.Duration(remaining)*e.betweenToken
}
