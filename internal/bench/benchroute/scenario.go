package benchroute

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfroute"
)

// Scenario is the load and the faults of one run.
type Scenario struct {
	Name       string
	Deployment *Deployment
	// ReportLag is the time from sending a load report to its arrival.
	ReportLag time.Duration
	// BurstFactor multiplies the rate for burstFor from a third of the run on. Zero
	// means no burst.
	BurstFactor float64
	// LosesZone removes the first availability zone halfway through the run.
	LosesZone bool
	// HasHotPrefix gives half of the requests the same long prefix.
	HasHotPrefix bool
}

const (
	warmUpFor   = 20 * time.Second
	runFor      = 90 * time.Second
	drainFor    = 60 * time.Second
	burstFor    = 4 * time.Second
	burstFactor = 5
	reportEvery = 500 * time.Millisecond
	// noticeDelay is the time from the loss of a zone to the nodes' receipt of the
	// notices.
	noticeDelay = time.Second
	normalLag   = 200 * time.Millisecond
	// hashedBlocks is the number of leading blocks that the PrefixHash baseline hashes.
	hashedBlocks = systemBlocks + firstTurn
)

// Scenarios returns the scenarios of one deployment.
func Scenarios(d *Deployment) []*Scenario {
	return []*Scenario{
		{Name: "Steady", Deployment: d, ReportLag: normalLag},
		{Name: "ZoneLoss", Deployment: d, ReportLag: normalLag, LosesZone: true},
		{Name: "Burst", Deployment: d, ReportLag: normalLag, BurstFactor: burstFactor},
		{Name: "HotPrefix", Deployment: d, ReportLag: normalLag, HasHotPrefix: true},
		{Name: "Lag1s", Deployment: d, ReportLag: time.Second},
		{Name: "Lag5s", Deployment: d, ReportLag: 5 * time.Second},
	}
}

// Policy is a routing policy. New returns the router of one node.
type Policy struct {
	Name string
	New  func(node int, random *rand.Rand, d *Deployment, now time.Time) qf.Router
}

// PolicyPredictive is the name of the product's policy, which is compared with the
// baselines.
const PolicyPredictive = "Predictive"

// policyTwoChoices is the baseline for recomputed tokens.
const policyTwoChoices = "TwoChoices"

// Policies returns the router of the product and its baselines.
func Policies() []Policy {
	return []Policy{
		{"Random", func(_ int, r *rand.Rand, _ *Deployment, _ time.Time) qf.Router { return qfroute.NewRandom(r) }},
		{"RoundRobin", func(n int, _ *rand.Rand, _ *Deployment, _ time.Time) qf.Router { return qfroute.NewRoundRobin(n) }},
		{"LeastOutstanding", func(int, *rand.Rand, *Deployment, time.Time) qf.Router { return qfroute.NewLeastOutstanding() }},
		{policyTwoChoices, func(_ int, r *rand.Rand, _ *Deployment, _ time.Time) qf.Router { return qfroute.NewTwoChoices(r) }},
		{"PrefixHash", func(int, *rand.Rand, *Deployment, time.Time) qf.Router { return qfroute.NewPrefixHash(hashedBlocks) }},
		{PolicyPredictive, func(_ int, r *rand.Rand, d *Deployment, now time.Time) qf.Router {
			config := qfroute.DefaultConfig()
			config.ZoneDelay = d.ZoneDelay
			return qfroute.NewPredictive(config, r, now)
		}},
	}
}

// origin is the virtual time at which every run starts.
var origin = time.Unix(1_800_000_000, 0)

// simulate runs one policy in one scenario. For one seed, every policy gets the same
// requests at the same times at the same nodes.
func simulate(s *Scenario, p *Policy, seed uint64) *measurements {
	w := &simulation{now: origin, scenario: s, engines: map[qf.EndpointID]*engine{}}
	w.ordered = s.Deployment.engines()
	endpoints := make([]qf.Endpoint, 0, len(w.ordered))
	for _, e := range w.ordered {
		w.engines[e.ID] = e
		endpoints = append(endpoints, e.Endpoint)
	}
	for i := range s.Deployment.Nodes {
		zone := i % len(s.Deployment.Zones)
		router := p.New(i, rand.New(rand.NewPCG(seed, uint64(i))), s.Deployment, origin)
		router.SetEndpoints(endpoints)
		router.SetPrices(s.Deployment.prices())
		w.nodes = append(w.nodes, &entryNode{
			id: qf.NodeID(rune('a' + i)), zone: s.Deployment.Zones[zone], region: s.Deployment.region(zone), router: router,
		})
	}
	w.every(reportEvery, w.sendLoadReports)
	w.every(reportEvery, w.exchangeInFlight)
	w.scheduleArrivals(newWorkload(s.Deployment, rand.New(rand.NewPCG(seed, 1000))), rand.New(rand.NewPCG(seed, 1001)))
	if s.LosesZone {
		w.after(runFor/2, func() { w.loseZone(s.Deployment.Zones[0]) })
	}
	w.run(origin.Add(runFor + drainFor))
	return &w.measurements
}

// scheduleArrivals sends one request after a random delay and then schedules the next,
// until the end of the run.
func (s *simulation) scheduleArrivals(load *workload, random *rand.Rand) {
	since := s.now.Sub(origin)
	if since >= runFor {
		return
	}
	rate := s.scenario.Deployment.Rate
	if s.scenario.BurstFactor > 0 && since >= runFor/3 && since < runFor/3+burstFor {
		rate *= s.scenario.BurstFactor
	}
	s.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		n := s.nodes[random.IntN(len(s.nodes))]
		j := &job{node: n, startAt: s.now, query: load.nextQuery(s.scenario.HasHotPrefix), measured: s.now.Sub(origin) >= warmUpFor}
		j.query.FromZone, j.query.FromRegion = n.zone, n.region
		s.measurements.jobs = append(s.measurements.jobs, j)
		s.send(j)
		s.scheduleArrivals(load, random)
	})
}
