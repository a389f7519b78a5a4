package benchrollout

import (
	"math"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// outcome is what one rollout came to.
type outcome struct {
	kind     Kind
	workload string
	policy   string
	seed     uint64
	// movedIn is when traffic had moved, or zero.
	movedIn time.Duration
	// takenBackIn is when the version was stopped, or zero.
	takenBackIn time.Duration
	// badSince is when the first request met the badness.
	badSince time.Duration
	// requests counts those from the edit to the end, exposed those that the bad
	// version got while it was bad, before the stop; late those it got more than
	// stopLimit after.
	requests, exposed, late int
	// last counts the requests just before the deadline, lastNew those of them
	// that the new version got.
	last, lastNew int
	// largest is the largest share of traffic that the bad version got in ten
	// seconds before the stop.
	largest float64
	within  time.Duration
}

// stopLimit is the time in which a stop must be in force everywhere.
const stopLimit = 2 * time.Second

// simulation is one rollout under one policy.
type simulation struct {
	w       *workload
	random  *rand.Rand
	policy  policy
	bad     faults
	start   time.Time
	result  outcome
	pending [][]finished
	// loads holds each endpoint's requests a second, of late.
	loads map[qf.Version][]float64
	// window counts requests in the current ten seconds.
	window, windowBad int
}

type finished struct {
	node int
	o    qf.Observation
}

const (
	tick       = 500 * time.Millisecond
	windowTime = 10 * time.Second
	rateMemory = 10.0
	burstEvery = 300
	crashEvery = 2400
	// longestRequest bounds a simulated request.
	longestRequest = 30 * time.Second
	tail           = 12 * time.Minute
)

// simulate runs one rollout until its watch is over.
func simulate(w *workload, kind Kind, name string, seed uint64) outcome {
	traffic := rand.New(rand.NewPCG(seed, 21))
	draws := rand.New(rand.NewPCG(seed, 22))
	start := time.Unix(0, 0)
	s := &simulation{
		w: w, random: traffic, bad: drawFaults(kind, w, traffic), start: start,
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
	for at := -w.before; at < w.within+watchFor+tail; at += tick {
		if traffic.IntN(burstEvery) == 0 {
			burstUntil = at + 20*time.Second
		}
		s.step(at, w.rateAt(at, phase, at < burstUntil))
	}
	return s.result
}

func (s *simulation) step(at time.Duration, rate float64) {
	now := s.start.Add(at)
	slot := int((at+s.w.before)/tick) % len(s.pending)
	for _, f := range s.pending[slot] {
		f.o.At = now
		s.policy.observe(f.node, f.o)
	}
	s.pending[slot] = s.pending[slot][:0]
	for range s.poisson(rate * tick.Seconds()) {
		s.request(at, now, slot)
	}
	for _, loads := range s.loads {
		for i := range loads {
			loads[i] *= 1 - tick.Seconds()/rateMemory
		}
	}
	if at%time.Second == 0 {
		s.policy.second(now)
	} else {
		s.policy.half(now)
	}
	s.crash(slot)
	s.note(at)
}

// crash makes what one endpoint has in progress fail, now and then.
func (s *simulation) crash(slot int) {
	if s.random.IntN(crashEvery) != 0 {
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
				f.o.Version = "" // It is over.
				left--
			}
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

// use puts a request on the less loaded of two endpoints and returns the use of
// that one.
func (s *simulation) use(version qf.Version) float64 {
	loads := s.loads[version]
	if version == newVersion {
		loads = loads[:max(1, int(math.Ceil(s.policy.share()*float64(len(loads)))))]
	}
	i, k := s.random.IntN(len(loads)), s.random.IntN(len(loads))
	if loads[k] < loads[i] {
		i = k
	}
	loads[i] += 1 / rateMemory
	capacity := s.w.rate / float64(s.w.replicas) / s.w.use
	return loads[i] / capacity
}

func (s *simulation) request(at time.Duration, now time.Time, slot int) {
	route := s.drawRoute()
	node := s.random.IntN(s.w.nodes)
	version := s.policy.choose(now, node, route)
	use := s.use(version)
	isBad := version == newVersion && s.bad.isBad(s.w, at, route, use)
	o := s.w.observe(s.random, &s.bad, isBad, use)
	o.Entry, o.Version, o.StartedAt = entryName, version, now
	o.EndpointRegion = route.Region
	o.Organisation, o.Region, o.Class, o.OnceOnly = route.Organisation, route.Region, route.Class, route.OnceOnly
	took := min(longestRequest, o.FirstToken+time.Duration(o.Tokens)*o.BetweenToken)
	due := (slot + 1 + int(took/tick)) % len(s.pending)
	s.pending[due] = append(s.pending[due], finished{node: node, o: o})
	s.count(at, version, isBad)
}

func (s *simulation) drawRoute() qf.Route {
	draw, organisation := s.random.Float64(), 0
	for draw > s.w.organisations[organisation] && organisation < len(s.w.organisations)-1 {
		draw -= s.w.organisations[organisation]
		organisation++
	}
	return s.w.route(organisation, s.random.IntN(len(s.w.regions)), s.random.Float64() < s.w.onceOnly)
}

func (s *simulation) count(at time.Duration, version qf.Version, isBad bool) {
	r := &s.result
	if at >= 0 {
		r.requests++
	}
	if at >= s.w.within-lastTraffic && at < s.w.within {
		r.last++
		if version == newVersion {
			r.lastNew++
		}
	}
	s.window++
	stopped := s.policy.takenBackAt()
	switch {
	case version != newVersion:
	case !stopped.IsZero() && s.start.Add(at).Sub(stopped) > stopLimit:
		r.late++
	case isBad:
		r.exposed++
		s.windowBad++
		if r.badSince == 0 {
			r.badSince = max(at, tick)
		}
	}
}

// note keeps what the policy has come to.
func (s *simulation) note(at time.Duration) {
	r := &s.result
	if at%windowTime == 0 && s.window > 0 {
		share := float64(s.windowBad) / float64(s.window)
		if s.window >= leastWindow {
			r.largest = max(r.largest, share)
		}
		s.window, s.windowBad = 0, 0
	}
	if stopped := s.policy.takenBackAt(); !stopped.IsZero() && r.takenBackIn == 0 {
		r.takenBackIn = max(stopped.Sub(s.start), tick)
	}
	if r.movedIn == 0 && s.policy.isMoved() {
		r.movedIn = max(at, tick)
	}
}

// isInTime reports whether traffic had moved by the deadline.
func (o *outcome) isInTime() bool {
	return o.movedIn > 0 && o.movedIn <= o.within && float64(o.lastNew) >= movedPart*float64(o.last)
}

const (
	// lastTraffic is the time before the deadline in which traffic must go to the
	// new version, up to movedPart of it.
	lastTraffic = time.Minute
	movedPart   = 0.95
)

// leastWindow is the number of requests that make a window's share count.
const leastWindow = 10
