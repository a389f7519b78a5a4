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
	// listed is the last argument of SetEndpoints.
	listed    []qf.Endpoint
	endpoints map[qf.EndpointID]*endpoint
	numbers   map[uint32]*endpoint
	// lastNumber is the highest number that an endpoint was given.
	lastNumber uint32
	pools      map[poolKey]*pool
	// departing only grows.
	departing map[qf.VMID]qf.Incarnation
	index     *qfprefix.Index
	prices    map[priceKey]float64
	changes   []qf.HealthChange
	news      peerNews
	sequence  uint64
	// now is the latest time that was seen.
	now     time.Time
	sweptAt time.Time

	// candidates and scores are used within one choice.
	candidates [maxCandidates]*endpoint
	scores     [maxCandidates]float64
	// decision counts the decisions.
	decision uint64
	// zone and region are where the node stands, once a query has told.
	isPlaced bool
	zone     qf.AvailabilityZone
	region   qf.Region
}

type priceKey struct {
	zone  qf.AvailabilityZone
	class qf.VMClass
}

// NewPredictive returns a router without endpoints.
func NewPredictive(config Config, random *rand.Rand, now time.Time) *Predictive {
	return &Predictive{
		config: config, random: random, now: now,
		endpoints: map[qf.EndpointID]*endpoint{}, numbers: map[uint32]*endpoint{},
		pools: map[poolKey]*pool{}, departing: map[qf.VMID]qf.Incarnation{},
		index:  qfprefix.NewIndex(now, config.CachePrefixes, config.CacheMaxAge),
		prices: map[priceKey]float64{},
	}
}

// SetEndpoints implements qf.Router. What was learned of an endpoint stays as
// long as its VM's incarnation does.
func (p *Predictive) SetEndpoints(endpoints []qf.Endpoint) {
	if slices.Equal(p.listed, endpoints) {
		return
	}
	p.listed = endpoints
	p.isPlaced = false
	known := p.endpoints
	p.endpoints = make(map[qf.EndpointID]*endpoint, len(endpoints))
	clear(p.numbers)
	for _, pool := range p.pools {
		pool.clear()
	}
	for i := range endpoints {
		p.take(&endpoints[i], known[endpoints[i].ID])
	}
}

// take makes an endpoint a candidate.
func (p *Predictive) take(listed *qf.Endpoint, e *endpoint) {
	if e == nil || e.Incarnation != listed.Incarnation {
		p.lastNumber++
		e = &endpoint{number: p.lastNumber, slow: 1, health: health{state: qf.HealthGood}}
	}
	e.Endpoint = *listed
	e.departing = p.isDeparting(listed)
	e.price = p.priceOf(listed)
	p.endpoints[e.ID] = e
	p.numbers[e.number] = e
	e.pool = p.pool(poolKey{entry: e.Entry, version: e.Version})
	e.pool.add(e)
	if e.Version != "" {
		p.pool(poolKey{entry: e.Entry}).add(e)
	}
}

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

// priceOf is the price of a second of the endpoint's VM.
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
		e.health.trials++
	}
	e.start(at, attempt{
		startedAt: at, tokens: tokens, work: t.work, fixed: t.fixed, predicted: t.firstToken(), isTrial: isTrial,
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
	if a := e.first(at, at.Add(-took)); a != nil {
		e.learnFirstToken(a, took)
		p.judgeSlowness(e, a)
	}
}

// RecordEnd implements qf.Router.
func (p *Predictive) RecordEnd(at time.Time, id qf.EndpointID, tokens int, ok bool) {
	p.tick(at)
	e := p.endpoints[id]
	if e == nil {
		return
	}
	a, found := e.end(at, tokens, ok)
	if !found {
		return
	}
	if ok {
		e.answeredAt = at
		e.learnHold(&a, at)
	}
	p.judgeOutcome(e, &a, ok)
}

// RecordLoadReport implements qf.Router.
func (p *Predictive) RecordLoadReport(at time.Time, report qf.LoadReport) {
	p.tick(at)
	if e := p.endpoints[report.Endpoint]; e != nil {
		e.report(at, &report)
	}
}

const sweepEvery = time.Second

// tick keeps the time and drops old news of peers now and then.
func (p *Predictive) tick(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
	if now.Sub(p.sweptAt) < sweepEvery {
		return
	}
	p.sweptAt = now
	for _, e := range p.endpoints {
		if len(e.sent) > 0 {
			e.sumPeers(now)
		}
		e.refresh(now)
		p.advance(e)
	}
}
