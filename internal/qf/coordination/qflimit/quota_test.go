package qflimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// quotaFleet simulates nodes that exchange tallies of what they admit, directly or
// through one relay, and clients that demand a multiple of their quota.
type quotaFleet struct {
	nodes     []*Quotas
	isRelayed bool
	now       time.Time
	// cut holds the nodes that neither send nor receive tallies.
	cut map[int]bool
}

const (
	fleetRate     = 1_000_000
	fleetBurst    = 1_000_000
	exchangeEvery = 400 * time.Millisecond
	quotaWindow   = 8 * time.Second
)

func newQuotaFleet(size int, isRelayed bool) *quotaFleet {
	f := &quotaFleet{isRelayed: isRelayed, now: time.Unix(1_800_000_000, 0), cut: map[int]bool{}}
	for range size {
		f.nodes = append(f.nodes, f.newNode())
	}
	return f
}

// newNode returns a node on which SetNodes hasn't been called yet.
func (f *quotaFleet) newNode() *Quotas {
	q := NewQuotas(quotaWindow)
	q.SetOrganisations(f.now, []qf.OrganisationSettings{{Organisation: "north", UnitsPerSecond: fleetRate, Burst: fleetBurst}})
	return q
}

func nodeName(i int) qf.NodeID { return qf.NodeID(fmt.Sprintf("node-%03d", i)) }

// exchange delivers the tally of every node to the others.
func (f *quotaFleet) exchange(incarnation qf.Incarnation) {
	for _, node := range f.nodes {
		node.SetNodes(len(f.nodes))
	}
	if f.isRelayed {
		f.exchangeThroughRelay(incarnation)
		return
	}
	for i, from := range f.nodes {
		for j, to := range f.nodes {
			if i != j && !f.cut[i] && !f.cut[j] {
				to.RecordTally(f.now, qf.TallySource{Node: nodeName(i), Incarnation: incarnation, Scope: qf.TallyOwn, Covers: 1},
					from.ReportUses(f.now, qf.TallyOwn, nodeName(j)))
			}
		}
	}
}

func (f *quotaFleet) exchangeThroughRelay(incarnation qf.Incarnation) {
	relay := f.nodes[0]
	for i := 1; i < len(f.nodes); i++ {
		if f.cut[i] {
			continue
		}
		relay.RecordTally(f.now, qf.TallySource{Node: nodeName(i), Incarnation: incarnation, Scope: qf.TallyOwn, Covers: 1},
			f.nodes[i].ReportUses(f.now, qf.TallyOwn, nodeName(0)))
		f.nodes[i].RecordTally(f.now, qf.TallySource{Node: nodeName(0), Incarnation: incarnation, Scope: qf.TallyRest, Covers: len(f.nodes) - 1},
			relay.ReportUses(f.now, qf.TallyRest, nodeName(i)))
	}
}

// checkWindows fails the test if a window of the quota holds more than the quota and the allowed
// excess. The argument holds the units that were admitted in each tenth of a second.
func checkWindows(t *testing.T, admitted []float64) {
	t.Helper()
	const (
		steps = 80
		bound = (fleetRate*8+fleetBurst)*1.1 + 110_000
	)
	for first := 0; first+steps <= len(admitted); first++ {
		sum := 0.0
		for _, units := range admitted[first : first+steps] {
			sum += units
		}
		if sum > bound {
			t.Errorf("%.0f units from step %d, want at most %.0f", sum, first, bound)
			return
		}
	}
}

// TestQuotasHoldAcrossNodes checks that no window admits more than the quota and the
// allowed excess, and that the quota can be used. Late tallies could let several nodes
// admit the same units.
func TestQuotasHoldAcrossNodes(t *testing.T) {
	tests := []struct {
		name string
		size int
		// isRelayed sends tallies through a relay.
		isRelayed bool
		// demand is the demand as a multiple of the quota.
		demand float64
		// restartAt is when all nodes restart and lose their state; 0 is never.
		restartAt time.Duration
		cut       []int
		// least is the part of the quota that must be admitted in the last seconds.
		least float64
	}{
		{name: "six nodes", size: 6, demand: 4, least: 0.9},
		{name: "six nodes, within the quota", size: 6, demand: 0.6, least: 0.55},
		{name: "six nodes, all started again", size: 6, demand: 4, restartAt: 10 * time.Second, least: 0.9},
		{name: "six nodes, two cut off", size: 6, demand: 4, cut: []int{1, 2}, least: 0.5},
		{name: "many nodes", size: 66, isRelayed: true, demand: 3, least: 0.8},
		{name: "many nodes, within the quota", size: 66, isRelayed: true, demand: 0.6, least: 0.55},
		{name: "many nodes, far more than the quota", size: 66, isRelayed: true, demand: 7.5, least: 0.8},
		{name: "many nodes, all started again", size: 66, isRelayed: true, demand: 3, restartAt: 10 * time.Second, least: 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newQuotaFleet(tt.size, tt.isRelayed)
			for _, i := range tt.cut {
				f.cut[i] = true
			}
			admitted := f.run(tt.demand, tt.restartAt)
			checkWindows(t, admitted)
			last := 0.0
			for _, units := range admitted[len(admitted)-50:] {
				last += units
			}
			if last < tt.least*fleetRate*5 {
				t.Errorf("%.0f units in the last 5 s, want at least %.0f", last, tt.least*fleetRate*5)
			}
		})
	}
}

// run returns the units that all nodes admitted in each tenth of a second.
func (f *quotaFleet) run(demand float64, restartAt time.Duration) []float64 {
	const steps, size = 200, 8000.0
	const step = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	start := f.now
	incarnation := qf.Incarnation(1)
	exchangedAt := start
	admitted := make([]float64, steps)
	owed := 0.0
	for i := range steps {
		f.now = start.Add(time.Duration(i) * step)
		if restartAt > 0 && f.now.Sub(start) == restartAt {
			incarnation++
			for n := range f.nodes {
				f.nodes[n] = f.newNode()
			}
		}
		if f.now.Sub(exchangedAt) >= exchangeEvery {
			exchangedAt = f.now
			f.exchange(incarnation)
		}
		for owed += demand * fleetRate * step.Seconds(); owed > 0; owed -= size {
			units := size * (0.5 + random.Float64())
			if f.nodes[random.IntN(len(f.nodes))].Admit(f.now, "north", units).IsAdmitted {
				admitted[i] += units
			}
		}
	}
	return admitted
}

// TestQuotaHoldsWhenHalfOfTheNodesAreKilled guards against survivors that admit more than
// the quota: the relay and every other node of a large fleet are killed while an
// organisation demands a multiple of its quota. Until the survivors have another relay
// they receive no tallies.
func TestQuotaHoldsWhenHalfOfTheNodesAreKilled(t *testing.T) {
	tests := []struct {
		name string
		// before and after are the demands before and after the kill, as multiples of the
		// quota.
		before, after float64
	}{
		{name: "four times the quota", before: 4, after: 4},
		{name: "much more than the quota", before: 7.5, after: 7.5},
		{name: "much more than the quota, from the kill on", before: 0.5, after: 7.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			checkWindows(t, runKill(tt.before, tt.after))
		})
	}
}

// runKill returns the units that a large fleet admitted in each tenth of a second. Half of
// its nodes are killed after ten seconds.
func runKill(before, after float64) []float64 {
	const size, steps, killAt, relayFoundAt = 82, 200, 100, 125
	f := newQuotaFleet(size, true)
	random := rand.New(rand.NewPCG(1, 2))
	start := f.now
	survivors := make([]int, 0, size/2)
	all := make([]int, size)
	for i := range size {
		all[i] = i
		if i%2 == 1 {
			survivors = append(survivors, i)
		}
	}
	admitted := make([]float64, steps)
	owed := 0.0
	for step := range steps {
		f.now = start.Add(time.Duration(step) * 100 * time.Millisecond)
		alive, demand := all, before
		if step >= killAt {
			alive, demand = survivors, after
		}
		if step%4 == 0 && (step < killAt || step >= relayFoundAt) {
			f.exchangeThroughFirst(alive)
		}
		for owed += demand * fleetRate * 0.1; owed > 0; owed -= 8000 {
			units := 8000 * (0.5 + random.Float64())
			if f.nodes[alive[random.IntN(len(alive))]].Admit(f.now, "north", units).IsAdmitted {
				admitted[step] += units
			}
		}
	}
	return admitted
}

// exchangeThroughFirst exchanges tallies with the first of the nodes as the relay.
func (f *quotaFleet) exchangeThroughFirst(alive []int) {
	relay := alive[0]
	for _, i := range alive[1:] {
		f.nodes[i].SetNodes(len(f.nodes))
		f.nodes[relay].SetNodes(len(f.nodes))
		f.nodes[relay].RecordTally(f.now, qf.TallySource{Node: nodeName(i), Incarnation: 1, Scope: qf.TallyOwn, Covers: 1},
			f.nodes[i].ReportUses(f.now, qf.TallyOwn, nodeName(relay)))
		f.nodes[i].RecordTally(f.now, qf.TallySource{Node: nodeName(relay), Incarnation: 1, Scope: qf.TallyRest, Covers: len(alive) - 1},
			f.nodes[relay].ReportUses(f.now, qf.TallyRest, nodeName(i)))
	}
}

// TestTallyCoversOnlyReportingNodes guards against a relay that counts nodes which don't
// report to it: members fill their buckets with the shares of all nodes it covers.
func TestTallyCoversOnlyReportingNodes(t *testing.T) {
	f := newQuotaFleet(1, true)
	relay := f.nodes[0]
	relay.SetNodes(82)
	report := func(name string, scope qf.TallyScope, covers int) {
		relay.RecordTally(f.now, qf.TallySource{Node: qf.NodeID(name), Incarnation: 1, Scope: scope, Covers: covers}, nil)
	}
	report("member-1", qf.TallyOwn, 1)
	report("member-2", qf.TallyOwn, 1)
	report("relay-b", qf.TallyZone, 14)
	if got := relay.CountCoveredNodes(f.now, qf.TallyRest, "member-1"); got != 16 {
		t.Errorf("the tally for a member covers %d nodes, want 16", got)
	}
	if got := relay.CountCoveredNodes(f.now, qf.TallyZone, "relay-b"); got != 3 {
		t.Errorf("the tally for another relay covers %d nodes, want 3", got)
	}
	f.now = f.now.Add(quotaSilentAfter + time.Millisecond)
	report("member-1", qf.TallyOwn, 1)
	if got := relay.CountCoveredNodes(f.now, qf.TallyRest, "member-2"); got != 2 {
		t.Errorf("after silence the tally for a member covers %d nodes, want 2", got)
	}
}

// TestRefusalReportsItsFigures checks that a refusal carries the figures it was based on, so
// that they can be logged.
func TestRefusalReportsItsFigures(t *testing.T) {
	f := newQuotaFleet(1, false)
	q := f.nodes[0]
	q.SetNodes(3)
	q.RecordTally(f.now, qf.TallySource{Node: "node-b", Incarnation: 1, Scope: qf.TallyOwn, Covers: 1}, nil)
	f.now = f.now.Add(200 * time.Millisecond)
	decision := q.Admit(f.now, "north", 2*fleetBurst)
	if decision.IsAdmitted || decision.RetryAfter <= 0 {
		t.Fatalf("got %+v, want a refusal", decision)
	}
	if decision.ReportingNodes != 2 || decision.Nodes != 3 || decision.ReportAge != 200*time.Millisecond {
		t.Errorf("got %s, want 2 of 3 nodes reporting, 0.2 s ago", decision.String())
	}
	if decision.Remaining <= 0 || decision.Remaining >= fleetBurst {
		t.Errorf("%.0f left, want more than 0 and less than the burst", decision.Remaining)
	}
}
