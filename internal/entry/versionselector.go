package entry

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrollout"
	"quetzalfront/internal/qf/state/qftally"
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
	// judge counts the results of attempts while versions are compared.
	judge    *versionJudge
	counters *qftally.Counters[qf.VersionKey]
}

func newVersionSelector() *versionSelector {
	v := &versionSelector{
		orders: map[qf.EntryName]qf.RolloutOrder{}, plans: map[qf.EntryName]*qf.RolloutPlan{}, history: orderHistory{},
		endpointCounts: map[qf.EntryName]map[qf.Version]int{}, counters: qftally.New[qf.VersionKey](),
	}
	v.judge = newVersionJudge(v.plans, v.counters)
	return v
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
	if known != nil && !qfrollout.ReplacesTimed(plan, known) {
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
	if plan != nil && plan.Generation >= order.Stamp {
		return qfrollout.FallbackVersion(plan)
	}
	if version := v.versionBeforeOrder(entry); version != "" {
		return version
	}
	return order.To
}

// versionBeforeOrder returns the version to use until there is a plan for the newest order: that to which the last plan
// has led, whose other version may have been taken back, or else the one that most endpoints run. It is empty if only
// the ordered version has endpoints.
func (v *versionSelector) versionBeforeOrder(entry qf.EntryName) qf.Version {
	if plan := v.plans[entry]; plan != nil {
		if version := qfrollout.FallbackVersion(plan); v.endpointCounts[entry][version] > 0 {
			return version
		}
	}
	return v.majorityVersion(entry, v.orders[entry].To)
}

// chooseVersion returns the version to use, or an empty one if any will do. A version without
// an order gets no requests.
func (v *versionSelector) chooseVersion(entry qf.EntryName, random *rand.Rand) qf.Version {
	if len(v.endpointCounts[entry]) <= 1 && v.orders[entry].Stamp == 0 {
		return ""
	}
	plan, order := v.plans[entry], v.orders[entry]
	if plan == nil || plan.Generation < order.Stamp {
		return v.versionBeforeOrder(entry)
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

// listCounts returns the counters for a peer.
func (v *versionSelector) listCounts(now time.Time, scope qf.TallyScope, to qf.NodeID) []qf.VersionCount {
	v.judge.countOverdue(now)
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
func (v *versionSelector) timedInput(now, fleetNow time.Time, order qf.RolloutOrder) *qfrollout.TimedInput {
	v.judge.countOverdue(now)
	input := &qfrollout.TimedInput{
		Now: fleetNow, Order: order, Current: v.majorityVersion(order.Entry, order.To), HasNew: v.endpointCounts[order.Entry][order.To] > 0,
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
