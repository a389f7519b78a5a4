package qffair

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// fleetWindow is the time constant of the fleet's sums: two tallies. A node's own sums, which are used
	// alone only while no tallies come, hold fewer requests and so more time.
	fleetWindow = 3 * time.Second
	ownWindow   = 20 * time.Second
	// maxTallied bounds the demands of one tally.
	maxTallied = 64
	// talliedFor is how long after its last request a demand is reported.
	talliedFor = 10 * time.Second
	// forgottenAfter is the silence after which a source is forgotten.
	forgottenAfter = time.Minute
)

// Key identifies a demand.
type Key struct {
	Entry qf.EntryName
	// Rank is 0 for the most urgent requests.
	Rank         int
	Organisation qf.Organisation
}

// amounts are units of work. Admitted and withheld ones are part of those asked for.
type amounts struct{ asked, admitted, withheld float64 }

func (a *amounts) add(b amounts) {
	a.asked += b.asked
	a.admitted += b.admitted
	a.withheld += b.withheld
}

func (a *amounts) scale(by float64) { *a = amounts{a.asked * by, a.admitted * by, a.withheld * by} }

// refusedPart returns the part of what was let through that was refused for want of room.
func (a *amounts) refusedPart() float64 {
	through := a.asked - a.withheld
	if through <= 0 {
		return 0
	}
	return max(through-a.admitted, 0) / through
}

// increaseSince returns how much has been added since an earlier count. Late messages give nothing.
func (a amounts) increaseSince(before amounts) amounts {
	return amounts{max(a.asked-before.asked, 0), max(a.admitted-before.admitted, 0), max(a.withheld-before.withheld, 0)}
}

// decayingSum is a sum of recent amounts, in which the weight of each falls with its age.
type decayingSum struct {
	amounts
	at time.Time
}

func (d *decayingSum) add(now time.Time, window time.Duration, b amounts) {
	d.decay(now, window)
	d.amounts.add(b)
}

func (d *decayingSum) decay(now time.Time, window time.Duration) {
	if passed := now.Sub(d.at); passed > 0 {
		d.scale(math.Exp(-passed.Seconds() / window.Seconds()))
		d.at = now
	}
}

// demand is what is known of one key.
type demand struct {
	// total is counted by this node since its start.
	total amounts
	// fleet is the sum over all nodes as known here, own that over this node alone.
	fleet, own decayingSum
	// askedAt is when an increase was last counted or reported.
	askedAt time.Time
	// objective is the shortest of a request of this node, objectiveAt when it last was.
	objective   time.Duration
	objectiveAt time.Time
}

// sourceKey identifies the sender of tallies of one scope.
type sourceKey struct {
	node  qf.NodeID
	scope qf.TallyScope
}

// source is a sender of tallies.
type source struct {
	incarnation qf.Incarnation
	heardAt     time.Time
	// reported holds the highest counts received of the incarnation, counted the increases that were added to the
	// sums. The latter only grow, also when the sender starts again.
	reported, counted map[Key]amounts
	// wasFull means that the last tally had no room for more demands, so that a new one may be old.
	wasFull bool
}

// tallies sums the demands of all nodes. It isn't safe for concurrent use.
type tallies struct {
	demands map[Key]*demand
	sources map[sourceKey]*source
	// counted sums the increases of all sources, also those that were forgotten, by the scope in which they were received.
	counted map[qf.TallyScope]map[Key]amounts
	// heardAt is when a tally was last received. It is zero if none was.
	heardAt time.Time
}

func newTallies() tallies {
	return tallies{demands: map[Key]*demand{}, sources: map[sourceKey]*source{}, counted: map[qf.TallyScope]map[Key]amounts{}}
}

func (t *tallies) demand(key Key) *demand {
	d := t.demands[key]
	if d == nil {
		d = &demand{}
		t.demands[key] = d
	}
	return d
}

// record counts a request of this node.
func (t *tallies) record(now time.Time, key Key, units amounts) {
	d := t.demand(key)
	d.total.add(units)
	d.own.add(now, ownWindow, units)
	d.fleet.add(now, fleetWindow, units)
	d.askedAt = now
}

// merge adds the increase since the source's last tally. The first tally of a source shows only where its counts stand.
func (t *tallies) merge(now time.Time, from *qf.TallySource, reports []qf.RankDemand) {
	key := sourceKey{node: from.Node, scope: from.Scope}
	src := t.sources[key]
	isFirst := src == nil
	if !isFirst && from.Incarnation < src.incarnation {
		return // Sent before the node started again.
	}
	t.heardAt = now
	if isFirst {
		src = &source{incarnation: from.Incarnation, reported: map[Key]amounts{}, counted: map[Key]amounts{}}
		t.sources[key] = src
	}
	if src.incarnation != from.Incarnation {
		src.incarnation, src.reported, src.wasFull = from.Incarnation, map[Key]amounts{}, false
		isFirst = from.Scope != qf.TallyOwn // The node itself counts from 0.
	}
	src.heardAt = now
	for i := range reports {
		t.mergeReport(now, key.scope, src, &reports[i], isFirst)
	}
	src.wasFull = len(reports) >= maxTallied
}

func (t *tallies) mergeReport(now time.Time, scope qf.TallyScope, src *source, report *qf.RankDemand, isFirst bool) {
	key := Key{Entry: report.Entry, Rank: report.Rank, Organisation: report.Organisation}
	count := amounts{asked: report.Asked, admitted: report.Admitted, withheld: report.Withheld}
	before, wasReported := src.reported[key]
	if wasReported && count.asked <= before.asked {
		return
	}
	src.reported[key] = count
	if isFirst || !wasReported && src.wasFull {
		return
	}
	increase := count.increaseSince(before)
	addAmounts(src.counted, key, increase)
	if t.counted[scope] == nil {
		t.counted[scope] = map[Key]amounts{}
	}
	addAmounts(t.counted[scope], key, increase)
	d := t.demand(key)
	d.fleet.add(now, fleetWindow, increase)
	d.askedAt = now
}

func addAmounts(sums map[Key]amounts, key Key, b amounts) {
	sum := sums[key]
	sum.add(b)
	sums[key] = sum
}

// forget deletes the sources that are silent for long.
func (t *tallies) forget(now time.Time) {
	maps.DeleteFunc(t.sources, func(_ sourceKey, src *source) bool { return now.Sub(src.heardAt) > forgottenAfter })
}

// report returns the counts of a tally for a node: the largest of those that rose a short time ago.
func (t *tallies) report(now time.Time, scope qf.TallyScope, to qf.NodeID) []qf.RankDemand {
	t.forget(now)
	sums := map[Key]amounts{}
	for key, d := range t.demands {
		if now.Sub(d.askedAt) <= talliedFor {
			sums[key] = t.sum(key, d, scope, to)
		}
	}
	maps.DeleteFunc(sums, func(_ Key, sum amounts) bool { return sum.asked <= 0 })
	keys := slices.Collect(maps.Keys(sums))
	if len(keys) > maxTallied {
		slices.SortFunc(keys, func(a, b Key) int {
			return cmp.Or(cmp.Compare(t.recent(now, b), t.recent(now, a)), compareKeys(a, b))
		})
		keys = keys[:maxTallied]
	}
	reports := make([]qf.RankDemand, len(keys))
	for i, key := range keys {
		sum := sums[key]
		reports[i] = qf.RankDemand{
			Entry: key.Entry, Organisation: key.Organisation, Rank: key.Rank,
			Asked: sum.asked, Admitted: sum.admitted, Withheld: sum.withheld,
		}
	}
	return reports
}

// sum returns the count of a demand over the nodes that a tally to a node covers.
func (t *tallies) sum(key Key, d *demand, scope qf.TallyScope, to qf.NodeID) amounts {
	sum := d.total
	for received, counts := range t.counted {
		if !scope.Includes(received) {
			continue
		}
		sum.add(counts[key])
		if src := t.sources[sourceKey{node: to, scope: received}]; src != nil {
			own := src.counted[key]
			own.scale(-1)
			sum.add(own)
		}
	}
	return sum
}

// recent returns what the fleet asked for a short time ago.
func (t *tallies) recent(now time.Time, key Key) float64 {
	d := t.demands[key]
	d.fleet.decay(now, fleetWindow)
	return d.fleet.asked
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation))
}
