package benchroute

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// Deployment describes one of the two deployments: its sizes, delays and load.
type Deployment struct {
	Name      string
	Zones     []qf.AvailabilityZone
	Replicas  int
	Nodes     int
	ZoneDelay time.Duration
	// Rate is the number of requests per second under steady load.
	Rate float64
	// Shares holds each organisation's share of the requests.
	Shares []float64
}

// regionDelay is the one-way delay between regions.
const regionDelay = 30 * time.Millisecond

// Deployments returns both deployments.
func Deployments() []*Deployment {
	return []*Deployment{
		{
			Name: "Lahore", Zones: []qf.AvailabilityZone{"lahore-north-a", "lahore-south-a", "lahore-west-a"},
			Replicas: 9, Nodes: 3, ZoneDelay: 1500 * time.Microsecond, Rate: 24,
			Shares: []float64{0.4, 0.3, 0.1, 0.1, 0.1},
		},
		{
			Name: "Lanka", Zones: []qf.AvailabilityZone{"lanka-east-a", "lanka-north-a", "lanka-south-a"},
			Replicas: 12, Nodes: 6, ZoneDelay: 500 * time.Microsecond, Rate: 32,
			Shares: []float64{0.5, 0.2, 0.1, 0.1, 0.1},
		},
	}
}

const (
	entry   qf.EntryName = "assistant"
	version qf.Version   = "v1"
)

func (d *Deployment) region(zone int) qf.Region { return qf.Region(fmt.Sprintf("%s-%d", d.Name, zone)) }

// engines returns the replicas, spread over the zones: two thirds are reclaimable, and
// the price depends on the zone.
func (d *Deployment) engines() []*engine {
	engines := make([]*engine, 0, d.Replicas)
	prices := d.prices()
	for i := range d.Replicas {
		zone := i % len(d.Zones)
		class := qf.ClassReclaimable
		if i/len(d.Zones)%3 == 2 {
			class = qf.ClassOnDemand
		}
		id := fmt.Sprintf("%s-%02d", d.Name, i)
		e := qf.Endpoint{
			ID: qf.EndpointID(id), VM: qf.VMID(id), Incarnation: 1, Kind: qf.KindModelEngine, Entry: entry, Version: version,
			Region: d.region(zone), AvailabilityZone: d.Zones[zone], Class: class,
		}
		engines = append(engines, newEngine(e, priceOf(prices, &e)))
	}
	return engines
}

// prices returns the price of each zone and class per hour, in thousandths of the
// currency unit.
func (d *Deployment) prices() []qf.Price {
	reclaimable := []uint64{1100, 1300, 1600}
	onDemand := []uint64{3200, 3400, 3900}
	var prices []qf.Price
	for i, zone := range d.Zones {
		prices = append(prices,
			qf.Price{AvailabilityZone: zone, Class: qf.ClassReclaimable, Role: qf.RoleModelEngine, PerHour: reclaimable[i]},
			qf.Price{AvailabilityZone: zone, Class: qf.ClassOnDemand, Role: qf.RoleModelEngine, PerHour: onDemand[i]})
	}
	return prices
}

func priceOf(prices []qf.Price, e *qf.Endpoint) float64 {
	for _, p := range prices {
		if p.AvailabilityZone == e.AvailabilityZone && p.Class == e.Class {
			return float64(p.PerHour)
		}
	}
	return 0
}

const (
	sessions      = 240
	systemBlocks  = 12
	firstTurn     = 3
	longTurn      = 40
	blocksPerTurn = 4
	maxBlocks     = 96
	// longShare is the share of sessions that start with a long document.
	longShare   = 0.15
	shortAnswer = 60
	longAnswer  = 220
	// hotShare is the share of requests with the hot prefix.
	hotShare  = 0.5
	hotBlocks = 64
)

// workload generates requests. The turns of a session share a growing prefix, and the
// sessions of an organisation share its system prompt.
type workload struct {
	random    *rand.Rand
	shares    []float64
	sessions  []session
	lastBlock uint64
}

type session struct {
	organisation int
	blocks       []uint64
}

func newWorkload(d *Deployment, random *rand.Rand) *workload {
	w := &workload{random: random, shares: d.Shares, lastBlock: 1 << 20}
	for range sessions {
		w.sessions = append(w.sessions, w.newSession())
	}
	return w
}

// newBlock returns the hash of a block that no other prompt has.
func (w *workload) newBlock() uint64 {
	w.lastBlock++
	return w.lastBlock * 0x9E3779B97F4A7C15
}

func (w *workload) drawOrganisation() int {
	draw := w.random.Float64()
	for i, share := range w.shares {
		if draw < share {
			return i
		}
		draw -= share
	}
	return len(w.shares) - 1
}

// newSession returns a session that starts with the system prompt of a random
// organisation.
func (w *workload) newSession() session {
	s := session{organisation: w.drawOrganisation()}
	for i := range systemBlocks {
		s.blocks = append(s.blocks, uint64(s.organisation*systemBlocks+i+1)*0xBF58476D1CE4E5B9)
	}
	own := firstTurn
	if w.random.Float64() < longShare {
		own = longTurn
	}
	for range own {
		s.blocks = append(s.blocks, w.newBlock())
	}
	return s
}

// nextQuery returns the next request: a turn of a session, or one with the hot prefix.
func (w *workload) nextQuery(hasHotPrefix bool) qf.RouteQuery {
	if hasHotPrefix && w.random.Float64() < hotShare {
		return w.hotQuery()
	}
	s := &w.sessions[w.random.IntN(len(w.sessions))]
	if len(s.blocks) > maxBlocks {
		*s = w.newSession()
	}
	for range 1 + w.random.IntN(blocksPerTurn) {
		s.blocks = append(s.blocks, w.newBlock())
	}
	return w.newQuery(s.organisation, s.blocks)
}

func (w *workload) hotQuery() qf.RouteQuery {
	blocks := make([]uint64, 0, hotBlocks+1)
	for i := range hotBlocks {
		blocks = append(blocks, uint64(i+1)*0x94D049BB133111EB)
	}
	return w.newQuery(0, append(blocks, w.newBlock()))
}

func (w *workload) newQuery(organisation int, blocks []uint64) qf.RouteQuery {
	answer := shortAnswer
	if w.random.IntN(3) == 0 {
		answer = longAnswer
	}
	return qf.RouteQuery{
		Request: &qf.Request{
			Entry: entry, Kind: qf.KindModelEngine, Class: qf.ClassInteractive, MaxTokens: answer,
			Organisation: qf.Organisation(fmt.Sprintf("organisation-%d", organisation)),
		},
		PromptTokens: len(blocks)*qfprefix.BlockTokens + w.random.IntN(qfprefix.BlockTokens),
		Prefixes:     append([]uint64(nil), blocks...),
	}
}
