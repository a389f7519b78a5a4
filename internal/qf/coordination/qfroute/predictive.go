package qfroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// Predictive picks the endpoint with the least predicted time to first token and
// cost. It isn't safe for concurrent use.
type Predictive struct {
	config Config
	random *rand.Rand
	// listed is the last list passed to SetEndpoints.
	listed    []qf.Endpoint
	endpoints map[qf.EndpointID]*endpoint
	// byNumber maps the numbers of the prefix index to endpoints.
	byNumber map[uint32]*endpoint
	// lastNumber is the highest number assigned so far.
	lastNumber uint32
	pools      map[poolKey]*pool
	// departing is the latest departing incarnation of each VM.
	departing map[qf.VMID]qf.Incarnation
	index     *qfprefix.Index
	prices    map[priceKey]float64
	// hasUneven is set once any pool is uneven.
	hasUneven bool
	changes   []qf.HealthChange
	peers     peerTracker
	sequence  uint64
	// now is the latest time passed to a method.
	now     time.Time
	sweptAt time.Time

	// candidates and scores are scratch space for one choice, so that it doesn't allocate.
	candidates [maxCandidates]*endpoint
	scores     [maxCandidates]float64
	// decision numbers the decisions, to invalidate the cachedTokens of earlier ones.
	decision uint64
	// zone and region are the node's location, taken from the last query. hasLocation is
	// unset while the links of the endpoints have to be computed.
	hasLocation bool
	zone        qf.AvailabilityZone
	region      qf.Region
}

type priceKey struct {
	zone  qf.AvailabilityZone
	class qf.VMClass
}

// NewPredictive returns a router without endpoints.
func NewPredictive(config Config, random *rand.Rand, now time.Time) *Predictive {
	return &Predictive{
		config: config, random: random, now: now,
		endpoints: map[qf.EndpointID]*endpoint{}, byNumber: map[uint32]*endpoint{},
		pools: map[poolKey]*pool{}, departing: map[qf.VMID]qf.Incarnation{},
		index:  qfprefix.NewIndex(now, config.CachePrefixes, config.CacheMaxAge),
		prices: map[priceKey]float64{},
	}
}

// SetEndpoints implements qf.Router. It keeps the state of an endpoint whose incarnation
// hasn't changed.
func (p *Predictive) SetEndpoints(endpoints []qf.Endpoint) {
	if slices.Equal(p.listed, endpoints) {
		return
	}
	p.listed = endpoints
	p.hasLocation = false
	known := p.endpoints
	p.endpoints = make(map[qf.EndpointID]*endpoint, len(endpoints))
	clear(p.byNumber)
	for _, pool := range p.pools {
		pool.clear()
	}
	for i := range endpoints {
		p.addEndpoint(&endpoints[i], known[endpoints[i].ID])
	}
}

// addEndpoint adds an endpoint to the candidates, with its previous state if e is one of
// the same incarnation.
func (p *Predictive) addEndpoint(listed *qf.Endpoint, e *endpoint) {
	if e == nil || e.Incarnation != listed.Incarnation {
		p.lastNumber++
		e = &endpoint{number: p.lastNumber, slowdown: 1, timing: timing{factor: 1}, health: health{state: qf.HealthGood}}
	}
	e.Endpoint = *listed
	e.departing = p.isDeparting(listed)
	e.price = p.priceOf(listed)
	p.endpoints[e.ID] = e
	p.byNumber[e.number] = e
	e.pool = p.pool(poolKey{entry: e.Entry, version: e.Version})
	e.pool.add(e)
	if e.Version != "" {
		p.pool(poolKey{entry: e.Entry}).add(e)
	}
}

// pool returns the pool with a key, and creates it if needed.
func (p *Predictive) pool(key poolKey) *pool {
	found := p.pools[key]
	if found == nil {
		found = newPool(key)
		p.pools[key] = found
	}
	return found
}

func (p *Predictive) isDeparting(e *qf.Endpoint) bool {
	incarnation, ok := p.departing[e.VM]
	return ok && incarnation >= e.Incarnation
}

// MarkDeparting implements qf.Router.
func (p *Predictive) MarkDeparting(vm qf.VMID, incarnation qf.Incarnation) {
	p.departing[vm] = max(p.departing[vm], incarnation)
	for _, e := range p.endpoints {
		if e.VM == vm {
			e.departing = p.isDeparting(&e.Endpoint)
		}
	}
}

// SetPrices implements qf.Router.
func (p *Predictive) SetPrices(prices []qf.Price) {
	clear(p.prices)
	for _, price := range prices {
		if price.Role != qf.RoleEntryNode {
			p.prices[priceKey{zone: price.AvailabilityZone, class: price.Class}] = float64(price.PerHour)
		}
	}
	for _, e := range p.endpoints {
		e.price = p.priceOf(&e.Endpoint)
	}
}

// priceOf returns the price of a second of the endpoint's VM.
func (p *Predictive) priceOf(e *qf.Endpoint) float64 {
	hour, ok := p.prices[priceKey{zone: e.AvailabilityZone, class: e.Class}]
	if !ok {
		hour = defaultPrice
	}
	return hour / time.Hour.Seconds()
}

// RecordStart implements qf.Router.
func (p *Predictive) RecordStart(at time.Time, id qf.EndpointID, tokens int) {
	p.tick(at)
	e := p.endpoints[id]
	if e == nil {
		return
	}
	t := e.times(float64(tokens))
	isTrial := e.health.state == qf.HealthHalfOpen
	if isTrial {
		e.health.runningTrials++
	}
	e.pool.meanTokens += (float64(tokens) - e.pool.meanTokens) / prefillSamples
	e.addAttempt(at, attempt{
		startedAt: at, tokens: tokens, work: t.work, fixed: t.fixed, predicted: t.firstToken(), isTrial: isTrial,
		noise: e.timing.noise.stated(at), isCold: e.isCold,
	})
}

// RecordFirstToken implements qf.Router.
func (p *Predictive) RecordFirstToken(at time.Time, id qf.EndpointID, took time.Duration) {
	p.tick(at)
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.answeredAt = at
	if a := e.markFirstToken(at, at.Add(-took)); a != nil {
		switch {
		case !e.pool.isUneven:
			e.updateSpeed(a, took)
		case !a.isCold: // What a cold endpoint takes says nothing of its lasting speed.
			e.recordTiming(at, a, took)
		}
		p.checkSlowdown(e, a)
	}
}

// RecordEnd implements qf.Router.
func (p *Predictive) RecordEnd(at time.Time, id qf.EndpointID, tokens int, ok bool) {
	p.tick(at)
	e := p.endpoints[id]
	if e == nil {
		return
	}
	a, found := e.removeAttempt(at, tokens, ok)
	if !found {
		return
	}
	if ok {
		e.answeredAt = at
		e.updateDecodeTime(&a, at)
	}
	p.recordOutcome(e, &a, ok)
}

// RecordLoadReport implements qf.Router.
func (p *Predictive) RecordLoadReport(at time.Time, report qf.LoadReport) {
	p.tick(at)
	if e := p.endpoints[report.Endpoint]; e != nil {
		if report.Slowdown > 0 {
			p.markUneven(at, e.pool)
		}
		e.applyReport(at, &report)
	}
}

// sweepInterval is the interval of tick's periodic work.
const sweepInterval = time.Second

// tick advances the router's time. Once per sweepInterval it drops expired peer loads,
// updates the load estimates and starts due trials.
func (p *Predictive) tick(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for _, e := range p.endpoints {
		if len(e.peerLoads) > 0 {
			e.sumPeerLoads(now)
		}
		e.refresh(now)
		p.startDueTrial(e)
	}
	for _, pool := range p.pools {
		pool.centreSpeeds()
	}
}
