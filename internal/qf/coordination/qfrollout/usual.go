package qfrollout

import (
	"math"
	"slices"

	"quetzalfront/internal/qf"
)

// usual keeps the old version's latest times by region and load, so that a
// version isn't blamed for the load of its endpoints, and lengths by route.
type usual struct {
	times   map[timesKey]*recent
	lengths map[qf.Route]*recent
}

// timeKind names a time of an attempt.
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
	// level is the logarithm of the endpoint's load, or anyLevel.
	level int
}

const anyLevel = -1

func newUsual() *usual {
	return &usual{times: map[timesKey]*recent{}, lengths: map[qf.Route]*recent{}}
}

// add takes an attempt at the version that is known to be good.
func (u *usual) add(o *qf.Observation) {
	if o.Failed || !o.Complete {
		return
	}
	for _, kind := range []timeKind{firstToken, betweenToken} {
		u.timesOf(timesKey{kind, o.EndpointRegion, levelOf(o.Load)}).add(kind.of(o))
		u.timesOf(timesKey{kind, o.EndpointRegion, anyLevel}).add(kind.of(o))
	}
	u.lengthsOf(routeOf(o.Organisation, o.Region, o.Class, o.OnceOnly)).add(float64(o.Tokens))
}

// judgeTime says whether an attempt is slow, by the old version's times at the
// same load if enough is known of that, or else at any load.
func (u *usual) judgeTime(o *qf.Observation, kind timeKind, isNoise bool) event {
	limit, isExact := u.timesOf(timesKey{kind, o.EndpointRegion, levelOf(o.Load)}).slowLimit()
	applies := isExact
	if !isExact {
		limit, applies = u.timesOf(timesKey{kind, o.EndpointRegion, anyLevel}).slowLimit()
	}
	return event{applies: applies, isExact: isExact, happened: kind.of(o) > limit || isNoise}
}

// loadLevels is the number of levels for each doubling of an endpoint's load.
const loadLevels = 4

func levelOf(load int) int { return int(math.Round(loadLevels * math.Log2(float64(1+load)))) }

func (u *usual) timesOf(key timesKey) *recent {
	if u.times[key] == nil {
		u.times[key] = &recent{}
	}
	return u.times[key]
}

func (u *usual) lengthsOf(route qf.Route) *recent {
	if u.lengths[route] == nil {
		u.lengths[route] = &recent{}
	}
	return u.lengths[route]
}

const (
	// An attempt is slow if it takes a multiple of the old version's median and
	// longer than nearly all of the old version's.
	medianQuantile = 0.5
	slowQuantile   = 0.95
	slowFactor     = 1.4
)

const (
	recentSize  = 128
	recentLeast = 32
	sortEvery   = 16
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
	if r.added >= recentLeast && (r.added == recentLeast || r.added%sortEvery == 0) {
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

// quantile returns a quantile, or false while there are too few values.
func (r *recent) quantile(q float64) (float64, bool) {
	if len(r.sorted) == 0 {
		return 0, false
	}
	return r.sorted[int(q*float64(len(r.sorted)-1))], true
}
