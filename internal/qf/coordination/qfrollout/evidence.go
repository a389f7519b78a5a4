package qfrollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// evidence is what this node has observed of one rollout.
type evidence struct {
	// routes is in the order of the first attempts.
	routes []*routeEvidence
}

type routeEvidence struct {
	qf.RouteEvidence
	// share is the new version's share from the time since on; previousShare was in
	// force before that, from previousSince on.
	share, previousShare float64
	since, previousSince time.Time
	// exported is a copy of the counts and scores; it is nil if they have changed since.
	exported *qf.RouteEvidence
}

// maxRoutes bounds the routes of an entry; attempts on further ones are counted with
// the last.
const maxRoutes = 64

func (e *evidence) routeEvidenceOf(route qf.Route) *routeEvidence {
	for _, r := range e.routes {
		if r.Route == route {
			return r
		}
	}
	if len(e.routes) >= maxRoutes {
		return e.routes[maxRoutes-1]
	}
	r := &routeEvidence{RouteEvidence: qf.RouteEvidence{
		Route: route, NewEvents: make([]uint64, metricCount), OldEvents: make([]uint64, metricCount),
		NewJudged: make([]uint64, metricCount), OldJudged: make([]uint64, metricCount),
		Scores: make([]float64, scoreCount),
	}}
	e.routes = append(e.routes, r)
	return r
}

// setShare records a change of the route's share.
func (r *routeEvidence) setShare(now time.Time, share float64) {
	if share == r.share && !r.since.IsZero() {
		return
	}
	r.previousShare, r.previousSince = r.share, r.since
	r.share, r.since = share, now
}

// shareAt returns the share that was in force at a time, or false if that is too
// long ago.
func (r *routeEvidence) shareAt(at time.Time) (float64, bool) {
	switch {
	case !at.Before(r.since):
		return r.share, true
	case !r.previousSince.IsZero() && !at.Before(r.previousSince):
		return r.previousShare, true
	default:
		return 0, false
	}
}

// add records one finished attempt. The thresholds for a slow attempt come from
// earlier attempts at the old version, so they don't depend on this one.
func (e *evidence) add(o *qf.Observation, ref *reference, isNew bool, baseline []float64, random *rand.Rand) {
	r := e.routeEvidenceOf(routeOf(o.Organisation, o.Region, o.Class, o.OnceOnly))
	share, ok := r.shareAt(o.StartedAt)
	if !ok {
		return
	}
	r.exported = nil
	counts, judged := r.OldEvents, r.OldJudged
	if isNew {
		r.New++
		counts, judged = r.NewEvents, r.NewJudged
	} else {
		r.Old++
	}
	for m, event := range classify(o, ref, random) {
		if !event.applies {
			continue
		}
		judged[m]++
		if event.happened {
			counts[m]++
		}
		switch {
		case share < concurrentBelow && share > 0 && event.happened:
			addConcurrent(r.Scores, metric(m), share, isNew)
		case share >= concurrentBelow && isNew && event.isExact && len(baseline) == int(metricCount):
			addAbsolute(r.Scores, metric(m), baseline[m], event.happened)
		}
	}
}

// event says whether a metric applies to an attempt, and whether the attempt was bad
// by it.
type event struct {
	applies, happened bool
	// isExact is true if there are enough attempts of the old version at the same load.
	isExact bool
}

const (
	// noiseRate is the probability with which an attempt counts as slow or of unusual
	// length though it isn't. It keeps a test from distinguishing two rates that are
	// both small.
	noiseRate = 0.03
	// A response is of unusual length if it is well outside the old version's range.
	shortQuantile, longQuantile = 0.05, 0.95
	shortFactor, longFactor     = 0.7, 1.4
)

// classify returns the event of each metric for an attempt.
func classify(o *qf.Observation, ref *reference, random *rand.Rand) [metricCount]event {
	isNoise := func() bool { return random.Float64() < noiseRate }
	var events [metricCount]event
	failed := o.Failed || !o.Complete
	events[metricFailed] = event{applies: true, isExact: true, happened: failed}
	if o.FirstToken > 0 {
		events[metricFirstToken] = ref.judgeTime(o, firstToken, isNoise())
	}
	if o.BetweenToken > 0 {
		events[metricBetweenToken] = ref.judgeTime(o, betweenToken, isNoise())
	}
	if !failed && o.Tokens > 0 {
		lengths := ref.lengthsOf(routeOf(o.Organisation, o.Region, o.Class, o.OnceOnly))
		least, ok := lengths.quantile(shortQuantile)
		most, _ := lengths.quantile(longQuantile)
		length := float64(o.Tokens)
		events[metricLength] = event{applies: ok, isExact: true, happened: length < least*shortFactor || length > most*longFactor || isNoise()}
	}
	return events
}

// export returns a copy of the counts and scores. The caller must not change it.
func (e *evidence) export() []qf.RouteEvidence {
	routes := make([]qf.RouteEvidence, 0, len(e.routes))
	for _, r := range e.routes {
		if r.exported != nil {
			routes = append(routes, *r.exported)
			continue
		}
		copied := r.RouteEvidence
		copied.NewEvents = slices.Clone(r.NewEvents)
		copied.OldEvents = slices.Clone(r.OldEvents)
		copied.NewJudged = slices.Clone(r.NewJudged)
		copied.OldJudged = slices.Clone(r.OldJudged)
		copied.Scores = slices.Clone(r.Scores)
		r.exported = &copied
		routes = append(routes, copied)
	}
	return routes
}
