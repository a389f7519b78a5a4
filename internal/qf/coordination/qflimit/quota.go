package qflimit

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// quotaSilentAfter is the age of a node's last tally from which its even share of
	// each quota is reserved for it.
	quotaSilentAfter = 1500 * time.Millisecond
	// quotaUnheardAfter is the age of a node's last tally from which its even share of what a bucket
	// holds is set aside for it: it may be cut off from this node and spend the same units.
	quotaUnheardAfter = 900 * time.Millisecond
	// firstLevel is the part of its even share of a burst that a node starts with, because
	// the burst may have been spent before a restart.
	firstLevel = 0.2
	// unknownNodes is the number of nodes assumed until SetNodes is called: all may have
	// started together, each with its share of every quota.
	unknownNodes = 64
	// scarceLevel is the part of a burst below which each node is limited to its own share
	// of the rate, so that nodes with late tallies don't all spend the same units.
	scarceLevel = 0.3
	// shareWindow is the time over which the shares of the nodes are averaged.
	shareWindow = 3 * time.Second
	// leastShare is the minimum share of the rate that a node gets, as a part of the even
	// share.
	leastShare = 0.3
	// quotaLateAfter is the age of the last tally from which each node is limited to its
	// own share: slightly more than the time between two exchanges.
	quotaLateAfter = 600 * time.Millisecond
	// tallyDelay is how long it takes at most, as a rule, until a use is known at all nodes.
	tallyDelay = 500 * time.Millisecond
	// recentPeriod is the time for which uses are reported as recent. It covers the time without
	// tallies while nodes change over to another relay.
	recentPeriod = 2 * time.Second
	// shareBurst is how much of its unused share a node may save, as time at its rate.
	shareBurst = time.Second
	// leastReturn and mostReturn bound the delay after which a refused caller should retry.
	leastReturn = 50 * time.Millisecond
	mostReturn  = 5 * time.Second
)

// Quotas bounds what each organisation uses at all nodes together. Each node keeps a
// token bucket for the whole quota and takes from it what other nodes report as used. A
// late report leaves the bucket in debt, which is paid before anything more is admitted.
// Where a quota holds over a window, the sum of the last window is bounded too, which late
// reports of a demand that goes on and off would otherwise exceed.
// It does no I/O, reads no clock, and isn't safe for concurrent use.
type Quotas struct {
	// window is the time over which quotas hold; it is 0 if they hold over any time.
	window  time.Duration
	buckets map[qf.Organisation]*quota
	sources map[qf.NodeID]*quotaSource
	// nodes is the number of nodes that aren't known to be gone, this one included.
	nodes int
	// reportedAt is when the last tally of any node arrived.
	reportedAt time.Time
	// departed holds what was counted of nodes that no longer report in a scope, so that the sums
	// for others don't fall: of a sum that has fallen, receivers don't count what is used next.
	departed map[qf.TallyScope]map[qf.Organisation]float64
}

// quota is an organisation's bucket.
type quota struct {
	rate, burst float64
	// level is the bucket's content; it is below 0 while there is debt.
	level float64
	// at is when own, all and part were last updated; filledTo is the time up to which
	// level was filled.
	at, filledTo time.Time
	// used is the sum of the units that this node admitted.
	used float64
	// own and all are the recent uses of this node and of all nodes, with exponential decay.
	own, all float64
	// part is what is left of this node's own share of the rate.
	part float64
	// recent is the use of all nodes in the last window, since the present limits hold.
	recent slidingSum
	// unreported is this node's use in the time that a tally takes. The others are assumed
	// to have used as much, which isn't known yet.
	unreported slidingSum
	// lately is this node's use in the last recentPeriod.
	lately slidingSum
	// reserve is what is set aside for nodes that this one doesn't hear, unheardOf this node's use in the time until
	// another node counts as unheard, in which the other may have used as much.
	reserve   reserve
	unheardOf slidingSum
}

// addUse counts units that this node or another one used.
func (b *quota) addUse(now time.Time, units float64) {
	b.all += units
	if b.recent.window > 0 {
		b.recent.add(now, units)
	}
}

// addRecent counts units that another node used before its first tally. It does nothing for an
// organisation without a quota.
func (b *quota) addRecent(now time.Time, units float64) {
	if b != nil && b.recent.window > 0 {
		b.recent.add(now, units)
	}
}

// forfeitReserve gives up what is set aside if a node has returned whose use meanwhile isn't known. It does nothing for
// an organisation without a quota.
func (b *quota) forfeitReserve(wasUnheard bool) {
	if b != nil && wasUnheard {
		b.reserve.units = 0
	}
}

// resetWindow begins to count the use of a window anew.
func (b *quota) resetWindow(window time.Duration) {
	b.recent, b.unreported = slidingSum{window: window}, slidingSum{window: tallyDelay}
}

// quotaSource is a node that sent a tally.
type quotaSource struct {
	qf.TallySource
	reportedAt time.Time
	// reported holds the totals that the source last reported, counted the increases since
	// its first tally.
	reported, counted map[qf.Organisation]float64
	// recent holds what the source last reported as used recently.
	recent map[qf.Organisation]float64
}

// NewQuotas returns quotas without organisations. They hold over the window, or over any time if
// it is 0.
func NewQuotas(window time.Duration) *Quotas {
	return &Quotas{window: window, buckets: map[qf.Organisation]*quota{}, sources: map[qf.NodeID]*quotaSource{}, nodes: unknownNodes, departed: map[qf.TallyScope]map[qf.Organisation]float64{}}
}

// SetOrganisations replaces the quotas. The state of organisations that stay is kept.
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
			b = &quota{lately: slidingSum{window: recentPeriod}, unheardOf: slidingSum{window: quotaUnheardAfter}, level: o.Burst * firstLevel / float64(q.nodes), at: now, filledTo: now}
		}
		q.fill(now, b)
		if b.rate != o.UnitsPerSecond || b.burst != max(o.Burst, o.UnitsPerSecond) {
			b.resetWindow(q.window)
		}
		b.rate, b.burst = o.UnitsPerSecond, max(o.Burst, o.UnitsPerSecond)
		b.level = min(b.level, b.burst)
		q.buckets[o.Organisation] = b
	}
}

// SetNodes sets the number of nodes, this one included.
func (q *Quotas) SetNodes(nodes int) { q.nodes = max(nodes, 1) }

// reportedPart returns the part of a quota's rate at which this node fills its bucket. The
// shares of nodes that don't report are reserved for them.
func (q *Quotas) reportedPart(now time.Time) float64 {
	return min(float64(q.countReportingNodes(now))/float64(q.nodes), 1)
}

// countReportingNodes returns the number of nodes that report their uses, this one
// included. It drops sources that have been silent for long.
func (q *Quotas) countReportingNodes(now time.Time) int {
	count := 1
	for id, s := range q.sources {
		silent := now.Sub(s.reportedAt)
		if silent <= quotaSilentAfter {
			count += s.Covers
		} else if silent > 2*quotaSilentAfter+shareWindow {
			q.keepCounted(s)
			delete(q.sources, id)
		}
	}
	return count
}

// unheardPart returns the part of the nodes whose last tally is old, or that have never sent one. It is 0 in a fleet with
// relays, whose nodes are limited to their own shares while tallies are late.
func (q *Quotas) unheardPart(now time.Time) float64 {
	if q.isRelayed() {
		return 0
	}
	heard := 1
	for _, s := range q.sources {
		if now.Sub(s.reportedAt) <= quotaUnheardAfter {
			heard += s.Covers
		}
	}
	return max(1-float64(heard)/float64(q.nodes), 0)
}

// windowLeft returns what may still be used in the present window.
func (q *Quotas) windowLeft(now time.Time, b *quota) float64 {
	if q.window <= 0 {
		return math.Inf(1)
	}
	unreported := float64(q.nodes-1) * b.unreported.sum(now)
	return b.rate*q.window.Seconds() + b.burst - b.recent.sum(now) - unreported - b.reserve.mostUsed(now, b.rate, q.window)
}

// unreportedShare is the part of the others' use in the time that a tally takes which isn't known yet,
// on average: their tallies arrive all along.
const unreportedShare = 0.5

// othersUse estimates what the other nodes have used and not reported yet: in proportion to what this
// node used in that time, as in the last seconds. With relays each node is limited to its own share instead.
func (q *Quotas) othersUse(now time.Time, b *quota) float64 {
	if b.unreported.window <= 0 || q.isRelayed() {
		return 0
	}
	return unreportedShare * b.unreported.sum(now) * (1/b.localShare(q.nodes) - 1)
}

func (q *Quotas) fill(now time.Time, b *quota) {
	fillRate := b.rate * q.reportedPart(now)
	b.level += b.reserve.update(now, b.level, q.unheardPart(now), float64(q.nodes)*b.unheardOf.sum(now))
	if until := q.fillsUntil(now); until.After(b.filledTo) {
		b.level = min(b.level+until.Sub(b.filledTo).Seconds()*fillRate, b.burst*(1-b.reserve.part))
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
	own := fillRate * b.localShare(q.nodes)
	b.part = min(b.part+elapsed*own, own*shareBurst.Seconds())
}

// fillsUntil returns the time up to which units may be added to the buckets. In a large
// fleet this is the time of the last tally, because later uses aren't known yet; once
// tallies fail to arrive it is now.
func (q *Quotas) fillsUntil(now time.Time) time.Time {
	if !q.isRelayed() || now.Sub(q.reportedAt) > quotaSilentAfter {
		return now
	}
	return q.reportedAt
}

// localShare returns this node's share of the recent uses.
func (b *quota) localShare(nodes int) float64 {
	least := leastShare / float64(nodes)
	if b.all <= 0 {
		return 1 / float64(nodes)
	}
	return max(b.own/b.all, least)
}

// Admit takes units from an organisation's quota, or returns when there will be enough.
// Organisations without a quota are always admitted.
func (q *Quotas) Admit(now time.Time, organisation qf.Organisation, units float64) qf.QuotaDecision {
	b := q.buckets[organisation]
	if b == nil {
		return qf.QuotaDecision{IsAdmitted: true}
	}
	q.fill(now, b)
	rate, needed := b.rate*q.reportedPart(now), min(units, b.burst)
	if level := b.level - q.othersUse(now, b); level < needed {
		return q.refuse(now, b, returnAfter(needed-level, rate))
	}
	if left := q.windowLeft(now, b); left < needed {
		return q.refuse(now, b, boundReturn(b.recent.fallsBy(now, needed-left)))
	}
	if b.part <= 0 && q.isLimitedToShare(now, b) {
		return q.refuse(now, b, returnAfter(-b.part, rate*b.localShare(q.nodes)))
	}
	b.level -= units
	b.part = max(b.part-units, -b.rate)
	b.used += units
	b.own += units
	b.unreported.add(now, units)
	b.lately.add(now, units)
	b.unheardOf.add(now, units)
	b.addUse(now, units)
	return qf.QuotaDecision{IsAdmitted: true}
}

func (q *Quotas) refuse(now time.Time, b *quota, retryAfter time.Duration) qf.QuotaDecision {
	decision := qf.QuotaDecision{RetryAfter: retryAfter, Remaining: b.level, LocalShare: b.part, ReportingNodes: q.countReportingNodes(now), Nodes: q.nodes}
	if !q.reportedAt.IsZero() {
		decision.ReportAge = now.Sub(q.reportedAt)
	}
	return decision
}

// isLimitedToShare reports whether this node may use no more than its own share: when
// little is left, or the last tally is old, others may be spending the same units.
func (q *Quotas) isLimitedToShare(now time.Time, b *quota) bool {
	if !q.isRelayed() {
		return false
	}
	return b.level < scarceLevel*b.burst || now.Sub(q.reportedAt) > quotaLateAfter
}

// isRelayed reports whether tallies arrive through relays, which delays them by so much
// that further requests can be admitted meanwhile.
func (q *Quotas) isRelayed() bool {
	for _, s := range q.sources {
		if s.Scope != qf.TallyOwn {
			return true
		}
	}
	return false
}

// returnAfter returns the time in which the bucket gains the units.
func returnAfter(units, rate float64) time.Duration {
	return boundReturn(time.Duration(units / max(rate, 1) * float64(time.Second)))
}

// boundReturn bounds the delay after which a refused caller should retry.
func boundReturn(wait time.Duration) time.Duration { return min(max(wait, leastReturn), mostReturn) }

// RecordTally records a tally that arrived. Of what a source had used before its first tally only
// the recent part is counted, and only in the window: it may have been reported through another
// node, and the buckets may no longer hold those units.
func (q *Quotas) RecordTally(now time.Time, from qf.TallySource, uses []qf.QuotaUse) {
	s := q.sources[from.Node]
	wasUnheard := s == nil || now.Sub(s.reportedAt) > quotaUnheardAfter
	if s == nil || s.Incarnation != from.Incarnation || s.Scope != from.Scope {
		s = q.replaceSource(s, &from)
		q.sources[from.Node] = s
	}
	isFirstReport := s.reportedAt.IsZero()
	s.TallySource, s.reportedAt = from, now
	q.reportedAt = now
	for i := range uses {
		use := &uses[i]
		b := q.buckets[use.Organisation]
		s.recent[use.Organisation] = use.Recent
		more := use.Units - s.reported[use.Organisation]
		if more <= 0 {
			continue
		}
		s.reported[use.Organisation] = use.Units
		if isFirstReport {
			b.addRecent(now, use.Recent)
			b.forfeitReserve(wasUnheard)
			continue
		}
		s.counted[use.Organisation] += more
		if b != nil {
			q.fill(now, b)
			b.level -= more
			b.addUse(now, more)
		}
	}
}

// replaceSource returns the source for a sender that is new, has started again or reports in
// another scope. What was counted of it before stays in the sums.
func (q *Quotas) replaceSource(before *quotaSource, from *qf.TallySource) *quotaSource {
	s := &quotaSource{reported: map[qf.Organisation]float64{}, counted: map[qf.Organisation]float64{}, recent: map[qf.Organisation]float64{}}
	switch {
	case before == nil:
	case before.Scope == from.Scope:
		s.counted = before.counted
	default:
		q.keepCounted(before)
	}
	return s
}

// keepCounted adds what was counted of a source to departed.
func (q *Quotas) keepCounted(s *quotaSource) {
	kept := q.departed[s.Scope]
	if kept == nil {
		kept = map[qf.Organisation]float64{}
		q.departed[s.Scope] = kept
	}
	for organisation, units := range s.counted {
		kept[organisation] += units
	}
}

// CountCoveredNodes returns the number of nodes whose uses are in a tally to a node and
// which reported recently, this node included.
func (q *Quotas) CountCoveredNodes(now time.Time, scope qf.TallyScope, to qf.NodeID) int {
	covers := 1
	for id, s := range q.sources {
		if scope.Includes(s.Scope) && id != to && now.Sub(s.reportedAt) <= quotaSilentAfter {
			covers += s.Covers
		}
	}
	return covers
}

// ReportUses returns the uses of the nodes that a tally to a node covers.
func (q *Quotas) ReportUses(now time.Time, scope qf.TallyScope, to qf.NodeID) []qf.QuotaUse {
	uses := make([]qf.QuotaUse, 0, len(q.buckets))
	for organisation, b := range q.buckets {
		use := qf.QuotaUse{Organisation: organisation, Units: b.used, Recent: b.lately.sum(now)}
		for kept, units := range q.departed {
			if scope.Includes(kept) {
				use.Units += units[organisation]
			}
		}
		for id, s := range q.sources {
			if !scope.Includes(s.Scope) || id == to {
				continue
			}
			use.Units += s.counted[organisation]
			if now.Sub(s.reportedAt) <= quotaSilentAfter {
				use.Recent += s.recent[organisation]
			}
		}
		if use.Units > 0 {
			uses = append(uses, use)
		}
	}
	return uses
}
