package qfrollout

import (
	"math"
	"slices"

	"quetzalfront/internal/qf"
)

// reference keeps the old version's latest times by region and load, so that a
// version isn't judged by the load of its endpoints, and its response lengths by
// route.
type reference struct {
	times   map[timesKey]*recent
	lengths map[qf.Route]*recent
}

// timeKind is a latency of an attempt.
type timeKind string

const (
	firstToken   timeKind = "FirstToken"
	betweenToken timeKind = "BetweenToken"
)

func (k timeKind) of(o *qf.Observation) float64 {
	if k == firstToken {
		return float64(o.FirstToken)
	}
	return float64(o.BetweenToken)
}

type timesKey struct {
	kind   timeKind
	region qf.Region
	// level is the logarithmic load level of the endpoint, or anyLevel.
	level int
}

const anyLevel = -1

func newReference() *reference {
	return &reference{times: map[timesKey]*recent{}, lengths: map[qf.Route]*recent{}}
}

// add records an attempt at the version that traffic falls back to.
func (r *reference) add(o *qf.Observation) {
	if o.Failed || !o.Complete {
		return
	}
	for _, kind := range []timeKind{firstToken, betweenToken} {
		r.timesOf(timesKey{kind, o.EndpointRegion, levelOf(o.Load)}).add(kind.of(o))
		r.timesOf(timesKey{kind, o.EndpointRegion, anyLevel}).add(kind.of(o))
	}
	r.lengthsOf(routeOf(o.Organisation, o.Region, o.Class, o.OnceOnly)).add(float64(o.Tokens))
}

// judgeTime reports whether an attempt is slow, by the old version's times at the
// same load if there are enough, or else at any load.
func (r *reference) judgeTime(o *qf.Observation, kind timeKind, isNoise bool) event {
	limit, isExact := r.timesOf(timesKey{kind, o.EndpointRegion, levelOf(o.Load)}).slowLimit()
	applies := isExact
	if !isExact {
		limit, applies = r.timesOf(timesKey{kind, o.EndpointRegion, anyLevel}).slowLimit()
	}
	return event{applies: applies, isExact: isExact, happened: kind.of(o) > limit || isNoise}
}

// loadLevels is the number of load levels for each doubling of an endpoint's load.
const loadLevels = 4

func levelOf(load int) int { return int(math.Round(loadLevels * math.Log2(float64(1+load)))) }

func (r *reference) timesOf(key timesKey) *recent {
	if r.times[key] == nil {
		r.times[key] = &recent{}
	}
	return r.times[key]
}

func (r *reference) lengthsOf(route qf.Route) *recent {
	if r.lengths[route] == nil {
		r.lengths[route] = &recent{}
	}
	return r.lengths[route]
}

const (
	// An attempt is slow if it takes more than slowFactor times the old version's median
	// and longer than nearly all attempts of the old version.
	medianQuantile = 0.5
	slowQuantile   = 0.95
	slowFactor     = 1.4
)

const (
	// recentSize is the number of latest values that are kept. Quantiles are known from
	// minRecent values on and recomputed after every sortEvery.
	recentSize = 128
	minRecent  = 32
	sortEvery  = 16
)

// recent keeps the latest values of the old version and their quantiles.
type recent struct {
	values []float64
	next   int
	added  int
	sorted []float64
}

func (r *recent) add(value float64) {
	if value <= 0 {
		return
	}
	if len(r.values) < recentSize {
		r.values = append(r.values, value)
	} else {
		r.values[r.next] = value
		r.next = (r.next + 1) % recentSize
	}
	r.added++
	if r.added >= minRecent && (r.added == minRecent || r.added%sortEvery == 0) {
		r.sorted = append(r.sorted[:0], r.values...)
		slices.Sort(r.sorted)
	}
}

// slowLimit returns the time above which an attempt is slow.
func (r *recent) slowLimit() (float64, bool) {
	middle, ok := r.quantile(medianQuantile)
	high, _ := r.quantile(slowQuantile)
	return max(middle*slowFactor, high), ok
}

// quantile returns a quantile of the values, or false while there are too few.
func (r *recent) quantile(q float64) (float64, bool) {
	if len(r.sorted) == 0 {
		return 0, false
	}
	return r.sorted[int(q*float64(len(r.sorted)-1))], true
}
