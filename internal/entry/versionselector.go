package entry

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrollout"
	"quetzalfront/internal/qf/state/qftally"
)

const (
	// An answer counts as bad if it starts later than slowFactor times the baseline plus
	// slowMargin.
	slowFactor = 3
	slowMargin = 60 * time.Millisecond
	// baselineSamples is the inverse of the weight of a new sample in the baseline.
	baselineSamples = 16
)

// versionSelector selects the version of an entry for a request, and counts the results of
// versions during rollouts. The endpointPicker's lock guards it.
type versionSelector struct {
	orders map[qf.EntryName]qf.RolloutOrder
	plans  map[qf.EntryName]*qf.RolloutPlan
	// history holds the orders that were seen.
	history orderHistory
	// endpointCounts holds the number of usable endpoints of each version.
	endpointCounts map[qf.EntryName]map[qf.Version]int
	// baselines holds each route's usual time to the start of an answer, from the versions
	// that aren't under judgement.
	baselines map[string]time.Duration
	counters  *qftally.Counters[qf.VersionKey]
}

func newVersionSelector() *versionSelector {
	return &versionSelector{
		orders: map[qf.EntryName]qf.RolloutOrder{}, plans: map[qf.EntryName]*qf.RolloutPlan{}, history: orderHistory{},
		endpointCounts: map[qf.EntryName]map[qf.Version]int{}, baselines: map[string]time.Duration{},
		counters: qftally.New[qf.VersionKey](),
	}
}

func (v *versionSelector) setEndpoints(endpoints []qf.Endpoint) {
	clear(v.endpointCounts)
	for i := range endpoints {
		e := &endpoints[i]
		if v.endpointCounts[e.Entry] == nil {
			v.endpointCounts[e.Entry] = map[qf.Version]int{}
		}
		v.endpointCounts[e.Entry][e.Version]++
	}
}

// setOrder sets the operator's order if it is newer than the current one.
func (v *versionSelector) setOrder(order qf.RolloutOrder) {
	if v.history.record(&order) || order.Stamp <= v.orders[order.Entry].Stamp {
		return
	}
	if plan := v.plans[order.Entry]; plan != nil && isPlanOf(plan, &order) {
		order.Stamp = plan.Generation
	}
	v.orders[order.Entry] = order
}

// applyPlan puts a plan in force if it is newer, and reports whether it was.
func (v *versionSelector) applyPlan(plan *qf.RolloutPlan) bool {
	known := v.plans[plan.Entry]
	if known != nil && !plan.IsNewerThan(known) {
		return false
	}
	if known == nil || known.Generation != plan.Generation {
		v.counters.Prune(func(key qf.VersionKey) bool { return key.Entry == plan.Entry && key.Generation < plan.Generation })
	}
	copied := *plan
	v.plans[plan.Entry] = &copied
	if order, isKnown := v.orders[plan.Entry]; isKnown && known == nil && isPlanOf(plan, &order) {
		order.Stamp = plan.Generation
		v.orders[plan.Entry] = order
	}
	return true
}

// majorityVersion returns the version that most endpoints of an entry run, one version excluded.
func (v *versionSelector) majorityVersion(entry qf.EntryName, without qf.Version) qf.Version {
	var majority qf.Version
	most := 0
	for version, count := range v.endpointCounts[entry] {
		if version != without && (count > most || count == most && version < majority) {
			majority, most = version, count
		}
	}
	return majority
}

// servingVersion returns the version that an entry's requests use but for those that judge
// another one. It is empty if none is known.
func (v *versionSelector) servingVersion(entry qf.EntryName) qf.Version {
	plan, order := v.plans[entry], v.orders[entry]
	switch {
	case plan == nil || plan.Generation < order.Stamp:
		if majority := v.majorityVersion(entry, order.To); majority != "" {
			return majority
		}
		return order.To
	case plan.Phase == qf.RolloutDone:
		return plan.To
	default:
		return plan.From
	}
}

// chooseVersion returns the version to use, or an empty one if any will do. A version without
// an order gets no requests.
func (v *versionSelector) chooseVersion(entry qf.EntryName, random *rand.Rand) qf.Version {
	if len(v.endpointCounts[entry]) <= 1 && v.orders[entry].Stamp == 0 {
		return ""
	}
	plan, order := v.plans[entry], v.orders[entry]
	if plan == nil || plan.Generation < order.Stamp {
		if majority := v.majorityVersion(entry, order.To); majority != "" {
			return majority
		}
		return ""
	}
	chosen, other := plan.From, plan.To
	if plan.Phase == qf.RolloutDone || plan.Phase != qf.RolloutRolledBack && random.Float64() < plan.RestShare {
		chosen, other = other, chosen
	}
	isLost := v.endpointCounts[entry][chosen] == 0
	if isLost && plan.Phase != qf.RolloutRolledBack && (other == plan.From || plan.Phase == qf.RolloutWatching) {
		return other
	}
	return chosen
}

// recordFirstToken updates the route's baseline of the time to the start of an answer.
func (v *versionSelector) recordFirstToken(p *qf.PickedEndpoint) {
	if plan := v.plans[p.Endpoint.Entry]; plan != nil && plan.To == p.Endpoint.Version && plan.Phase != qf.RolloutDone {
		return
	}
	baseline := v.baselines[p.Route]
	if baseline == 0 {
		baseline = p.Began
	}
	v.baselines[p.Route] = baseline + (p.Began-baseline)/baselineSamples
}

// recordAttemptEnd counts an attempt while a rollout of its entry is under way.
func (v *versionSelector) recordAttemptEnd(p *qf.PickedEndpoint, end qf.AttemptEnd) {
	plan := v.plans[p.Endpoint.Entry]
	isJudged := end == qf.AttemptAnswered || end == qf.AttemptFailed || end == qf.AttemptBroken
	if plan == nil || !isJudged || plan.Phase == qf.RolloutDone || plan.Phase == qf.RolloutRolledBack {
		return
	}
	key := qf.VersionKey{Generation: plan.Generation, Entry: plan.Entry, Version: p.Endpoint.Version, Route: p.Route}
	v.counters.Add(key, 1)
	usual := v.baselines[p.Route]
	isSlow := usual > 0 && p.Began > slowFactor*usual+slowMargin
	if end != qf.AttemptAnswered || isSlow {
		key.Bad = true
		v.counters.Add(key, 1)
	}
}

// listCounts returns the counters for a peer.
func (v *versionSelector) listCounts(scope qf.TallyScope, to qf.NodeID) []qf.VersionCount {
	var counts []qf.VersionCount
	v.counters.EachCount(scope, to, func(key qf.VersionKey, count uint64) {
		counts = append(counts, qf.VersionCount{VersionKey: key, Count: count})
	})
	return counts
}

// mergeCounts merges a peer's counters.
func (v *versionSelector) mergeCounts(from *qf.TallySource, counts []qf.VersionCount) {
	for i := range counts {
		v.counters.MergeCount(from, counts[i].VersionKey, counts[i].Count)
	}
}

// timedInput returns the input of the next step of an entry's rollout.
func (v *versionSelector) timedInput(now time.Time, order qf.RolloutOrder) *qfrollout.TimedInput {
	input := &qfrollout.TimedInput{
		Now: now, Order: order, Current: v.majorityVersion(order.Entry, order.To), HasNew: v.endpointCounts[order.Entry][order.To] > 0,
		Old: make([]qfrollout.VersionCounts, 1), New: make([]qfrollout.VersionCounts, 1),
	}
	routes := map[string]int{}
	for _, key := range v.counters.Keys() {
		if key.Entry != order.Entry || key.Generation != order.Stamp {
			continue
		}
		if _, ok := routes[key.Route]; !ok {
			routes[key.Route] = len(input.New)
			input.New, input.Old = append(input.New, qfrollout.VersionCounts{}), append(input.Old, qfrollout.VersionCounts{})
		}
		list := input.Old
		if key.Version == order.To {
			list = input.New
		}
		for _, sums := range []*qfrollout.VersionCounts{&list[0], &list[routes[key.Route]]} {
			if key.Bad {
				sums.Bad += v.counters.Total(key)
			} else {
				sums.Judged += v.counters.Total(key)
			}
		}
	}
	return input
}
