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
	// silentAfter is how long a peer may be silent before shares no longer rise.
	silentAfter = 3 * time.Second
	// evenAfter is the silence of a peer after which shares above the even one fall
	// to it, and evenMargin how much later those below may rise to it.
	evenAfter  = 10 * time.Second
	evenMargin = 2 * time.Second
	// floorShare is the part of a limit that is always spread evenly.
	floorShare = 0.05
	// spareShare is the part of a limit that no node takes, so that lost messages
	// don't lead above the limit.
	spareShare = 0.03
	// joinShare is the part of a limit that a new node takes before all others have
	// reported. Less spareShare, this keeps one new node within 5 % above the limit.
	joinShare = 0.07
	// raiseStep is the part of the increase open to a node that it takes in one round.
	raiseStep = 0.7
	// hysteresis is the factor by which a part may exceed its target, so that noise
	// in the demand doesn't move it.
	hysteresis = 1.1
	// headroom is the factor by which a share exceeds its demand while there is room.
	headroom = 1.25
	// demandWindow is the time over which rates of demand are averaged.
	demandWindow = 3 * time.Second
	// announcedAfter is the time within which a demand has reached all peers.
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
	// demand is the moving mean per second of a rate; unused for concurrency.
	demand    float64
	demandAt  time.Time
	refused   float64
	announced announcement
	peers     map[qf.NodeID]*peerUse
	raisedAt  time.Time
}

// announcement holds the demand that has reached all peers by now, and the next one.
type announcement struct {
	demand, next float64
	nextAt       time.Time
}

// peerUse is what a peer reported last.
type peerUse struct {
	sequence     uint64
	part, demand float64
	at           time.Time
}

func newShare(name string, kind dimension, total float64) *share {
	return &share{name: name + "#" + string(kind), kind: kind, total: total, peers: map[qf.NodeID]*peerUse{}}
}

func (s *share) isRate() bool { return s.kind != concurrency }

// decay applies the exponential decay to the moving means.
func (s *share) decay(now time.Time) {
	if s.demandAt.IsZero() {
		s.demandAt = now
	}
	keep := math.Exp(-now.Sub(s.demandAt).Seconds() / demandWindow.Seconds())
	s.demand *= keep
	s.refused *= keep
	s.demandAt = now
}

// recordDemand records the demand of a request that takes the units.
func (s *share) recordDemand(now time.Time, units float64) {
	s.decay(now)
	s.demand += units / demandWindow.Seconds()
}

// currentDemand returns the demand in the limit's units.
func (s *share) currentDemand() float64 {
	if s.isRate() {
		return s.demand
	}
	return s.used + s.refused
}

// fill refills a rate's bucket for the time since the last call. The bucket holds
// one second of the rate, and at least one request.
func (s *share) fill(now time.Time, least float64) {
	if s.filledAt.IsZero() {
		s.filledAt = now
	}
	s.level = min(s.level+now.Sub(s.filledAt).Seconds()*s.part, max(s.part, least))
	s.filledAt = now
}

// hasRoom reports whether there is room for the units, and how long to wait if not.
func (s *share) hasRoom(now time.Time, units float64) (bool, time.Duration) {
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

// floor returns the concurrency that a node may use although its part hasn't risen yet:
// its even share of floorShare, which keeps all nodes together within 5 % above
// the limit.
func (s *share) floor() float64 { return s.total * floorShare / float64(len(s.peers)+1) }

func (s *share) take(units float64) {
	if s.isRate() {
		s.level -= units
		return
	}
	s.used++
}

// giveBack returns the units that an ended request no longer needs.
func (s *share) giveBack(units float64) {
	if s.isRate() {
		s.level += units
		return
	}
	s.used = max(s.used-1, 0)
}

// recordPeerUse records a peer's use. Messages that arrive out of order are dropped.
func (s *share) recordPeerUse(now time.Time, use *qf.LimitUse) {
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

// announce records the current demand and returns the one that has reached all peers.
func (s *share) announce(now time.Time) float64 {
	a := &s.announced
	if now.Sub(a.nextAt) >= announcedAfter {
		a.demand = a.next
		a.next, a.nextAt = s.currentDemand(), now
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
	silence, allReported := s.silence(now, self, live)
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
	case silence >= silentAfter || !allReported:
		if s.raisedAt.IsZero() {
			s.part = max(s.part, floor, min(even, s.total*joinShare))
		}
		return
	}
	s.moveToTarget(now, self, live, announced, floor)
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
		if !node.hasReported || p != nil && p.part > even {
			return false
		}
	}
	return true
}

// lower reduces the part, but not below what is in use.
func (s *share) lower(to float64) { s.part = max(to, min(s.used, s.part)) }

// silence returns the longest silence of a live peer, and whether every live peer
// has reported.
func (s *share) silence(now time.Time, self qf.NodeID, live []liveNode) (time.Duration, bool) {
	longest, allReported := time.Duration(0), true
	for _, node := range live {
		if node.id == self {
			continue
		}
		since := node.since
		if p := s.peers[node.id]; p != nil {
			since = p.at
		} else {
			allReported = false
		}
		longest = max(longest, now.Sub(since))
	}
	return longest, allReported
}

// moveToTarget computes the target and moves the node's part towards it: down at
// once, up by the node's share of what is free, once per round of reports.
func (s *share) moveToTarget(now time.Time, self qf.NodeID, live []liveNode, announced, floor float64) {
	demands, taken, wants, isNewRound := max(announced, s.currentDemand()), 0.0, 0.0, true
	for _, node := range live {
		p := s.peers[node.id]
		if node.id == self || p == nil {
			continue
		}
		demands += p.demand
		taken += max(p.part, floor)
		isNewRound = isNewRound && p.at.After(s.raisedAt)
	}
	spare := s.total*(1-spareShare) - floor*float64(len(live))
	scale := min(headroom, spare/max(demands, 1))
	// What isn't in demand is spread evenly, so that a burst finds room at once.
	floor += max(spare-demands*scale, 0) / float64(len(live))
	for _, node := range live {
		if p := s.peers[node.id]; p != nil && node.id != self {
			wants += max(floor+p.demand*scale-p.part, 0)
		}
	}
	target := floor + max(announced, s.currentDemand())*scale
	if target <= s.part {
		if s.part > hysteresis*target {
			s.lower(target)
		}
		return
	}
	want := max(floor+announced*scale-s.part, 0)
	free := s.total*(1-spareShare) - taken - s.part
	if free <= 0 || want <= 0 || !isNewRound {
		return
	}
	s.part += raiseStep * min(want, free*want/(want+wants))
	s.raisedAt = now
}

// use returns the use that is reported to peers.
func (s *share) use(self qf.NodeID, sequence uint64) qf.LimitUse {
	return qf.LimitUse{
		Node: self, Limit: s.name, Demand: s.currentDemand(), Used: s.used, Share: s.part, Sequence: sequence,
	}
}
