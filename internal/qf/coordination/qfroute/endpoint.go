package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// endpoint is what a node knows of one candidate.
type endpoint struct {
	qf.Endpoint
	pool *pool
	// number is the endpoint's number in the prefix index. It changes when the
	// endpoint's cache is cleared.
	number uint32
	// departing is never taken back for one incarnation of the VM.
	departing bool
	health    health
	// link is the one-way delay from this node, price is per second.
	link  time.Duration
	price float64
	// slow is how much longer first tokens take than predicted.
	slow float64
	// excess is what the endpoint has beyond the load that nodes are known to
	// have sent: the last report less the known load of the report's time.
	excess   load
	reportAt time.Time
	sequence uint64
	// load is the estimate at present, fixedSeconds the part of a first token that
	// doesn't depend on the request. refresh keeps both.
	load         load
	fixedSeconds float64
	// isElsewhere says that the endpoint is in another region than the node.
	isElsewhere bool
	// marked is the number of cached tokens of the prompt of decision markedIn.
	marked   float64
	markedIn uint64
	// slots is the number of requests that the engine runs at once, or zero if
	// it was never seen to be at its bound. pinned is the number that ran in the
	// last pinnedFor reports.
	slots             float64
	pinned, pinnedFor int
	// own is this node's load, peers that of the other nodes.
	own, peers load

	attempts []attempt
	sent     []peerLoad
	past     history
	cache    cacheFeed
	// toldUntil is until when peers are still told that nothing runs here.
	toldUntil  time.Time
	answeredAt time.Time
}

// attempt is one attempt of this node that hasn't ended.
type attempt struct {
	startedAt time.Time
	tokens    int
	// work is the number of tokens before the first token, those ahead in the
	// queue included; fixed is the predicted time besides.
	work      float64
	fixed     time.Duration
	predicted time.Duration
	firstAt   time.Time
	isTrial   bool
}

// peerLoad is what one peer has in progress.
type peerLoad struct {
	node     qf.NodeID
	sequence uint64
	at       time.Time
	load     load
	answered bool
	failing  bool
}

const (
	// reportFor is how long a report counts.
	reportFor = 30 * time.Second
	// peerNewsFor is how long the news of a peer counts.
	peerNewsFor = 5 * time.Second
)

// known is the load that nodes are known to have sent.
func (e *endpoint) known() load { return e.own.plus(e.peers) }

// estimate is the load at present: the last report, corrected by what was sent
// and what ended since it was made. It is never less than what is known.
func (e *endpoint) estimate(now time.Time) load {
	known := e.known()
	if e.reportAt.IsZero() || now.Sub(e.reportAt) > reportFor {
		return known
	}
	return known.plus(e.excess).atLeast(known)
}

// changed notes that what nodes sent has changed.
func (e *endpoint) changed(at time.Time) {
	e.past.note(at, e.known())
	e.refresh(at)
}

// refresh works out what a choice needs of the endpoint.
func (e *endpoint) refresh(now time.Time) {
	e.load = e.estimate(now)
	e.fixedSeconds = (e.fixed() + 2*e.link).Seconds()
}

// fixed is the predicted time before a first token that isn't prefill.
func (e *endpoint) fixed() time.Duration {
	fixed := time.Duration(e.load.requests * float64(runningCost))
	if waiting := e.load.requests + 1 - e.slots; e.slots > 0 && waiting > 0 {
		fixed += time.Duration(waiting / e.slots * float64(e.pool.hold))
	}
	return fixed
}

func (e *endpoint) report(at time.Time, r *qf.LoadReport) {
	if r.Sequence <= e.sequence && r.Sequence != 0 {
		return
	}
	e.sequence = r.Sequence
	made := r.At
	if made.IsZero() || made.After(at) {
		made = at // The clocks differ.
	}
	reported := load{requests: float64(r.Running + r.Queued), tokens: float64(r.QueuedTokens)}
	e.excess = reported.minus(e.past.at(made))
	e.reportAt = made
	e.learnSlots(r)
	e.refresh(at)
}

const (
	// leastSlots is the least number of running requests that is taken for an
	// engine's bound, pinnedReports the number of reports that must show it.
	leastSlots    = 8
	pinnedReports = 4
)

// learnSlots finds the bound of running requests. An engine at its bound has a
// queue while the number that runs doesn't move; one that waits for prefill has
// a queue while it does.
func (e *endpoint) learnSlots(r *qf.LoadReport) {
	if r.Queued == 0 || r.Running < leastSlots || r.Running != e.pinned {
		e.pinned, e.pinnedFor = r.Running, 0
	}
	e.pinnedFor++
	if float64(r.Running) > e.slots {
		e.slots = 0
	}
	if e.pinnedFor >= pinnedReports && r.Queued > 0 && r.Running >= leastSlots {
		e.slots = float64(r.Running)
	}
}

func (e *endpoint) start(at time.Time, a attempt) {
	e.attempts = append(e.attempts, a)
	e.own = e.own.plus(load{requests: 1, tokens: float64(a.tokens)})
	e.changed(at)
}

// first marks the attempt that was started at a time. It returns nil if there is
// none.
func (e *endpoint) first(at, startedAt time.Time) *attempt {
	for i := range e.attempts {
		a := &e.attempts[i]
		if !a.firstAt.IsZero() || !a.startedAt.Equal(startedAt) {
			continue
		}
		a.firstAt = at
		e.own.tokens -= float64(a.tokens)
		e.changed(at)
		return a
	}
	return nil
}

// end removes an attempt with so many tokens, one with a first token before
// others if it succeeded.
func (e *endpoint) end(at time.Time, tokens int, ok bool) (attempt, bool) {
	found := -1
	for i := range e.attempts {
		a := &e.attempts[i]
		if a.tokens != tokens {
			continue
		}
		if found < 0 || a.firstAt.IsZero() != ok {
			found = i
		}
	}
	if found < 0 {
		return attempt{}, false
	}
	a := e.attempts[found]
	last := len(e.attempts) - 1
	e.attempts[found] = e.attempts[last]
	e.attempts = e.attempts[:last]
	gone := load{requests: 1}
	if a.firstAt.IsZero() {
		gone.tokens = float64(a.tokens)
	}
	e.own = e.own.minus(gone)
	e.changed(at)
	return a, true
}

// peerSent takes what a peer has in progress. Crossed messages are dropped.
func (e *endpoint) peerSent(at time.Time, s *qf.InFlightLoad) {
	news := peerLoad{
		node: s.Node, sequence: s.Sequence, at: at, answered: s.Answered, failing: s.Failing,
		load: load{requests: float64(s.Running), tokens: float64(s.Tokens)},
	}
	known := false
	for i := range e.sent {
		if e.sent[i].node != s.Node {
			continue
		}
		if e.sent[i].sequence >= s.Sequence && at.Sub(e.sent[i].at) < peerNewsFor {
			return
		}
		e.sent[i] = news
		known = true
	}
	if !known {
		e.sent = append(e.sent, news)
	}
	e.sumPeers(at)
}

// sumPeers drops old news and adds up the rest.
func (e *endpoint) sumPeers(now time.Time) {
	e.peers = load{}
	kept := e.sent[:0]
	for _, s := range e.sent {
		if now.Sub(s.at) < peerNewsFor {
			kept = append(kept, s)
			e.peers = e.peers.plus(s.load)
		}
	}
	e.sent = kept
	e.changed(now)
}
