package qfrollout

import (
	"fmt"
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// Judge decides from the evidence of one or more nodes whether a version is worse
// than its predecessor. For each route and for all together, each test keeps a
// mixture of likelihood ratios over the times at which the version may have turned
// bad. Their weighted sum starts at most at 1, and its expected value doesn't grow
// while the version is no worse, so the probability that it ever exceeds 1/alpha is
// at most alpha, however often it is evaluated.
type Judge struct {
	alpha float64
	// slot is the time between two additions of weight.
	slot time.Duration
	// now is the time judged so far, since the first call of Evaluate.
	now      time.Duration
	injected int
	all      *mixture
	routes   []*mixture
	last     map[qf.NodeID]nodeSums
}

type nodeSums struct {
	incarnation qf.Incarnation
	routes      map[qf.Route]qf.RouteEvidence
}

// mixture is the state of the tests of one route.
type mixture struct {
	route qf.Route
	// logs holds the logarithm of each test's mixture; pending is what the next Evaluate
	// adds to it.
	logs, pending [scoreCount]float64
	// total is the logarithm of the sum over the tests; isPending says whether
	// evidence was added since it was computed.
	total                float64
	isPending            bool
	new, old             uint64
	newJudged, oldJudged [metricCount]uint64
	newEvents, oldEvents [metricCount]uint64
}

const (
	// judgedEvery is the time between two calls of Evaluate.
	judgedEvery = time.Second
	// startWeight is the weight for a version that is bad from the start; the rest is
	// spread over the slots.
	startWeight = 0.25
	slotCount   = 200
	// allWeight is the weight of the tests over all routes together.
	allWeight = 0.5
	// maxGain bounds what failures add in one Evaluate, so that the loss of the requests
	// in progress on one VM doesn't mark a version as bad. Bounding gains only lowers
	// the probability of a false alarm.
	maxGain = 5.0
)

// NewJudge returns a judge without evidence. The weights are spread over the
// horizon.
func NewJudge(alpha float64, horizon time.Duration) *Judge {
	return &Judge{
		alpha: alpha, slot: max(horizon/slotCount, judgedEvery),
		all: newMixture(qf.Route{}), last: map[qf.NodeID]nodeSums{},
	}
}

func newMixture(route qf.Route) *mixture {
	m := &mixture{route: route, total: math.Inf(-1)}
	for i := range m.logs {
		m.logs[i] = math.Inf(-1)
	}
	return m
}

// AddEvidence adds the difference between a node's counts and its previous ones.
func (j *Judge) AddEvidence(e *qf.RolloutEvidence) {
	last, ok := j.last[e.Node]
	if !ok || last.incarnation != e.Incarnation {
		last = nodeSums{incarnation: e.Incarnation, routes: map[qf.Route]qf.RouteEvidence{}}
	}
	for i := range e.Routes {
		r := &e.Routes[i]
		before := last.routes[r.Route]
		if r.New == before.New && r.Old == before.Old {
			continue
		}
		if r.New < before.New || r.Old < before.Old ||
			!isComplete(r) {
			continue // The message is older, or from another release.
		}
		j.mixtureOf(r.Route).add(r, &before)
		j.all.add(r, &before)
		last.routes[r.Route] = *r
	}
	j.last[e.Node] = last
}

func (j *Judge) mixtureOf(route qf.Route) *mixture {
	for _, m := range j.routes {
		if m.route == route {
			return m
		}
	}
	if len(j.routes) >= maxRoutes {
		return j.routes[maxRoutes-1]
	}
	m := newMixture(route)
	for i := range m.logs {
		m.logs[i] = math.Log(j.weightSoFar())
	}
	m.isPending = true
	j.routes = append(j.routes, m)
	return m
}

// weightSoFar returns the mixture of a route without evidence, whose ratios are all
// 1.
func (j *Judge) weightSoFar() float64 {
	if j.injected == 0 {
		return 0
	}
	return startWeight + (1-startWeight)*float64(j.injected-1)/slotCount
}

func (m *mixture) add(now, before *qf.RouteEvidence) {
	if now.New == before.New && now.Old == before.Old {
		return
	}
	for i := range m.pending {
		m.pending[i] += now.Scores[i]
		if len(before.Scores) == scoreCount {
			m.pending[i] -= before.Scores[i]
		}
	}
	m.isPending = true
	m.new += now.New - before.New
	m.old += now.Old - before.Old
	addSums(&m.newJudged, now.NewJudged, before.NewJudged)
	addSums(&m.oldJudged, now.OldJudged, before.OldJudged)
	addSums(&m.newEvents, now.NewEvents, before.NewEvents)
	addSums(&m.oldEvents, now.OldEvents, before.OldEvents)
}

// addSums adds the difference between a node's counts and its previous ones; before
// may be nil.
func addSums(sums *[metricCount]uint64, now, before []uint64) {
	for k := range sums {
		sums[k] += now[k]
		if len(before) == len(sums) {
			sums[k] -= before[k]
		}
	}
}

// isComplete reports whether evidence has a value for each metric and score of this
// release.
func isComplete(r *qf.RouteEvidence) bool {
	for _, sums := range [][]uint64{r.NewJudged, r.OldJudged, r.NewEvents, r.OldEvents} {
		if len(sums) != int(metricCount) {
			return false
		}
	}
	return len(r.Scores) == scoreCount
}

// Verdict is the result of an evaluation.
type Verdict struct {
	Bad bool
	// Reason gives the route, the metric and the counts of the test with the most
	// weight.
	Reason string
	// Evidence is the logarithm of the weighted sum; the version is bad once it reaches
	// the logarithm of 1/alpha.
	Evidence float64
}

// Evaluate includes the evidence added since the last call and returns the verdict.
// It is called every judgedEvery.
func (j *Judge) Evaluate(elapsed time.Duration) Verdict {
	weight := 0.0
	if j.injected == 0 {
		weight = startWeight
		j.injected = 1
	}
	j.now += elapsed
	for j.injected <= slotCount && j.now >= time.Duration(j.injected)*j.slot {
		weight += (1 - startWeight) / slotCount
		j.injected++
	}
	j.all.close(weight)
	for _, m := range j.routes {
		m.close(weight)
	}
	return j.verdict()
}

func (m *mixture) close(weight float64) {
	if weight == 0 && !m.isPending {
		return
	}
	m.isPending = false
	m.total = math.Inf(-1)
	for i := range m.logs {
		gain := m.pending[i]
		if metric(i/alternativeCount)%metricCount == metricFailed {
			gain = min(gain, maxGain)
		}
		m.logs[i] = addLogs(m.logs[i], math.Log(weight)) + gain
		m.pending[i] = 0
		m.total = addLogs(m.total, m.logs[i])
	}
}

func (j *Judge) verdict() Verdict {
	worst := j.all
	best := j.all.total + math.Log(allWeight/float64(scoreCount))
	total := best
	for _, m := range j.routes {
		value := m.total + math.Log((1-allWeight)/maxRoutes/float64(scoreCount))
		total = addLogs(total, value)
		if value > best {
			best, worst = value, m
		}
	}
	verdict := Verdict{Evidence: total, Bad: total >= -math.Log(j.alpha)}
	if verdict.Bad {
		verdict.Reason = worst.reason()
	}
	return verdict
}

// reason describes the test with the most weight.
func (m *mixture) reason() string {
	heaviest := 0
	for i := range m.logs {
		if m.logs[i] > m.logs[heaviest] {
			heaviest = i
		}
	}
	test := heaviest / alternativeCount
	k, isAbsolute := metric(test)%metricCount, test >= int(metricCount)
	where := "all routes"
	if m.route != (qf.Route{}) {
		where = routeName(m.route)
	}
	against := "at the same time"
	if isAbsolute {
		against = "before the move"
	}
	return fmt.Sprintf("%s on %s: %d of %d at the new version, %d of %d at the old one %s",
		metricNames[k], where, m.newEvents[k], m.newJudged[k], m.oldEvents[k], m.oldJudged[k], against)
}

func routeName(route qf.Route) string {
	name := fmt.Sprintf("%s from %s, %s", route.Organisation, route.Region, route.Class)
	if route.OnceOnly {
		name += ", once-only"
	}
	return name
}
