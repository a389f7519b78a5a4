package qflimit

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// dimension is what a limit bounds.
type dimension string

// The dimensions of a limit.
const (
	concurrency dimension = "Concurrency"
	requests    dimension = "RequestsPerSecond"
	tokens      dimension = "TokensPerSecond"
)

const (
	// silentAfter is how long a peer may be silent before shares stop rising.
	silentAfter = 3 * time.Second
	// evenAfter is how long until shares above the even one fall to it, and
	// evenMargin how much later those below may rise to it.
	evenAfter  = 10 * time.Second
	evenMargin = 2 * time.Second
	// floorShare is the part of a limit that is always spread evenly.
	floorShare = 0.05
	// spareShare is the part of a limit that nobody takes, so that news which is
	// lost doesn't lead above the limit.
	spareShare = 0.03
	// joinShare is the part that a node takes before it has heard the others. With
	// spareShare it keeps one newcomer within 5 % above the limit.
	joinShare = 0.07
	// raiseStep is the part of its claim that a node takes in one round.
	raiseStep = 0.7
	// hysteresis is how far a part may be above its target, so that noise in the
	// demand doesn't move it.
	hysteresis = 1.1
	// headroom is how far above its demand a share goes while there is room.
	headroom = 1.25
	// demandWindow is the time over which rates of demand are averaged.
	demandWindow = 3 * time.Second
	// announcedAfter is how long peers may take to hear of a demand.
	announcedAfter = time.Second
)

// share is this node's part of one dimension of a limit. The parts of all nodes
// add up to the limit: a node lowers its part at once, and raises it only into
// what no other node has taken.
type share struct {
	name  string
	kind  dimension
	total float64
	// part is what this node may use.
	part float64
	// used is the number of requests in progress, for concurrency.
	used float64
	// level is the bucket of a rate, filled up to filledAt.
	level    float64
	filledAt time.Time
	// demand is a moving mean per second, or the wanted concurrency.
	demand    float64
	demandAt  time.Time
	refused   float64
	announced announcement
	peers     map[qf.NodeID]*peerUse
	raisedAt  time.Time
}

// announcement is a demand that all peers have heard of by now.
type announcement struct {
	demand, next float64
	nextAt       time.Time
}

// peerUse is what a peer told of its part.
type peerUse struct {
	sequence     uint64
	part, demand float64
	at           time.Time
}

func newShare(name string, kind dimension, total float64) *share {
	return &share{name: name + "#" + string(kind), kind: kind, total: total, peers: map[qf.NodeID]*peerUse{}}
}

func (s *share) isRate() bool { return s.kind != concurrency }

// decay lets the moving means forget.
func (s *share) decay(now time.Time) {
	if s.demandAt.IsZero() {
		s.demandAt = now
	}
	keep := math.Exp(-now.Sub(s.demandAt).Seconds() / demandWindow.Seconds())
	s.demand *= keep
	s.refused *= keep
	s.demandAt = now
}

// want notes a request for so many units.
func (s *share) want(now time.Time, units float64) {
	s.decay(now)
	s.demand += units / demandWindow.Seconds()
}

// wanted is the demand in the limit's units.
func (s *share) wanted() float64 {
	if s.isRate() {
		return s.demand
	}
	return s.used + s.refused
}

// fill adds to a rate's bucket what has come in since the last call. The bucket
// holds a second's worth, and at least one request.
func (s *share) fill(now time.Time, least float64) {
	if s.filledAt.IsZero() {
		s.filledAt = now
	}
	s.level = min(s.level+now.Sub(s.filledAt).Seconds()*s.part, max(s.part, least))
	s.filledAt = now
}

// isOpen reports whether there is room for so many units, and how long to wait
// if not.
func (s *share) isOpen(now time.Time, units float64) (bool, time.Duration) {
	if !s.isRate() {
		return s.used+1 <= max(s.part, s.floor()), minRetryAfter
	}
	s.fill(now, units)
	if s.level >= units {
		return true, 0
	}
	wait := (units - s.level) / max(s.part, s.total*floorShare)
	return false, time.Duration(wait * float64(time.Second))
}

// floor is what a node may use for concurrency although its part hasn't risen yet:
// its even portion of floorShare, which keeps all nodes together within 5 % above
// the limit.
func (s *share) floor() float64 { return s.total * floorShare / float64(len(s.peers)+1) }

func (s *share) take(units float64) {
	if s.isRate() {
		s.level -= units
		return
	}
	s.used++
}

// give returns what an ended request doesn't need any more.
func (s *share) give(units float64) {
	if s.isRate() {
		s.level += units
		return
	}
	s.used = max(s.used-1, 0)
}

// heard takes a peer's use. Crossed messages are dropped.
func (s *share) heard(now time.Time, use *qf.LimitUse) {
	p := s.peers[use.Node]
	if p == nil {
		p = &peerUse{}
		s.peers[use.Node] = p
	}
	if use.Sequence <= p.sequence && now.Sub(p.at) < silentAfter {
		return
	}
	*p = peerUse{sequence: use.Sequence, part: use.Share, demand: use.Demand, at: now}
}

// announce remembers the demand and returns the one that peers know.
func (s *share) announce(now time.Time) float64 {
	a := &s.announced
	if now.Sub(a.nextAt) >= announcedAfter {
		a.demand = a.next
		a.next, a.nextAt = s.wanted(), now
	}
	return a.demand
}

// rebalance moves the node's part towards its demand.
func (s *share) rebalance(now time.Time, self qf.NodeID, live []liveNode) {
	if s.raisedAt.IsZero() && s.mayStartEven(self, live) {
		s.part = max(s.part, s.total*(1-spareShare)/float64(len(live)))
		s.raisedAt = now
	}
	s.decay(now)
	n := float64(len(live))
	even := s.total / n
	floor := even * floorShare
	announced := s.announce(now)
	silence, everHeard := s.silence(now, self, live)
	switch {
	case len(live) == 1:
		s.part = s.total
		return
	case silence >= evenAfter:
		s.lower(min(s.part, even))
		if silence >= evenAfter+evenMargin {
			s.part = max(s.part, even)
		}
		return
	case silence >= silentAfter || !everHeard:
		if s.raisedAt.IsZero() {
			s.part = max(s.part, floor, min(even, s.total*joinShare))
		}
		return
	}
	s.share(now, self, live, announced, floor)
}

// mayStartEven reports whether a limit is so new that no other node has more of
// it than the even part. A node that has just joined waits for the others to
// make room instead.
func (s *share) mayStartEven(self qf.NodeID, live []liveNode) bool {
	even := s.total / float64(len(live))
	for _, node := range live {
		if node.id == self {
			continue
		}
		p := s.peers[node.id]
		if !node.wasHeard || p != nil && p.part > even {
			return false
		}
	}
	return true
}

// lower gives up a part, but not what is in use.
func (s *share) lower(to float64) { s.part = max(to, min(s.used, s.part)) }

// silence is how long the most silent live peer has been so, and whether every
// live peer was heard.
func (s *share) silence(now time.Time, self qf.NodeID, live []liveNode) (time.Duration, bool) {
	longest, everHeard := time.Duration(0), true
	for _, node := range live {
		if node.id == self {
			continue
		}
		since := node.since
		if p := s.peers[node.id]; p != nil {
			since = p.at
		} else {
			everHeard = false
		}
		longest = max(longest, now.Sub(since))
	}
	return longest, everHeard
}

// share works out the target and moves towards it: down at once, up by the
// node's part of what is free, once per round of news.
func (s *share) share(now time.Time, self qf.NodeID, live []liveNode, announced, floor float64) {
	demands, taken, wants, isRound := max(announced, s.wanted()), 0.0, 0.0, true
	for _, node := range live {
		p := s.peers[node.id]
		if node.id == self || p == nil {
			continue
		}
		demands += p.demand
		taken += max(p.part, floor)
		isRound = isRound && p.at.After(s.raisedAt)
	}
	spare := s.total*(1-spareShare) - floor*float64(len(live))
	scale := min(headroom, spare/max(demands, 1))
	// What nobody asks for is spread evenly, so that a burst finds room at once.
	floor += max(spare-demands*scale, 0) / float64(len(live))
	for _, node := range live {
		if p := s.peers[node.id]; p != nil && node.id != self {
			wants += max(floor+p.demand*scale-p.part, 0)
		}
	}
	target := floor + max(announced, s.wanted())*scale
	if target <= s.part {
		if s.part > hysteresis*target {
			s.lower(target)
		}
		return
	}
	want := max(floor+announced*scale-s.part, 0)
	free := s.total*(1-spareShare) - taken - s.part
	if free <= 0 || want <= 0 || !isRound {
		return
	}
	s.part += raiseStep * min(want, free*want/(want+wants))
	s.raisedAt = now
}

// use is what peers are told.
func (s *share) use(self qf.NodeID, sequence uint64) qf.LimitUse {
	return qf.LimitUse{
		Node: self, Limit: s.name, Demand: s.wanted(), Used: s.used, Share: s.part, Sequence: sequence,
	}
}
