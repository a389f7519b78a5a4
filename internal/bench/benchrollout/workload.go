// Package benchrollout simulates many seeded rollouts on virtual time and compares the
// product's rollout with two simple policies. It runs the product's controller and
// choosers; only traffic, endpoints and messages are simulated.
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
	// organisationShares holds each organisation's share of the traffic.
	organisationShares []float64
	regions            []qf.Region
	// onceOnly is the share of once-only calls, for plain services.
	onceOnly float64
	isEngine bool
	// utilisation is that of an endpoint at the mean rate.
	utilisation float64
	// before is how long traffic runs before the edit.
	before time.Duration
	// within is the time from the edit to the deadline.
	within time.Duration
}

const watchFor = 5 * time.Minute

var (
	lahoreRegions      = []qf.Region{"lahore-north-", "lahore-south-", "lahore-west-"}
	lankaRegions       = []qf.Region{"lanka-east-", "lanka-north-", "lanka-south-"}
	organisationShares = []float64{0.45, 0.3, 0.15, 0.07, 0.03}
)

// workloads returns both deployments' entries.
func workloads() []workload {
	return []workload{
		{"Lahore assistant", 6, 9, 6, organisationShares, lahoreRegions, 0, true, 0.55, 20 * time.Minute, 30 * time.Minute},
		{"Lanka assistant", 7, 12, 9, organisationShares, lankaRegions, 0, true, 0.55, 20 * time.Minute, 30 * time.Minute},
		{"Lahore register", 6, 3, 1, organisationShares, lahoreRegions, 0.4, false, 0.2, 4 * time.Hour, 45 * time.Minute},
		{"Lanka registry", 7, 3, 0.6, organisationShares, lankaRegions, 0.3, false, 0.2, 4 * time.Hour, 60 * time.Minute},
	}
}

const (
	oldVersion qf.Version = "v1"
	newVersion qf.Version = "v2"
)

// faults describe how the new version misbehaves in one rollout.
type faults struct {
	kind Kind
	// since is the time from the start of the rollout to the onset of the fault.
	since time.Duration
	// failureRate is the additional probability of a failure, slowdown the factor on
	// response times, for the requests that are affected.
	failureRate, slowdown float64
	// route is the only route that is affected, for OneRouteOnly.
	route qf.Route
}

// loadThreshold is the utilisation above which OnlyUnderLoad affects an endpoint's
// requests, as a fraction of the utilisation at the mean rate.
const loadThreshold = 0.8

// drawFaults draws the faults of a kind at random.
func drawFaults(kind Kind, w *workload, random *rand.Rand) faults {
	f := faults{kind: kind, slowdown: 1}
	switch kind {
	case Good:
	case FailsAtOnce:
		f.failureRate = 0.1 + 0.3*random.Float64()
	case SlowAtOnce:
		f.slowdown = 1.8 + random.Float64()
	case DegradesLater:
		f.since = time.Duration((0.2 + 0.7*random.Float64()) * float64(w.within))
		f.failureRate = 0.1 + 0.2*random.Float64()
	case OnlyUnderLoad:
		f.failureRate, f.slowdown = 0.1+0.1*random.Float64(), 1.8
	case OneRouteOnly:
		f.failureRate = 0.3 + 0.3*random.Float64()
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

// affects reports whether the faults affect a request to the new version.
func (f *faults) affects(w *workload, at time.Duration, route qf.Route, utilisation float64) bool {
	switch f.kind {
	case Good:
		return false
	case OnlyUnderLoad:
		return utilisation > loadThreshold*w.utilisation
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
	// slotsPerEndpoint converts an endpoint's utilisation into its requests in progress.
	slotsPerEndpoint = 12
)

// observe simulates one attempt at an endpoint of the given utilisation.
func (w *workload) observe(random *rand.Rand, faults *faults, isAffected bool, utilisation float64) qf.Observation {
	slow := 1 / (1 - min(utilisation, 0.9)) * (1 - w.utilisation)
	failureRate := usualFailures
	if isAffected {
		slow *= faults.slowdown
		failureRate += faults.failureRate
	}
	spread := func(sigma float64) float64 { return math.Exp(sigma * random.NormFloat64()) }
	o := qf.Observation{Complete: true, Load: int(utilisation*slotsPerEndpoint + 0.5)}
	if !w.isEngine {
		o.FirstToken = time.Duration(float64(usualCall) * slow * spread(spreadOfTimes))
	} else {
		o.Tokens = 1 + int(usualTokens*spread(spreadOfTokens))
		o.FirstToken = time.Duration(float64(usualFirstToken) * slow * spread(spreadOfTimes))
		o.BetweenToken = time.Duration(float64(usualBetween) * math.Sqrt(slow) * spread(spreadOfTimes/3))
		if isAffected && faults.slowdown > 1 {
			o.BetweenToken = time.Duration(float64(o.BetweenToken) * faults.slowdown)
		}
	}
	if random.Float64() < failureRate {
		o.Failed, o.Complete = true, false
		o.Tokens = int(float64(o.Tokens) * random.Float64())
	}
	return o
}

// rateAt returns the request rate at a time: a slow sine wave, with bursts.
func (w *workload) rateAt(at time.Duration, phase float64, isBurst bool) float64 {
	rate := w.rate * (1 + 0.4*math.Sin(phase+2*math.Pi*at.Minutes()/45))
	if isBurst {
		rate *= 1.5
	}
	return rate
}
