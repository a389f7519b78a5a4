package benchrollout

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// outcome is the result of one rollout.
type outcome struct {
	kind     Kind
	workload string
	policy   string
	seed     uint64
	// movedAfter is the time until all traffic had moved, or zero.
	movedAfter time.Duration
	// stoppedAfter is the time until the new version was stopped, or zero.
	stoppedAfter time.Duration
	// firstAffectedAt is the time of the first request that the fault affected.
	firstAffectedAt time.Duration
	// requests counts the requests from the edit to the end. exposed counts those that
	// the fault affected before the stop, late those sent to the new version more than
	// stopLimit after it.
	requests, exposed, late int
	// last counts the requests in the lastTrafficWindow before the deadline, lastNew
	// those of them that were sent to the new version.
	last, lastNew int
	// largestShare is the largest share of requests in a window of ten seconds that the
	// fault affected before the stop.
	largestShare float64
	within       time.Duration
}

// stopLimit is the time in which a stop must take effect at all nodes.
const stopLimit = 2 * time.Second

// simulation is one rollout under one policy.
type simulation struct {
	w      *workload
	random *rand.Rand
	policy policy
	faults faults
	start  time.Time
	result outcome
	// pending is a ring of time slots with the requests that end in each.
	pending [][]finished
	// loads holds an exponentially weighted mean of each endpoint's requests per second.
	loads map[qf.Version][]float64
	// window counts the requests in the current window of ten seconds, windowBad those
	// that the fault affected.
	window, windowBad int
}

// finished is a request that ends in a time slot, and the node that sent it.
type finished struct {
	node int
	o    qf.Observation
}

const (
	tick       = 500 * time.Millisecond
	windowTime = 10 * time.Second
	// rateMemory is the time constant of the loads, in seconds.
	rateMemory      = 10.0
	burstEveryTicks = 300
	crashEveryTicks = 2400
	// longestRequest bounds a simulated request.
	longestRequest = 30 * time.Second
	timeAfterWatch = 12 * time.Minute
)

// simulate runs one rollout until some time after its watch has ended.
func simulate(w *workload, kind Kind, name string, seed uint64) outcome {
	traffic := rand.New(rand.NewPCG(seed, 21))
	draws := rand.New(rand.NewPCG(seed, 22))
	start := time.Unix(0, 0)
	s := &simulation{
		w: w, random: traffic, faults: drawFaults(kind, w, traffic), start: start,
		pending: make([][]finished, int(longestRequest/tick)+2), loads: map[qf.Version][]float64{
			oldVersion: make([]float64, w.replicas), newVersion: make([]float64, w.replicas),
		},
		result: outcome{kind: kind, workload: w.name, policy: name, seed: seed, within: w.within},
	}
	switch name {
	case policyStaged:
		s.policy = newStaged(start, w, draws)
	case policyFixed:
		s.policy = newStepped(start, w.within, []float64{0.01, 0.1, 0.25, 0.5, 1}, draws)
	default:
		s.policy = newStepped(start, w.within, []float64{1}, draws)
	}
	phase := traffic.Float64() * 2 * math.Pi
	burstUntil := time.Duration(0)
	for at := -w.before; at < w.within+watchFor+timeAfterWatch; at += tick {
		if traffic.IntN(burstEveryTicks) == 0 {
			burstUntil = at + 20*time.Second
		}
		s.step(at, w.rateAt(at, phase, at < burstUntil))
	}
	return s.result
}

// step simulates one tick: requests that end, new requests, and the policy's turn.
func (s *simulation) step(at time.Duration, rate float64) {
	now := s.start.Add(at)
	slot := int((at+s.w.before)/tick) % len(s.pending)
	for _, f := range s.pending[slot] {
		f.o.At = now
		s.policy.observe(f.node, f.o)
	}
	s.pending[slot] = s.pending[slot][:0]
	for range s.drawPoisson(rate * tick.Seconds()) {
		s.sendRequest(at, now, slot)
	}
	for _, loads := range s.loads {
		for i := range loads {
			loads[i] *= 1 - tick.Seconds()/rateMemory
		}
	}
	if at%time.Second == 0 {
		s.policy.evaluate(now)
	} else {
		s.policy.exchange(now)
	}
	s.crashEndpoint(slot)
	s.recordProgress(at)
}

// crashEndpoint makes up to 8 requests in progress of one version fail at random times,
// as the crash of an endpoint would.
func (s *simulation) crashEndpoint(slot int) {
	if s.random.IntN(crashEveryTicks) != 0 {
		return
	}
	version := []qf.Version{oldVersion, newVersion}[s.random.IntN(2)]
	left := 1 + s.random.IntN(8)
	next := (slot + 1) % len(s.pending)
	for i := range s.pending {
		for k := range s.pending[i] {
			if f := &s.pending[i][k]; f.o.Version == version && left > 0 {
				f.o.Failed, f.o.Complete = true, false
				s.pending[next] = append(s.pending[next], *f)
				f.o.Version = "" // The original must not end a second time.
				left--
			}
		}
	}
}

func (s *simulation) drawPoisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

// loadEndpoint adds a request to the less loaded of two random endpoints and returns
// that endpoint's utilisation.
func (s *simulation) loadEndpoint(version qf.Version) float64 {
	loads := s.loads[version]
	if version == newVersion {
		loads = loads[:max(1, int(math.Ceil(s.policy.share()*float64(len(loads)))))]
	}
	i, k := s.random.IntN(len(loads)), s.random.IntN(len(loads))
	if loads[k] < loads[i] {
		i = k
	}
	loads[i] += 1 / rateMemory
	capacity := s.w.rate / float64(s.w.replicas) / s.w.utilisation
	return loads[i] / capacity
}

func (s *simulation) sendRequest(at time.Duration, now time.Time, slot int) {
	route := s.drawRoute()
	node := s.random.IntN(s.w.nodes)
	version := s.policy.choose(now, node, route)
	utilisation := s.loadEndpoint(version)
	isAffected := version == newVersion && s.faults.affects(s.w, at, route, utilisation)
	o := s.w.observe(s.random, &s.faults, isAffected, utilisation)
	o.Entry, o.Version, o.StartedAt = entryName, version, now
	o.EndpointRegion = route.Region
	o.Organisation, o.Region, o.Class, o.OnceOnly = route.Organisation, route.Region, route.Class, route.OnceOnly
	took := min(longestRequest, o.FirstToken+time.Duration(o.Tokens)*o.BetweenToken)
	due := (slot + 1 + int(took/tick)) % len(s.pending)
	s.pending[due] = append(s.pending[due], finished{node: node, o: o})
	s.count(at, version, isAffected)
}

func (s *simulation) drawRoute() qf.Route {
	draw, organisation := s.random.Float64(), 0
	for draw > s.w.organisationShares[organisation] && organisation < len(s.w.organisationShares)-1 {
		draw -= s.w.organisationShares[organisation]
		organisation++
	}
	return s.w.route(organisation, s.random.IntN(len(s.w.regions)), s.random.Float64() < s.w.onceOnly)
}

func (s *simulation) count(at time.Duration, version qf.Version, isAffected bool) {
	r := &s.result
	if at >= 0 {
		r.requests++
	}
	if at >= s.w.within-lastTrafficWindow && at < s.w.within {
		r.last++
		if version == newVersion {
			r.lastNew++
		}
	}
	s.window++
	stopped := s.policy.stoppedAt()
	switch {
	case version != newVersion:
	case !stopped.IsZero() && s.start.Add(at).Sub(stopped) > stopLimit:
		r.late++
	case isAffected:
		r.exposed++
		s.windowBad++
		if r.firstAffectedAt == 0 {
			r.firstAffectedAt = max(at, tick)
		}
	}
}

// recordProgress records the share of the window that has ended, and whether the policy
// has moved all traffic or stopped the version.
func (s *simulation) recordProgress(at time.Duration) {
	r := &s.result
	if at%windowTime == 0 && s.window > 0 {
		share := float64(s.windowBad) / float64(s.window)
		if s.window >= minWindowRequests {
			r.largestShare = max(r.largestShare, share)
		}
		s.window, s.windowBad = 0, 0
	}
	if stopped := s.policy.stoppedAt(); !stopped.IsZero() && r.stoppedAfter == 0 {
		r.stoppedAfter = max(stopped.Sub(s.start), tick)
	}
	if r.movedAfter == 0 && s.policy.isMoved() {
		r.movedAfter = max(at, tick)
	}
}

// isInTime reports whether traffic had moved by the deadline.
func (o *outcome) isInTime() bool {
	return o.movedAfter > 0 && o.movedAfter <= o.within && float64(o.lastNew) >= minMovedShare*float64(o.last)
}

const (
	// In the lastTrafficWindow before the deadline, at least minMovedShare of the traffic
	// must go to the new version.
	lastTrafficWindow = time.Minute
	minMovedShare     = 0.95
)

// minWindowRequests is the number of requests below which a window's share is ignored.
const minWindowRequests = 10
