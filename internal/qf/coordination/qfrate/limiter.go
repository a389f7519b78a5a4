// Package qfrate keeps the nodes of a fleet together within the rates of requests that endpoints
// state, without a message for each request. Time is cut into turns, one for each request that an
// endpoint takes, and each turn belongs to one node (qfshare).
package qfrate

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfshare"
)

const (
	// minRate is the rate that is assumed for endpoints that state less, in requests a second:
	// without any request, nobody would learn that an endpoint takes more again.
	minRate = 0.05
	// bucketRate is the node's share of a rate, in requests a second, from which on a token bucket
	// replaces turns.
	bucketRate = 4.0
	// bucketDepth is the time for which a share is kept in the bucket.
	bucketDepth = 250 * time.Millisecond
	// turnsKept and turnsKeptFor bound how long a turn that hasn't been used is kept: for
	// turnsKept turns and turnsKeptFor, at most maxTurnAge. All nodes together then send at most
	// 5 times the rate and 2 requests in 4 s.
	turnsKept    = 2
	turnsKeptFor = time.Second
	maxTurnAge   = 6 * time.Second
	// strictTurnsKept and strictTurnsKeptFor are the same for a strict limiter, of which the longer one counts. All
	// nodes together then send at most 1.25 times the rate, or the rate and 3 requests, in a second.
	strictTurnsKept    = 3
	strictTurnsKeptFor = 250 * time.Millisecond
)

// Limiter decides when a node may send requests to endpoints that state a rate. All times are the
// fleet's. It isn't safe for concurrent use.
type Limiter struct {
	// shares are the nodes' shares of the turns.
	shares *qfshare.Table
	// isStrict means that a rate holds in each second, not only over some of them.
	isStrict  bool
	endpoints map[qf.EndpointID]*endpoint
	// returns holds when the last caller that was refused should come back, by entry.
	returns map[qf.EntryName]time.Time
	// stated is the number of endpoints that state a rate.
	stated int
	// order holds the endpoints by name; it is nil while it has to be made anew. news holds those
	// that have changed lately, the latest last.
	order, news []qf.EndpointID
}

// endpoint is an endpoint that states a rate, or did so a short time ago.
type endpoint struct {
	entry       qf.EntryName
	incarnation qf.Incarnation
	hash        uint64
	// rate is in requests a second; 0 means that the endpoint states none any more.
	rate float64
	// at is the time of the answer behind the rate, or of the request whose answer had none.
	at time.Time
	// changedAt is when this node changed the rate.
	changedAt time.Time
	// next is the first turn that hasn't been assigned yet, or 0.
	next int64
	// turns holds the ends of the node's own turns that it hasn't used.
	turns []time.Time
	// tokens is the level of the bucket at filledAt, which is zero while turns are used.
	tokens   float64
	filledAt time.Time
}

// NewLimiter returns a limiter that knows of no rates.
func NewLimiter(shares *qfshare.Table) *Limiter {
	return &Limiter{shares: shares, endpoints: map[qf.EndpointID]*endpoint{}, returns: map[qf.EntryName]time.Time{}}
}

// NewStrictLimiter returns a limiter that holds rates in each second. Its owner sets them.
func NewStrictLimiter(shares *qfshare.Table) *Limiter {
	l := NewLimiter(shares)
	l.isStrict = true
	return l
}

// HasRates reports whether any endpoint states a rate.
func (l *Limiter) HasRates() bool { return l.stated > 0 }

// MaySend reports whether the node may send a request to an endpoint now.
func (l *Limiter) MaySend(now time.Time, id qf.EndpointID) bool {
	e := l.endpoints[id]
	if e == nil || e.rate == 0 {
		return true
	}
	l.advance(now, e)
	return e.tokens >= 1 || len(e.turns) > 0
}

// RecordSend uses up one request of the endpoint's rate.
func (l *Limiter) RecordSend(now time.Time, id qf.EndpointID) {
	e := l.endpoints[id]
	if e == nil || e.rate == 0 {
		return
	}
	l.advance(now, e)
	switch {
	case len(e.turns) > 0:
		e.turns = e.turns[1:]
	case e.tokens >= 1:
		e.tokens--
	}
}

// advance assigns the turns that have begun, or fills the bucket.
func (l *Limiter) advance(now time.Time, e *endpoint) {
	s := l.shares.Of(now, e.entry)
	if s == nil {
		e.turns, e.tokens = nil, 0
		return
	}
	if share := e.rate * s.Own(); share >= bucketRate {
		e.fill(now, share)
		return
	}
	e.tokens, e.filledAt = 0, time.Time{}
	e.assignTurns(now, s, l.keptFor(e.rate))
}

// keptFor returns how long unused turns of a rate are kept.
func (l *Limiter) keptFor(rate float64) time.Duration {
	turns := func(count float64) time.Duration { return time.Duration(count / rate * float64(time.Second)) }
	if l.isStrict {
		return min(max(strictTurnsKeptFor, turns(strictTurnsKept)), maxTurnAge)
	}
	return min(turnsKeptFor+turns(turnsKept), maxTurnAge)
}

// fill adds to the bucket what the share allows since the last call.
func (e *endpoint) fill(now time.Time, share float64) {
	e.turns, e.next = nil, 0
	depth := max(share*bucketDepth.Seconds(), 1)
	if e.filledAt.IsZero() {
		e.filledAt = now
	}
	if elapsed := now.Sub(e.filledAt); elapsed > 0 {
		e.tokens = min(e.tokens+share*elapsed.Seconds(), depth)
		e.filledAt = now
	}
}

// assignTurns adds the node's own turns that have begun since the last call, and drops those that
// are over.
func (e *endpoint) assignTurns(now time.Time, s *qfshare.Shares, keptFor time.Duration) {
	present := e.turnAt(now)
	if e.next == 0 {
		e.next = present
	}
	e.next = max(e.next, e.turnAt(now.Add(-keptFor))+1)
	for ; e.next <= present; e.next++ {
		if s.IsOwn(e.hash ^ uint64(e.next)) { //nolint:gosec // Any bits will do.
			e.turns = append(e.turns, e.turnStart(e.next).Add(keptFor))
		}
	}
	for len(e.turns) > 0 && !now.Before(e.turns[0]) {
		e.turns = e.turns[1:]
	}
}

// turnAt returns the number of the turn at a time. Endpoints' turns begin at different moments.
func (e *endpoint) turnAt(at time.Time) int64 {
	return int64(float64(at.UnixNano())/float64(time.Second)*e.rate + e.phase())
}

// turnStart returns when a turn begins.
func (e *endpoint) turnStart(turn int64) time.Time {
	return time.Unix(0, int64((float64(turn)-e.phase())/e.rate*float64(time.Second)))
}

func (e *endpoint) phase() float64 { return qfshare.Fraction(e.hash) }

// maxReturn bounds the time after which a caller is asked to return.
const maxReturn = 10 * time.Second

// RetryAfter returns when a caller that was refused because of stated rates should return. Callers
// get different times, one for each request that the node may send, in the order of their refusals.
func (l *Limiter) RetryAfter(now time.Time, entry qf.EntryName) time.Duration {
	rate := 0.0
	for _, e := range l.endpoints {
		if e.entry == entry {
			rate += e.rate
		}
	}
	s := l.shares.Of(now, entry)
	if s == nil || rate == 0 {
		return time.Second
	}
	interval := min(time.Duration(float64(time.Second)/(rate*max(s.Own(), 1e-6))), maxReturn)
	at := l.returns[entry]
	if at.Before(now) {
		at = now
	}
	at = at.Add(interval)
	if latest := now.Add(maxReturn); at.After(latest) {
		at = latest
	}
	l.returns[entry] = at
	return at.Sub(now)
}
