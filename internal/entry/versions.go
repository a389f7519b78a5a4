package entry

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrollout"
	"quetzalfront/internal/qf/state/qftally"
)

const (
	// slowFactor and slowFloor say how much later than usual an answer must begin to
	// count as bad.
	slowFactor = 3
	slowFloor  = 60 * time.Millisecond
	// usualSamples is the weight of a new sample in the usual time, one over this number.
	usualSamples = 16
)

// versions picks the version of an entry that serves a request, and counts how the
// versions of rollouts do. The placer's lock guards it.
type versions struct {
	orders map[qf.EntryName]qf.RolloutOrder
	plans  map[qf.EntryName]*qf.RolloutPlan
	// listed counts the endpoints of each version.
	listed map[qf.EntryName]map[qf.Version]int
	// usual is how long answers take to begin on a route, by versions that aren't judged.
	usual map[string]time.Duration
	sums  *qftally.Counters[qf.VersionKey]
}

func newVersions() *versions {
	return &versions{
		orders: map[qf.EntryName]qf.RolloutOrder{}, plans: map[qf.EntryName]*qf.RolloutPlan{},
		listed: map[qf.EntryName]map[qf.Version]int{}, usual: map[string]time.Duration{},
		sums: qftally.New[qf.VersionKey](),
	}
}

func (v *versions) setListed(endpoints []qf.Endpoint) {
	clear(v.listed)
	for i := range endpoints {
		e := &endpoints[i]
		if v.listed[e.Entry] == nil {
			v.listed[e.Entry] = map[qf.Version]int{}
		}
		v.listed[e.Entry][e.Version]++
	}
}

// setOrder takes the operator's order. Older ones change nothing.
func (v *versions) setOrder(order qf.RolloutOrder) {
	if order.Stamp > v.orders[order.Entry].Stamp {
		v.orders[order.Entry] = order
	}
}

// adopt puts a plan in force if it is newer, and reports whether it was.
func (v *versions) adopt(plan *qf.RolloutPlan) bool {
	known := v.plans[plan.Entry]
	if known != nil && !plan.IsNewerThan(known) {
		return false
	}
	if known == nil || known.Generation != plan.Generation {
		v.sums.Prune(func(key qf.VersionKey) bool { return key.Entry == plan.Entry && key.Generation < plan.Generation })
	}
	copied := *plan
	v.plans[plan.Entry] = &copied
	return true
}

// usualVersion is the version that most endpoints of an entry run, one left out.
func (v *versions) usualVersion(entry qf.EntryName, without qf.Version) qf.Version {
	var usual qf.Version
	most := 0
	for version, count := range v.listed[entry] {
		if version != without && (count > most || count == most && version < usual) {
			usual, most = version, count
		}
	}
	return usual
}

// choose returns the version to use, or an empty one if any will do. A version for which
// there is no order gets nothing.
func (v *versions) choose(entry qf.EntryName, random *rand.Rand) qf.Version {
	if len(v.listed[entry]) <= 1 && v.orders[entry].Stamp == 0 {
		return ""
	}
	plan, order := v.plans[entry], v.orders[entry]
	if plan == nil || plan.Generation < order.Stamp {
		if usual := v.usualVersion(entry, order.To); usual != "" {
			return usual
		}
		return ""
	}
	chosen, other := plan.From, plan.To
	if plan.Phase == qf.RolloutDone || plan.Phase != qf.RolloutRolledBack && random.Float64() < plan.RestShare {
		chosen, other = other, chosen
	}
	isLost := v.listed[entry][chosen] == 0
	if isLost && plan.Phase != qf.RolloutRolledBack && (other == plan.From || plan.Phase == qf.RolloutWatching) {
		return other
	}
	return chosen
}

// began learns how long answers usually take to begin.
func (v *versions) began(p *qf.PickedEndpoint) {
	if plan := v.plans[p.Endpoint.Entry]; plan != nil && plan.To == p.Endpoint.Version && plan.Phase != qf.RolloutDone {
		return
	}
	usual := v.usual[p.Route]
	if usual == 0 {
		usual = p.Began
	}
	v.usual[p.Route] = usual + (p.Began-usual)/usualSamples
}

// ended counts an attempt while a rollout of its entry is under way.
func (v *versions) ended(p *qf.PickedEndpoint, end qf.AttemptEnd) {
	plan := v.plans[p.Endpoint.Entry]
	isJudged := end == qf.AttemptAnswered || end == qf.AttemptFailed || end == qf.AttemptBroken
	if plan == nil || !isJudged || plan.Phase == qf.RolloutDone || plan.Phase == qf.RolloutRolledBack {
		return
	}
	key := qf.VersionKey{Generation: plan.Generation, Entry: plan.Entry, Version: p.Endpoint.Version, Route: p.Route}
	v.sums.Add(key, 1)
	usual := v.usual[p.Route]
	isSlow := usual > 0 && p.Began > slowFactor*usual+slowFloor
	if end != qf.AttemptAnswered || isSlow {
		key.Bad = true
		v.sums.Add(key, 1)
	}
}

// tally returns the counters for a peer.
func (v *versions) tally(scope qf.TallyScope, to qf.NodeID) []qf.VersionCount {
	var counts []qf.VersionCount
	v.sums.EachCount(scope, to, func(key qf.VersionKey, count uint64) {
		counts = append(counts, qf.VersionCount{VersionKey: key, Count: count})
	})
	return counts
}

// heard takes a peer's counters.
func (v *versions) heard(from *qf.TallySource, counts []qf.VersionCount) {
	for i := range counts {
		v.sums.MergeCount(from, counts[i].VersionKey, counts[i].Count)
	}
}

// facts collects what a step of an entry's rollout needs to know.
func (v *versions) facts(now time.Time, order qf.RolloutOrder) *qfrollout.TimedInput {
	f := &qfrollout.TimedInput{
		Now: now, Order: order, Current: v.usualVersion(order.Entry, order.To), HasNew: v.listed[order.Entry][order.To] > 0,
		Old: make([]qfrollout.VersionCounts, 1), New: make([]qfrollout.VersionCounts, 1),
	}
	routes := map[string]int{}
	for _, key := range v.sums.Keys() {
		if key.Entry != order.Entry || key.Generation != order.Stamp {
			continue
		}
		if _, ok := routes[key.Route]; !ok {
			routes[key.Route] = len(f.New)
			f.New, f.Old = append(f.New, qfrollout.VersionCounts{}), append(f.Old, qfrollout.VersionCounts{})
		}
		list := f.Old
		if key.Version == order.To {
			list = f.New
		}
		for _, sums := range []*qfrollout.VersionCounts{&list[0], &list[routes[key.Route]]} {
			if key.Bad {
				sums.Bad += v.sums.Total(key)
			} else {
				sums.Judged += v.sums.Total(key)
			}
		}
	}
	return f
}
