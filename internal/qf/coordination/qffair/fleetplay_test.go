package qffair

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

const (
	fleetNodes, fleetZones = 62, 3
	fleetEndpoints         = 90
	plainEndpoints         = 6
	// sampledEndpoints is the number of endpoints of which a request takes the best, because reports of the others are late.
	sampledEndpoints = 10
	// tallyInterval is the time between two tallies of a node, and hopDelay the longest that one is under way.
	tallyInterval = 500 * time.Millisecond
	minHopDelay   = 100 * time.Millisecond
	maxHopDelay   = 500 * time.Millisecond
	step          = 5 * time.Millisecond
	// shockAt is when a row's load begins, and settled when every node has had two tallies on it, each up to 2 s old.
	shockAt = 6 * time.Second
	settled = shockAt + 4*time.Second
	playFor = 30 * time.Second
	// spareCapacity is the capacity in terms of the usual load.
	spareCapacity = 1.25
	answerTokens  = 100
)

// requestKind is a kind of request.
type requestKind struct {
	name  string
	entry qf.EntryName
	// units is what a request takes, perSecond the fleet's usual rate.
	units, perSecond float64
	// patience is the longest queue in which a request can wait.
	patience time.Duration
	// hasQueue means that nodes predict the queue.
	hasQueue bool
}

var kinds = []requestKind{
	{"long", "chat", 9190 + answerTokens, 181, 800 * time.Millisecond, true},
	{"medium", "chat", 2368 + answerTokens, 115, 500 * time.Millisecond, true},
	{"short", "chat", 715 + answerTokens, 93.5, 800 * time.Millisecond, true},
	{"plain", "books", 1, 200, 200 * time.Millisecond, false},
}

// parts are the organisations' parts of each kind of request: three large ones, and a small one with two requests a
// second.
var parts = []struct {
	organisation qf.Organisation
	part         float64
}{
	{"large-1", 0.12},
	{"large-2", 0.12},
	{"large-3", 0.12},
	{"middle-1", 0.1},
	{"middle-2", 0.1},
	{"middle-3", 0.1},
	{"middle-4", 0.09},
	{"middle-5", 0.08},
	{"middle-6", 0.07},
	{"middle-7", 0.0549},
	{"minor-1", 0.04},
	{"small", 0.0051},
}

// fleetLoad is one row of the table.
type fleetLoad struct {
	name string
	// ranks are those of the kinds, in their order.
	ranks [4]int
	// usual is the factor on the usual load.
	usual float64
	// organisations and kinds hold the factors from shockAt on; what is missing stays as it is.
	organisations map[qf.Organisation]float64
	kinds         map[string]float64
	// lost is the part of the endpoints that is gone from shockAt on.
	lost float64
	// isCut cuts a third of the nodes from the others for 12 s from shockAt on, isRestarting replaces a node every
	// 500 ms.
	isCut, isRestarting bool
	// retries is how often a refused caller comes back at once.
	retries int
	// weights are rates of quotas; nil means that all are equal.
	weights map[qf.Organisation]float64
}

// message is a tally under way.
type message struct {
	at       time.Duration
	sequence int
	to       int
	source   qf.TallySource
	demands  []qf.RankDemand
}

type messageHeap []message

func (m messageHeap) Len() int { return len(m) }
func (m messageHeap) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].sequence < m[j].sequence
}
func (m messageHeap) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *messageHeap) Push(x any)   { *m = append(*m, x.(message)) }
func (m *messageHeap) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// comeback is a refused request that asks again.
type comeback struct {
	at           time.Duration
	kind         int
	organisation int
	retries      int
}

// served counts the work of one organisation at one kind.
type served struct {
	// asked counts each caller's request once, however often it came back.
	asked, served, requests, servedRequests float64
}

// playedFleet plays the load on nodes that share endpoints.
type playedFleet struct {
	load *fleetLoad
	// hasShares is false in a play without the part.
	hasShares  bool
	now        time.Duration
	random     *rand.Rand
	fairRandom *rand.Rand
	// delays draws the times of tallies, so that plays with and without shares get the same requests.
	delays       *rand.Rand
	shares       []*Shares
	incarnations []qf.Incarnation
	busyUntil    map[qf.EntryName][]time.Duration
	speed        map[qf.EntryName]float64
	messages     messageHeap
	sequence     int
	comebacks    []comeback
	counts       map[qf.Organisation][]served
	// choices is a hash of what was chosen for each request.
	choices uint64
	// goodput is the work that endpoints did from shockAt on, by entry.
	goodput map[qf.EntryName]float64
}

var playStart = time.Unix(1_800_000_000, 0)

func newPlayedFleet(load *fleetLoad, hasShares bool, seed uint64) *playedFleet {
	f := &playedFleet{
		load: load, hasShares: hasShares, random: rand.New(rand.NewPCG(seed, 1)), fairRandom: rand.New(rand.NewPCG(seed, 2)),
		delays: rand.New(rand.NewPCG(seed, 3)),
		shares: make([]*Shares, fleetNodes), incarnations: make([]qf.Incarnation, fleetNodes),
		busyUntil: map[qf.EntryName][]time.Duration{"chat": make([]time.Duration, fleetEndpoints), "books": make([]time.Duration, plainEndpoints)},
		speed:     map[qf.EntryName]float64{}, counts: map[qf.Organisation][]served{}, goodput: map[qf.EntryName]float64{},
	}
	for _, kind := range kinds {
		f.speed[kind.entry] += kind.units * kind.perSecond * spareCapacity / float64(len(f.busyUntil[kind.entry]))
	}
	for i := range f.shares {
		f.startNode(i)
	}
	for _, p := range parts {
		f.counts[p.organisation] = make([]served, len(kinds))
	}
	return f
}

func (f *playedFleet) startNode(i int) {
	f.shares[i] = NewShares()
	f.incarnations[i]++
	if f.load.weights == nil {
		return
	}
	var organisations []qf.OrganisationSettings
	for _, p := range parts {
		organisations = append(organisations, qf.OrganisationSettings{Organisation: p.organisation, UnitsPerSecond: f.load.weights[p.organisation]})
	}
	f.shares[i].SetOrganisations(organisations)
}

func (f *playedFleet) play() {
	for ; f.now < playFor; f.now += step {
		f.countWork()
		f.exchange()
		if f.load.isRestarting && f.now > shockAt && f.now%(500*time.Millisecond) == 0 {
			f.startNode(int(f.now/(500*time.Millisecond)) % fleetNodes)
		}
		due := f.comebacks
		f.comebacks = nil
		for _, c := range due {
			if c.at > f.now {
				f.comebacks = append(f.comebacks, c)
				continue
			}
			f.ask(c.kind, c.organisation, c.retries)
		}
		for k := range kinds {
			for o := range parts {
				f.arrive(k, o)
			}
		}
	}
}

// countWork counts the endpoints that work in this step.
func (f *playedFleet) countWork() {
	if f.now < shockAt {
		return
	}
	for entry, busy := range f.busyUntil {
		for i := range f.countEndpoints(entry) {
			f.goodput[entry] += min(max(busy[i]-f.now, 0), step).Seconds() * f.speed[entry]
		}
	}
}

// countEndpoints returns how many endpoints an entry has left.
func (f *playedFleet) countEndpoints(entry qf.EntryName) int {
	count := len(f.busyUntil[entry])
	if f.now >= shockAt {
		count -= int(math.Round(float64(count) * f.load.lost))
	}
	return count
}

// arrive draws the requests of one step.
func (f *playedFleet) arrive(kind, organisation int) {
	rate := kinds[kind].perSecond * parts[organisation].part * f.load.usual
	if f.now >= shockAt {
		if factor, ok := f.load.organisations[parts[organisation].organisation]; ok {
			rate *= factor
		}
		if factor, ok := f.load.kinds[kinds[kind].name]; ok {
			rate *= factor
		}
	}
	for left := f.random.ExpFloat64(); left < rate*step.Seconds(); left += f.random.ExpFloat64() {
		if f.now >= settled {
			c := &f.counts[parts[organisation].organisation][kind]
			c.asked += kinds[kind].units
			c.requests++
		}
		f.ask(kind, organisation, f.load.retries)
	}
}

// ask sends a request to a node.
func (f *playedFleet) ask(kind, organisation, retries int) {
	k := &kinds[kind]
	node := f.shares[f.random.IntN(fleetNodes)]
	key := Key{Entry: k.entry, Rank: f.load.ranks[kind], Organisation: parts[organisation].organisation}
	at := playStart.Add(f.now)
	result := f.try(node, at, k, key)
	if f.hasShares {
		node.RecordRequest(at, key, k.units, result)
	}
	if result == ResultAdmitted {
		if f.now >= settled {
			c := &f.counts[key.Organisation][kind]
			c.served += k.units
			c.servedRequests++
		}
		return
	}
	if retries > 0 {
		f.comebacks = append(f.comebacks, comeback{at: f.now + 2*step, kind: kind, organisation: organisation, retries: retries - 1})
	}
}

// try looks for room for a request: at the best of some endpoints, if its queue is short enough.
func (f *playedFleet) try(node *Shares, at time.Time, k *requestKind, key Key) Result {
	busy := f.busyUntil[k.entry]
	count := f.countEndpoints(k.entry)
	best := f.random.IntN(count)
	for range sampledEndpoints - 1 {
		if other := f.random.IntN(count); busy[other] < busy[best] {
			best = other
		}
	}
	begins := max(busy[best], f.now)
	patience, queue := k.patience, UnknownQueue
	if f.hasShares {
		node.RecordObjective(at, key, patience)
		patience = node.LimitObjective(at, key, patience)
		if k.hasQueue {
			queue = (begins - f.now).Seconds() / patience.Seconds()
		}
		if decision := node.DecideRequest(at, key, queue, f.fairRandom); !decision.IsAdmitted {
			return ResultWithheld
		}
	}
	if begins-f.now > patience {
		return ResultFull
	}
	busy[best] = begins + time.Duration(k.units/f.speed[k.entry]*float64(time.Second))
	f.choices = f.choices*31 + uint64(best)
	return ResultAdmitted
}

// zoneOf returns a node's zone. The first node of each is its relay.
func zoneOf(node int) int { return node % fleetZones }

func nodeName(node int) qf.NodeID { return qf.NodeID(fmt.Sprintf("node-%d", node)) }

func (f *playedFleet) isCutOff(node int) bool {
	return f.load.isCut && node >= fleetZones && node%3 == 1 && f.now >= shockAt && f.now < shockAt+12*time.Second
}

// exchange sends the tallies that are due, and delivers those that arrive.
func (f *playedFleet) exchange() {
	if !f.hasShares {
		return
	}
	for node := range fleetNodes {
		phase := time.Duration(node) * tallyInterval / fleetNodes / step * step
		if (f.now-phase)%tallyInterval != 0 {
			continue
		}
		if node >= fleetZones {
			f.send(node, zoneOf(node), qf.TallyOwn)
			continue
		}
		for to := range fleetNodes {
			switch {
			case to == node:
			case to < fleetZones:
				f.send(node, to, qf.TallyZone)
			case zoneOf(to) == node:
				f.send(node, to, qf.TallyRest)
			}
		}
	}
	for len(f.messages) > 0 && f.messages[0].at <= f.now {
		m := heap.Pop(&f.messages).(message)
		if !f.isCutOff(m.to) {
			f.shares[m.to].MergeTally(playStart.Add(f.now), &m.source, m.demands)
		}
	}
}

func (f *playedFleet) send(from, to int, scope qf.TallyScope) {
	if f.isCutOff(from) {
		return
	}
	f.sequence++
	heap.Push(&f.messages, message{
		at: f.now + minHopDelay + time.Duration(f.delays.Int64N(int64(maxHopDelay-minHopDelay))), sequence: f.sequence, to: to,
		source:  qf.TallySource{Node: nodeName(from), Incarnation: f.incarnations[from], Scope: scope},
		demands: f.shares[from].ReportDemands(playStart.Add(f.now), scope, nodeName(to)),
	})
}

// exactDivision divides work by max-min fairness, by halving the interval of the level.
func exactDivision(work float64, asked map[qf.Organisation]float64, weight func(qf.Organisation) float64) map[qf.Organisation]float64 {
	low, high := 0.0, 1e12
	for range 200 {
		level, sum := (low+high)/2, 0.0
		for organisation, units := range asked {
			sum += min(units, level*weight(organisation))
		}
		if sum < work {
			low = level
		} else {
			high = level
		}
	}
	division := map[qf.Organisation]float64{}
	for organisation, units := range asked {
		division[organisation] = min(units, low*weight(organisation))
	}
	return division
}
