package qfretry

import (
	"time"

	"quetzalfront/internal/qf"
)

// observationWeight is the weight of a new observation in a moving average.
const observationWeight = 0.1

// estimate holds the moving averages of one entry's complete attempts. Zero means
// that there has been no observation.
type estimate struct {
	// call is the duration of a call of a plain service.
	call                     time.Duration
	firstToken, betweenToken time.Duration
}

// RecordObservation records how long an attempt took. Only complete attempts count,
// because early failures would make the next attempt look short.
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
	return old + time.Duration(observationWeight*float64(observed-old))
}

// expected returns the expected duration of an attempt, or 0 if there is no estimate.
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
