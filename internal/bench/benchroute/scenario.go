package benchroute

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfroute"
)

// Scenario is one row of the bench.
type Scenario struct {
	Name       string
	Deployment *Deployment
	// ReportLag is the time from a load report to its arrival.
	ReportLag time.Duration
	// BurstFactor multiplies the rate for burstFor at a third of the run.
	BurstFactor float64
	// LosesZone takes the first availability zone at half of the run.
	LosesZone bool
	// HasHotPrefix gives half of the requests one long prefix.
	HasHotPrefix bool
}

const (
	warmUp      = 20 * time.Second
	runFor      = 90 * time.Second
	drainFor    = 60 * time.Second
	burstFor    = 4 * time.Second
	burstFactor = 5
	reportEvery = 500 * time.Millisecond
	// noticeAfter is how long nodes take to hear of a lost zone.
	noticeAfter  = time.Second
	normalLag    = 200 * time.Millisecond
	hashedBlocks = systemBlocks + firstTurn
)

// Scenarios returns those of one deployment.
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

// Policy makes the router of one node.
type Policy struct {
	Name string
	New  func(node int, random *rand.Rand, d *Deployment, now time.Time) qf.Router
}

// PolicyPredictive is the name of the policy that is measured against the others.
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

// origin is when every run begins.
var origin = time.Unix(1_800_000_000, 0)

// play runs one policy in one scenario. Every policy gets the same requests at
// the same times at the same nodes.
func play(s *Scenario, p *Policy, seed uint64) *figures {
	w := &world{now: origin, scenario: s, engines: map[qf.EndpointID]*engine{}}
	w.list = s.Deployment.engines()
	endpoints := make([]qf.Endpoint, 0, len(w.list))
	for _, e := range w.list {
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
	w.every(reportEvery, w.reports)
	w.every(reportEvery, w.exchange)
	w.arrive(newWorkload(s.Deployment, rand.New(rand.NewPCG(seed, 1000))), rand.New(rand.NewPCG(seed, 1001)))
	if s.LosesZone {
		w.after(runFor/2, func() { w.loseZone(s.Deployment.Zones[0]) })
	}
	w.run(origin.Add(runFor + drainFor))
	return &w.figures
}

// arrive draws requests until the end of the run.
func (w *world) arrive(load *workload, random *rand.Rand) {
	since := w.now.Sub(origin)
	if since >= runFor {
		return
	}
	rate := w.scenario.Deployment.Rate
	if w.scenario.BurstFactor > 0 && since >= runFor/3 && since < runFor/3+burstFor {
		rate *= w.scenario.BurstFactor
	}
	w.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		n := w.nodes[random.IntN(len(w.nodes))]
		j := &job{node: n, startAt: w.now, query: load.draw(w.scenario.HasHotPrefix), measured: w.now.Sub(origin) >= warmUp}
		j.query.FromZone, j.query.FromRegion = n.zone, n.region
		w.figures.open = append(w.figures.open, j)
		w.send(j)
		w.arrive(load, random)
	})
}
