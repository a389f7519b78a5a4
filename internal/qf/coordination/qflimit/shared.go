package qflimit

import (
	"time"

	"quetzalfront/internal/qf"
)

// SharedLimiter admits by predicted completion and by the node's shares of the
// catalogue's limits. Nodes shift shares among themselves as demand moves.
type SharedLimiter struct {
	guard  guard
	limits []limit
	self   qf.NodeID
	// live has at least one element once SetNodes was called.
	live         []liveNode
	sequence     uint64
	movedAt      time.Time
	cleanupDueAt time.Time
}

// limit is a limit of the catalogue with this node's shares of it.
type limit struct {
	qf.Limit
	shares []*share
}

// liveNode is a node that isn't known to be gone.
type liveNode struct {
	id    qf.NodeID
	since time.Time
	// hasReported is true once the node has reported its uses, even if it had none.
	hasReported bool
}

// NewSharedLimiter returns a limiter without limits.
func NewSharedLimiter(config GuardConfig) *SharedLimiter {
	return &SharedLimiter{guard: newGuard(config)}
}

// SetLimits implements qf.Limiter. A limit that only changes its bound keeps what
// is in use.
func (s *SharedLimiter) SetLimits(limits []qf.Limit) {
	known := map[string]*share{}
	for i := range s.limits {
		for _, sh := range s.limits[i].shares {
			known[sh.name] = sh
		}
	}
	s.limits = s.limits[:0]
	for i := range limits {
		s.limits = append(s.limits, limit{Limit: limits[i], shares: sharesOf(&limits[i], known)})
	}
	s.guard.setWeights(limits)
	s.movedAt = time.Time{}
}

func sharesOf(l *qf.Limit, known map[string]*share) []*share {
	var shares []*share
	for _, d := range []struct {
		kind  dimension
		total float64
	}{{concurrency, float64(l.Concurrency)}, {requests, l.RequestsPerSecond}, {tokens, l.TokensPerSecond}} {
		if d.total <= 0 {
			continue
		}
		sh := newShare(l.Name, d.kind, d.total)
		if old := known[sh.name]; old != nil {
			old.part *= d.total / old.total
			old.total = d.total
			sh = old
		}
		shares = append(shares, sh)
	}
	return shares
}

// units returns what a request takes from a share.
func units(sh *share, tokenCount int) float64 {
	if sh.kind == tokens {
		return float64(tokenCount)
	}
	return 1
}

// AdmitRequest implements qf.Limiter.
func (s *SharedLimiter) AdmitRequest(query qf.AdmitQuery) qf.Admission {
	s.rebalance(query.Now)
	if admission := s.checkLimits(&query); !admission.Admitted {
		return admission
	}
	if admission := s.guard.check(&query); !admission.Admitted {
		return admission
	}
	s.forEachShare(query.Request, func(sh *share) { sh.take(units(sh, query.Tokens)) })
	s.guard.tenant(query.Request).running++
	return qf.Admission{Admitted: true, Reason: qf.Reason{Rule: "WithinLimits"}}
}

// checkLimits checks each share that applies, and records the demand at each.
func (s *SharedLimiter) checkLimits(query *qf.AdmitQuery) qf.Admission {
	admission := qf.Admission{Admitted: true}
	s.forEachShare(query.Request, func(sh *share) {
		n := units(sh, query.Tokens)
		sh.recordDemand(query.Now, n)
		hasRoom, wait := sh.hasRoom(query.Now, n)
		if hasRoom {
			return
		}
		sh.refused++
		admission = qf.Admission{
			Code: qf.CodeLimited, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
			Reason: qf.Reason{Rule: "Limit " + sh.name, Figures: []qf.Figure{
				{Name: "Share", Value: sh.part}, {Name: "Used", Value: sh.used}, {Name: "Total", Value: sh.total},
			}},
		}
	})
	return admission
}

func (s *SharedLimiter) forEachShare(r *qf.Request, do func(sh *share)) {
	for i := range s.limits {
		if !Applies(&s.limits[i].Limit, r) {
			continue
		}
		for _, sh := range s.limits[i].shares {
			do(sh)
		}
	}
}

// ReleaseRequest implements qf.Limiter. Tokens that were estimated for the answer but
// not used go back.
func (s *SharedLimiter) ReleaseRequest(now time.Time, request *qf.Request, used int) {
	s.forEachShare(request, func(sh *share) {
		switch sh.kind {
		case concurrency:
			sh.giveBack(1)
		case tokens:
			sh.fill(now, 0)
			sh.giveBack(float64(max(request.MaxTokens-used, 0)))
		}
	})
	t := s.guard.tenant(request)
	t.running = max(t.running-1, 0)
}

// rebalanceEvery is the minimum time between two rebalances.
const rebalanceEvery = 200 * time.Millisecond

func (s *SharedLimiter) rebalance(now time.Time) {
	if len(s.live) == 0 {
		s.live = []liveNode{{id: s.self, since: now}}
	}
	if now.Sub(s.movedAt) < rebalanceEvery {
		return
	}
	s.movedAt = now
	for i := range s.limits {
		for _, sh := range s.limits[i].shares {
			sh.rebalance(now, s.self, s.live)
		}
	}
	if now.After(s.cleanupDueAt) {
		s.guard.dropInactive(now)
		s.cleanupDueAt = now.Add(activeFor)
	}
}

// ReportUses implements qf.Limiter.
func (s *SharedLimiter) ReportUses(now time.Time) []qf.LimitUse {
	s.rebalance(now)
	s.sequence++
	// The first element names no limit: it shows peers that this node has reported, even
	// if it has no shares.
	uses := []qf.LimitUse{{Node: s.self, Sequence: s.sequence}}
	for i := range s.limits {
		for _, sh := range s.limits[i].shares {
			sh.decay(now)
			uses = append(uses, sh.use(s.self, s.sequence))
		}
	}
	return uses
}

// RecordPeerUses implements qf.Limiter.
func (s *SharedLimiter) RecordPeerUses(now time.Time, uses []qf.LimitUse) {
	for u := range uses {
		if uses[u].Node == s.self {
			continue
		}
		s.markReported(uses[u].Node)
		for i := range s.limits {
			for _, sh := range s.limits[i].shares {
				if sh.name == uses[u].Limit {
					sh.recordPeerUse(now, &uses[u])
				}
			}
		}
	}
}

func (s *SharedLimiter) markReported(node qf.NodeID) {
	for i := range s.live {
		if s.live[i].id == node {
			s.live[i].hasReported = true
		}
	}
}

// SetNodes implements qf.Limiter. Live are the nodes that aren't known to be
// gone: one that is only silent keeps its part.
func (s *SharedLimiter) SetNodes(now time.Time, self qf.NodeID, live []qf.NodeID) {
	s.self = self
	known := s.live
	s.live = make([]liveNode, 0, len(live)+1)
	s.live = append(s.live, liveNode{id: self, since: now})
	for _, id := range live {
		if id == self {
			continue
		}
		node := liveNode{id: id, since: now}
		for _, k := range known {
			if k.id == id {
				node = k
			}
		}
		s.live = append(s.live, node)
	}
	for i := range s.limits {
		for _, sh := range s.limits[i].shares {
			sh.keepOnly(s.live)
		}
	}
}

// keepOnly drops the peers that aren't in live.
func (s *share) keepOnly(live []liveNode) {
	for id := range s.peers {
		isLive := false
		for _, node := range live {
			isLive = isLive || node.id == id
		}
		if !isLive {
			delete(s.peers, id)
		}
	}
}
