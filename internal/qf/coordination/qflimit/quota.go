package qflimit

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// quotaSilentAfter is how long nodes' uses may be silent before their even part of
	// each quota is left to them.
	quotaSilentAfter = 1500 * time.Millisecond
	// firstLevel is the part of a node's even part of a burst that it starts with, because
	// the nodes before a restart may have spent it.
	firstLevel = 0.5
	// unknownNodes is the number of nodes that a node assumes until it knows better: all
	// may have started together, each with its part of every quota.
	unknownNodes = 64
	// scarceLevel is the part of a burst below which each node keeps to its own part of
	// the rate, so that late news doesn't let all of them spend the same units.
	scarceLevel = 0.3
	// shareWindow is the time over which the parts of the nodes are averaged.
	shareWindow = 3 * time.Second
	// leastShare is the least part of the rate that a node gets, as a share of the even
	// part.
	leastShare = 0.3
	// quotaLateAfter is how old the news of others' uses may be before each node keeps to
	// its own part: a bit more than the time between two exchanges.
	quotaLateAfter = 600 * time.Millisecond
	// shareBurst is how long a node's unused part is kept for it.
	shareBurst = time.Second
	// leastReturn and mostReturn bound when a refused caller should come back.
	leastReturn = 50 * time.Millisecond
	mostReturn  = 5 * time.Second
)

// Quotas bounds what each organisation uses at all nodes together. Each node keeps
// the whole bucket and takes from it what others tell that they have used; news that
// comes late leaves the bucket in debt, which is paid before anything more is admitted.
// It does no I/O, reads no clock, and isn't safe for concurrent use.
type Quotas struct {
	buckets map[qf.Organisation]*quota
	sources map[qf.NodeID]*quotaSource
	// nodes is the number of nodes that aren't known to be gone, this one included.
	nodes int
	// heardAt is when any tally was last heard.
	heardAt time.Time
}

// quota is an organisation's bucket.
type quota struct {
	rate, burst float64
	// level is below 0 while there is debt.
	level float64
	// at is when own, all and part were last brought up to date, filledTo when the level
	// was.
	at, filledTo time.Time
	// used is what this node admitted.
	used float64
	// own and all are what this node and all nodes used of late, with exponential decay.
	own, all float64
	// part is what is left of this node's own part of the rate.
	part float64
}

// quotaSource is a node whose tally was heard.
type quotaSource struct {
	qf.TallySource
	heardAt time.Time
	// told is what the source said last, heard the sum of its rises since it was first
	// heard.
	told, heard map[qf.Organisation]float64
}

// NewQuotas returns quotas without organisations.
func NewQuotas() *Quotas {
	return &Quotas{buckets: map[qf.Organisation]*quota{}, sources: map[qf.NodeID]*quotaSource{}, nodes: unknownNodes}
}

// SetOrganisations replaces the quotas. What was used stays.
func (q *Quotas) SetOrganisations(now time.Time, organisations []qf.OrganisationSettings) {
	known := q.buckets
	q.buckets = make(map[qf.Organisation]*quota, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		if o.UnitsPerSecond <= 0 {
			continue
		}
		b := known[o.Organisation]
		if b == nil {
			b = &quota{level: o.Burst * firstLevel / float64(q.nodes), at: now, filledTo: now}
		}
		q.fill(now, b)
		b.rate, b.burst = o.UnitsPerSecond, max(o.Burst, o.UnitsPerSecond)
		b.level = min(b.level, b.burst)
		q.buckets[o.Organisation] = b
	}
}

// SetNodes sets how many nodes there are, this one included.
func (q *Quotas) SetNodes(nodes int) { q.nodes = max(nodes, 1) }

// heardPart is the share of a quota that this node may fill its bucket with: the parts
// of nodes whose uses aren't heard are theirs.
func (q *Quotas) heardPart(now time.Time) float64 {
	return min(float64(q.heard(now))/float64(q.nodes), 1)
}

// heard is the number of nodes whose uses are known, this one included.
func (q *Quotas) heard(now time.Time) int {
	heard := 1
	for id, s := range q.sources {
		silent := now.Sub(s.heardAt)
		if silent <= quotaSilentAfter {
			heard += s.Covers
		} else if silent > 2*quotaSilentAfter+shareWindow {
			delete(q.sources, id)
		}
	}
	return heard
}

func (q *Quotas) fill(now time.Time, b *quota) {
	heardRate := b.rate * q.heardPart(now)
	if until := q.fillsUntil(now); until.After(b.filledTo) {
		b.level = min(b.level+until.Sub(b.filledTo).Seconds()*heardRate, b.burst)
		b.filledTo = until
	}
	elapsed := now.Sub(b.at).Seconds()
	b.at = now
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed / shareWindow.Seconds())
	b.own *= keep
	b.all *= keep
	own := heardRate * b.share(q.nodes)
	b.part = min(b.part+elapsed*own, own*shareBurst.Seconds())
}

// fillsUntil is the time up to which units may be added to the buckets. Those of a large
// fleet wait for the news of what was used meanwhile, unless it stays away.
func (q *Quotas) fillsUntil(now time.Time) time.Time {
	if !q.isRelayed() || now.Sub(q.heardAt) > quotaSilentAfter {
		return now
	}
	return q.heardAt
}

// share is this node's part of the uses of late.
func (b *quota) share(nodes int) float64 {
	least := leastShare / float64(nodes)
	if b.all <= 0 {
		return 1 / float64(nodes)
	}
	return max(b.own/b.all, least)
}

// Admit takes units from an organisation's quota, or says when there will be enough.
// Organisations without a quota are always admitted.
func (q *Quotas) Admit(now time.Time, organisation qf.Organisation, units float64) qf.QuotaDecision {
	b := q.buckets[organisation]
	if b == nil {
		return qf.QuotaDecision{IsAdmitted: true}
	}
	q.fill(now, b)
	rate := b.rate * q.heardPart(now)
	if needed := min(units, b.burst); b.level < needed {
		return q.refuse(now, b, returnAfter(needed-b.level, rate))
	}
	if b.part <= 0 && q.keepsToPart(now, b) {
		return q.refuse(now, b, returnAfter(-b.part, rate*b.share(q.nodes)))
	}
	b.level -= units
	b.part = max(b.part-units, -b.rate)
	b.used += units
	b.own += units
	b.all += units
	return qf.QuotaDecision{IsAdmitted: true}
}

func (q *Quotas) refuse(now time.Time, b *quota, retryAfter time.Duration) qf.QuotaDecision {
	verdict := qf.QuotaDecision{RetryAfter: retryAfter, Remaining: b.level, LocalShare: b.part, ReportingNodes: q.heard(now), Nodes: q.nodes}
	if !q.heardAt.IsZero() {
		verdict.ReportAge = now.Sub(q.heardAt)
	}
	return verdict
}

// keepsToPart reports whether this node may use no more than its own part: others may be
// spending the same units when little is left, and when they weren't heard of late.
func (q *Quotas) keepsToPart(now time.Time, b *quota) bool {
	if !q.isRelayed() {
		return false
	}
	return b.level < scarceLevel*b.burst || now.Sub(q.heardAt) > quotaLateAfter
}

// isRelayed reports whether uses are heard through relays, and so later than others
// could be admitted.
func (q *Quotas) isRelayed() bool {
	for _, s := range q.sources {
		if s.Scope != qf.TallyOwn {
			return true
		}
	}
	return false
}

// returnAfter is the time in which so many units come in.
func returnAfter(units, rate float64) time.Duration {
	wait := time.Duration(units / max(rate, 1) * float64(time.Second))
	return min(max(wait, leastReturn), mostReturn)
}

// RecordTally takes a tally. What a source had used before it was first heard is in nobody's
// bucket any more.
func (q *Quotas) RecordTally(now time.Time, from qf.TallySource, uses []qf.QuotaUse) {
	s := q.sources[from.Node]
	if s == nil || s.Incarnation != from.Incarnation || s.Scope != from.Scope {
		s = &quotaSource{told: map[qf.Organisation]float64{}, heard: map[qf.Organisation]float64{}}
		q.sources[from.Node] = s
	}
	isFirst := s.heardAt.IsZero()
	s.TallySource, s.heardAt = from, now
	q.heardAt = now
	for _, use := range uses {
		more := use.Units - s.told[use.Organisation]
		if more <= 0 {
			continue
		}
		s.told[use.Organisation] = use.Units
		if isFirst {
			continue
		}
		s.heard[use.Organisation] += more
		if b := q.buckets[use.Organisation]; b != nil {
			q.fill(now, b)
			b.level -= more
			b.all += more
		}
	}
}

// CountCoveredNodes is the number of nodes whose uses are in a tally to a node and were heard of late,
// this node included.
func (q *Quotas) CountCoveredNodes(now time.Time, scope qf.TallyScope, to qf.NodeID) int {
	covers := 1
	for id, s := range q.sources {
		if scope.Includes(s.Scope) && id != to && now.Sub(s.heardAt) <= quotaSilentAfter {
			covers += s.Covers
		}
	}
	return covers
}

// ReportUses returns what was used by the nodes that a tally to a node covers.
func (q *Quotas) ReportUses(scope qf.TallyScope, to qf.NodeID) []qf.QuotaUse {
	uses := make([]qf.QuotaUse, 0, len(q.buckets))
	for organisation, b := range q.buckets {
		units := b.used
		for id, s := range q.sources {
			if scope.Includes(s.Scope) && id != to {
				units += s.heard[organisation]
			}
		}
		if units > 0 {
			uses = append(uses, qf.QuotaUse{Organisation: organisation, Units: units})
		}
	}
	return uses
}
