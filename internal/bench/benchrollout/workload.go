// Package benchrollout runs many seeded rollouts on simulated time and compares
// the rollout's decisions with two simple policies. It uses the decisions
// themselves; only traffic, endpoints and messages are simulated.
package benchrollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// Kind says how the new version behaves.
type Kind string

// The kinds of versions.
const (
	Good          Kind = "Good"
	FailsAtOnce   Kind = "FailsAtOnce"
	SlowAtOnce    Kind = "SlowAtOnce"
	DegradesLater Kind = "DegradesLater"
	OnlyUnderLoad Kind = "OnlyUnderLoad"
	OneRouteOnly  Kind = "OneRouteOnly"
)

// Kinds lists the kinds of versions.
func Kinds() []Kind {
	return []Kind{Good, FailsAtOnce, SlowAtOnce, DegradesLater, OnlyUnderLoad, OneRouteOnly}
}

// workload is one entry's traffic.
type workload struct {
	name     string
	nodes    int
	replicas int
	// rate is the mean number of requests a second.
	rate float64
	// organisations holds each one's part of the traffic.
	organisations []float64
	regions       []qf.Region
	// onceOnly is the part of calls that may not be repeated, for plain services.
	onceOnly float64
	isEngine bool
	// use is the use of an endpoint at the mean rate.
	use float64
	// before is the time of ordinary traffic before the edit.
	before time.Duration
	// within is the time from the edit to the deadline.
	within time.Duration
}

const watchFor = 5 * time.Minute

var (
	lahoreRegions = []qf.Region{"lahore-north-", "lahore-south-", "lahore-west-"}
	lankaRegions  = []qf.Region{"lanka-east-", "lanka-north-", "lanka-south-"}
	parts         = []float64{0.45, 0.3, 0.15, 0.07, 0.03}
)

// workloads returns both deployments' entries.
func workloads() []workload {
	return []workload{
		{"Lahore assistant", 6, 9, 6, parts, lahoreRegions, 0, true, 0.55, 20 * time.Minute, 30 * time.Minute},
		{"Lanka assistant", 7, 12, 9, parts, lankaRegions, 0, true, 0.55, 20 * time.Minute, 30 * time.Minute},
		{"Lahore register", 6, 3, 1, parts, lahoreRegions, 0.4, false, 0.2, 4 * time.Hour, 45 * time.Minute},
		{"Lanka registry", 7, 3, 0.6, parts, lankaRegions, 0.3, false, 0.2, 4 * time.Hour, 60 * time.Minute},
	}
}

const (
	oldVersion qf.Version = "v1"
	newVersion qf.Version = "v2"
)

// faults are the new version's ways of being bad, drawn for one rollout.
type faults struct {
	kind Kind
	// since is when it turns bad, counted from the start of the rollout.
	since time.Duration
	// failing and slowing are the probability of a failure and the factor on
	// times while it is bad.
	failing, slowing float64
	// route is the only one concerned, for OneRouteOnly.
	route qf.Route
}

// loadLimit is the use of an endpoint above which OnlyUnderLoad shows, as a part
// of the usual one.
const loadLimit = 0.8

func drawFaults(kind Kind, w *workload, random *rand.Rand) faults {
	f := faults{kind: kind, slowing: 1}
	switch kind {
	case Good:
	case FailsAtOnce:
		f.failing = 0.1 + 0.3*random.Float64()
	case SlowAtOnce:
		f.slowing = 1.8 + random.Float64()
	case DegradesLater:
		f.since = time.Duration((0.2 + 0.7*random.Float64()) * float64(w.within))
		f.failing = 0.1 + 0.2*random.Float64()
	case OnlyUnderLoad:
		f.failing, f.slowing = 0.1+0.1*random.Float64(), 1.8
	case OneRouteOnly:
		f.failing = 0.3 + 0.3*random.Float64()
		f.route = w.route(random.IntN(3), random.IntN(len(w.regions)), false)
	}
	return f
}

func (w *workload) route(organisation, region int, onceOnly bool) qf.Route {
	class := qf.ClassInteractive
	if !w.isEngine {
		class = qf.ClassCritical
	}
	return qf.Route{
		Organisation: qf.Organisation(fmt.Sprintf("organisation-%d", organisation+1)),
		Region:       w.regions[region], Class: class, OnceOnly: onceOnly,
	}
}

// isBad reports whether the new version is bad for a request now.
func (f *faults) isBad(w *workload, at time.Duration, route qf.Route, use float64) bool {
	switch f.kind {
	case Good:
		return false
	case OnlyUnderLoad:
		return use > loadLimit*w.use
	case OneRouteOnly:
		return route.Organisation == f.route.Organisation && route.Region == f.route.Region
	default:
		return at >= f.since
	}
}

// The old version's behaviour, which a good new version shares.
const (
	usualFailures   = 0.004
	usualFirstToken = 250 * time.Millisecond
	usualBetween    = 18 * time.Millisecond
	usualTokens     = 220.0
	usualCall       = 40 * time.Millisecond
	spreadOfTimes   = 0.35
	spreadOfTokens  = 0.5
	// slotsPerEndpoint turns an endpoint's use into its number of requests.
	slotsPerEndpoint = 12
)

// observe simulates one attempt. use is that of its endpoint.
func (w *workload) observe(random *rand.Rand, bad *faults, isBad bool, use float64) qf.Observation {
	slow := 1 / (1 - min(use, 0.9)) * (1 - w.use)
	failing := usualFailures
	if isBad {
		slow *= bad.slowing
		failing += bad.failing
	}
	spread := func(sigma float64) float64 { return math.Exp(sigma * random.NormFloat64()) }
	o := qf.Observation{Complete: true, Load: int(use*slotsPerEndpoint + 0.5)}
	if !w.isEngine {
		o.FirstToken = time.Duration(float64(usualCall) * slow * spread(spreadOfTimes))
	} else {
		o.Tokens = 1 + int(usualTokens*spread(spreadOfTokens))
		o.FirstToken = time.Duration(float64(usualFirstToken) * slow * spread(spreadOfTimes))
		o.BetweenToken = time.Duration(float64(usualBetween) * math.Sqrt(slow) * spread(spreadOfTimes/3))
		if isBad && bad.slowing > 1 {
			o.BetweenToken = time.Duration(float64(o.BetweenToken) * bad.slowing)
		}
	}
	if random.Float64() < failing {
		o.Failed, o.Complete = true, false
		o.Tokens = int(float64(o.Tokens) * random.Float64())
	}
	return o
}

// rateAt is the rate of requests at a time: a slow wave, and bursts.
func (w *workload) rateAt(at time.Duration, phase float64, isBurst bool) float64 {
	rate := w.rate * (1 + 0.4*math.Sin(phase+2*math.Pi*at.Minutes()/45))
	if isBurst {
		rate *= 1.5
	}
	return rate
}
