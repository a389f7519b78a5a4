package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// endpoint holds the state and the predictions for one candidate.
type endpoint struct {
	qf.Endpoint
	pool *pool
	// number is the endpoint's number in the prefix index. It changes when the
	// endpoint's cache is cleared.
	number uint32
	// departing stays set for this incarnation of the VM.
	departing bool
	health    health
	// link is the one-way network delay from this node, price that of a second of the VM.
	link  time.Duration
	price float64
	// slowdown is the moving average of the ratio of measured times to first token to those
	// predicted without it.
	slowdown float64
	// isCold means that the endpoint was slow after a cold start at the last choice that considered it.
	isCold bool
	// timing replaces slowdown in an uneven pool.
	timing timing
	// excess is the last reported load minus the load that this node and its peers had
	// in progress when the report was made.
	excess   load
	reportAt time.Time
	sequence uint64
	// load is the current estimate, and fixedSeconds the part of the time to first token
	// that doesn't depend on the request. refresh updates both.
	load         load
	fixedSeconds float64
	// isOtherRegion is set if the endpoint is in another region than the node.
	isOtherRegion bool
	// cachedTokens is the number of prompt tokens that the endpoint has cached, valid only
	// for the decision numbered cachedDecision.
	cachedTokens   float64
	cachedDecision uint64
	// slots is the number of requests that the engine runs at once, or zero while it
	// isn't known. steadyRunning is the number that ran in each of the last
	// steadyReports reports.
	slots                        float64
	steadyRunning, steadyReports int
	// own is this node's load in progress, peers that of the other nodes.
	own, peers load

	attempts    []attempt
	peerLoads   []peerLoad
	loadHistory history
	cache       cacheFeed
	// reportedUntil is when this node stops reporting its load here to peers.
	reportedUntil time.Time
	// answeredAt is when this node last received an answer from the endpoint.
	answeredAt time.Time
}

// attempt is one attempt of this node that hasn't ended.
type attempt struct {
	startedAt time.Time
	tokens    int
	// work is the number of tokens to compute before the first token, including those
	// ahead in the queue; fixed is the predicted time that doesn't depend on them.
	work      float64
	fixed     time.Duration
	predicted time.Duration
	firstAt   time.Time
	isTrial   bool
	// isCold means that the endpoint was slow after a cold start, as predicted.
	isCold bool
	// noise is the noise that the endpoint stated at the start.
	noise float64
}

// peerLoad is one peer's load in progress at an endpoint.
type peerLoad struct {
	node     qf.NodeID
	sequence uint64
	at       time.Time
	load     load
	answered bool
	failing  bool
}

const (
	// reportMaxAge is how long a load report is used.
	reportMaxAge = 30 * time.Second
	// peerLoadMaxAge is how long a load update of a peer is used.
	peerLoadMaxAge = 5 * time.Second
)

// knownLoad returns the load that this node and its peers have in progress.
func (e *endpoint) knownLoad() load { return e.own.plus(e.peers) }

// estimateLoad returns the last reported load, corrected by the attempts that started
// and ended since the report was made. It is never less than knownLoad.
func (e *endpoint) estimateLoad(now time.Time) load {
	known := e.knownLoad()
	if e.reportAt.IsZero() || now.Sub(e.reportAt) > reportMaxAge {
		return known
	}
	if e.pool.isUneven {
		return e.estimateByReport(now)
	}
	return known.plus(e.excess).atLeast(known)
}

// recordLoadChange records a change of the known load and updates the estimate.
func (e *endpoint) recordLoadChange(at time.Time) {
	e.loadHistory.record(at, e.knownLoad())
	if e.pool.isUneven {
		e.timing.recordOwnLoad(at, e.own)
	}
	e.refresh(at)
}

// refresh updates the values that scoring reads.
func (e *endpoint) refresh(now time.Time) {
	e.load = e.estimateLoad(now)
	e.fixedSeconds = (e.fixed() + 2*e.link).Seconds()
}

// fixed returns the predicted time for running requests and for a free slot, which
// doesn't depend on the tokens to compute.
func (e *endpoint) fixed() time.Duration {
	fixed := time.Duration(e.load.requests * float64(runningDelay))
	if e.pool.isUneven {
		return fixed + e.waitForPlace()
	}
	if waiting := e.load.requests + 1 - e.slots; e.slots > 0 && waiting > 0 {
		fixed += time.Duration(waiting / e.slots * float64(e.pool.decodeTime))
	}
	return fixed
}

// applyReport applies an endpoint's load report, unless a newer one was applied.
func (e *endpoint) applyReport(at time.Time, r *qf.LoadReport) {
	if r.Sequence <= e.sequence && r.Sequence != 0 {
		return
	}
	e.sequence = r.Sequence
	made := r.At
	if made.IsZero() || made.After(at) {
		made = at // Unset, or the endpoint's clock is ahead.
	}
	reported := load{requests: float64(r.Running + r.Queued), tokens: float64(r.QueuedTokens)}
	e.excess = reported.minus(e.loadHistory.at(made))
	e.reportAt = made
	e.updateSlots(r)
	if e.pool.isUneven {
		e.recordStated(made, at, r)
	}
	e.refresh(at)
}

const (
	// minSlots is the smallest number of running requests that is taken for an engine's
	// limit, and minSteadyReports the number of reports in a row that must show it.
	minSlots         = 8
	minSteadyReports = 4
)

// updateSlots infers the engine's limit of running requests. With a queue, a constant
// number of running requests means that the limit is reached; while requests only wait
// for prefill, the number changes.
func (e *endpoint) updateSlots(r *qf.LoadReport) {
	if r.Queued == 0 || r.Running < minSlots || r.Running != e.steadyRunning {
		e.steadyRunning, e.steadyReports = r.Running, 0
	}
	e.steadyReports++
	if float64(r.Running) > e.slots {
		e.slots = 0
	}
	if e.steadyReports >= minSteadyReports && r.Queued > 0 && r.Running >= minSlots {
		e.slots = float64(r.Running)
	}
}

// addAttempt records the start of an attempt.
func (e *endpoint) addAttempt(at time.Time, a attempt) {
	e.attempts = append(e.attempts, a)
	e.own = e.own.plus(load{requests: 1, tokens: float64(a.tokens)})
	e.recordLoadChange(at)
}

// markFirstToken records the first token of the attempt that started at startedAt. It
// returns nil if there is no such attempt without a first token.
func (e *endpoint) markFirstToken(at, startedAt time.Time) *attempt {
	for i := range e.attempts {
		a := &e.attempts[i]
		if !a.firstAt.IsZero() || !a.startedAt.Equal(startedAt) {
			continue
		}
		a.firstAt = at
		e.own.tokens -= float64(a.tokens)
		e.recordLoadChange(at)
		return a
	}
	return nil
}

// removeAttempt removes an attempt with the given number of tokens: preferably one with
// a first token if it succeeded, and one without if it failed.
func (e *endpoint) removeAttempt(at time.Time, tokens int, ok bool) (attempt, bool) {
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
	e.recordLoadChange(at)
	return a, true
}

// recordPeerLoad records a peer's load in progress. Updates that arrive out of order
// are dropped.
func (e *endpoint) recordPeerLoad(at time.Time, s *qf.InFlightLoad) {
	update := peerLoad{
		node: s.Node, sequence: s.Sequence, at: at, answered: s.Answered, failing: s.Failing,
		load: load{requests: float64(s.Running), tokens: float64(s.Tokens)},
	}
	known := false
	for i := range e.peerLoads {
		if e.peerLoads[i].node != s.Node {
			continue
		}
		if e.peerLoads[i].sequence >= s.Sequence && at.Sub(e.peerLoads[i].at) < peerLoadMaxAge {
			return
		}
		e.peerLoads[i] = update
		known = true
	}
	if !known {
		e.peerLoads = append(e.peerLoads, update)
	}
	e.sumPeerLoads(at)
}

// sumPeerLoads drops expired updates and adds up the rest.
func (e *endpoint) sumPeerLoads(now time.Time) {
	e.peers = load{}
	kept := e.peerLoads[:0]
	for _, s := range e.peerLoads {
		if now.Sub(s.at) < peerLoadMaxAge {
			kept = append(kept, s)
			e.peers = e.peers.plus(s.load)
		}
	}
	e.peerLoads = kept
	e.recordLoadChange(now)
}
