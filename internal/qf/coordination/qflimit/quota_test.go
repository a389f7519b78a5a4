package qflimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// quotaFleet plays nodes that tell each other what they admit, directly or through one
// relay, and clients that ask for many times their quota.
type quotaFleet struct {
	nodes     []*Quotas
	isRelayed bool
	now       time.Time
	// cut lists the nodes that hear nobody and are heard by nobody.
	cut map[int]bool
}

const (
	fleetRate  = 1_000_000
	fleetBurst = 1_000_000
	tellEvery  = 400 * time.Millisecond
)

func newQuotaFleet(size int, isRelayed bool) *quotaFleet {
	f := &quotaFleet{isRelayed: isRelayed, now: time.Unix(1_800_000_000, 0), cut: map[int]bool{}}
	for range size {
		f.nodes = append(f.nodes, f.newNode())
	}
	return f
}

// newNode returns a node that doesn't know yet how many there are.
func (f *quotaFleet) newNode() *Quotas {
	q := NewQuotas()
	q.SetOrganisations(f.now, []qf.OrganisationSettings{{Organisation: "north", UnitsPerSecond: fleetRate, Burst: fleetBurst}})
	return q
}

func nodeName(i int) qf.NodeID { return qf.NodeID(fmt.Sprintf("node-%03d", i)) }

// tell lets every node hear the others.
func (f *quotaFleet) tell(incarnation qf.Incarnation) {
	for _, node := range f.nodes {
		node.SetNodes(len(f.nodes))
	}
	if f.isRelayed {
		f.tellRelay(incarnation)
		return
	}
	for i, from := range f.nodes {
		for j, to := range f.nodes {
			if i != j && !f.cut[i] && !f.cut[j] {
				to.RecordTally(f.now, qf.TallySource{Node: nodeName(i), Incarnation: incarnation, Scope: qf.TallyOwn, Covers: 1},
					from.ReportUses(qf.TallyOwn, nodeName(j)))
			}
		}
	}
}

func (f *quotaFleet) tellRelay(incarnation qf.Incarnation) {
	relay := f.nodes[0]
	for i := 1; i < len(f.nodes); i++ {
		if f.cut[i] {
			continue
		}
		relay.RecordTally(f.now, qf.TallySource{Node: nodeName(i), Incarnation: incarnation, Scope: qf.TallyOwn, Covers: 1},
			f.nodes[i].ReportUses(qf.TallyOwn, nodeName(0)))
		f.nodes[i].RecordTally(f.now, qf.TallySource{Node: nodeName(0), Incarnation: incarnation, Scope: qf.TallyRest, Covers: len(f.nodes) - 1},
			relay.ReportUses(qf.TallyRest, nodeName(i)))
	}
}

// TestQuotasHoldOverNodes guards that in no window more is admitted than the quota and
// what the users allow beyond it, and that what is allowed is given.
func TestQuotasHoldOverNodes(t *testing.T) {
	tests := []struct {
		name string
		size int
		// isRelayed lets uses be heard through a relay.
		isRelayed bool
		// demand is how many times the quota is asked for.
		demand float64
		// restartAt is when all nodes lose what they know; 0 is never.
		restartAt time.Duration
		cut       []int
		// least is the part of the quota that must be given in the last seconds.
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
			admitted := f.play(tt.demand, tt.restartAt)
			const window = 80 // Steps of a tenth of a second.
			for first := 0; first+window <= len(admitted); first++ {
				sum := 0.0
				for _, units := range admitted[first : first+window] {
					sum += units
				}
				if bound := (fleetRate*8+fleetBurst)*1.1 + 110_000; sum > bound {
					t.Fatalf("%.0f units from step %d, want at most %.0f", sum, first, bound)
				}
			}
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

// play returns what all nodes admitted in each tenth of a second.
func (f *quotaFleet) play(demand float64, restartAt time.Duration) []float64 {
	const steps, size = 200, 8000.0
	const step = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	start := f.now
	incarnation := qf.Incarnation(1)
	toldAt := start
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
		if f.now.Sub(toldAt) >= tellEvery {
			toldAt = f.now
			f.tell(incarnation)
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

// TestQuotaHoldsWhenHalfOfTheNodesAreKilled kills the relay and every other node of a large
// fleet while an organisation asks for many times its quota. Until the others have found
// another relay they hear nobody.
func TestQuotaHoldsWhenHalfOfTheNodesAreKilled(t *testing.T) {
	tests := []struct {
		name string
		// before and after are how many times the quota is asked for until the nodes are
		// killed, and then.
		before, after float64
	}{
		{name: "four times the quota", before: 4, after: 4},
		{name: "much more than the quota", before: 7.5, after: 7.5},
		{name: "much more than the quota, from the kill on", before: 0.5, after: 7.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const window = 80 // Steps of a tenth of a second.
			admitted := playKill(tt.before, tt.after)
			for first := 0; first+window <= len(admitted); first++ {
				sum := 0.0
				for _, units := range admitted[first : first+window] {
					sum += units
				}
				if bound := (fleetRate*8+fleetBurst)*1.1 + 110_000; sum > bound {
					t.Fatalf("%.0f units from step %d, want at most %.0f", sum, first, bound)
				}
			}
		})
	}
}

// playKill returns what a large fleet admitted in each tenth of a second, half of which is
// killed after ten seconds.
func playKill(before, after float64) []float64 {
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
			f.tellThrough(alive)
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

// tellThrough lets the first of the nodes pass on what the others tell.
func (f *quotaFleet) tellThrough(alive []int) {
	relay := alive[0]
	for _, i := range alive[1:] {
		f.nodes[i].SetNodes(len(f.nodes))
		f.nodes[relay].SetNodes(len(f.nodes))
		f.nodes[relay].RecordTally(f.now, qf.TallySource{Node: nodeName(i), Incarnation: 1, Scope: qf.TallyOwn, Covers: 1},
			f.nodes[i].ReportUses(qf.TallyOwn, nodeName(relay)))
		f.nodes[i].RecordTally(f.now, qf.TallySource{Node: nodeName(relay), Incarnation: 1, Scope: qf.TallyRest, Covers: len(alive) - 1},
			f.nodes[relay].ReportUses(qf.TallyRest, nodeName(i)))
	}
}

// TestQuotaCoversOnlyNodesThatWereHeard guards that a relay doesn't vouch for nodes from which
// it hears nothing, because members fill their buckets with the parts of all it covers.
func TestQuotaCoversOnlyNodesThatWereHeard(t *testing.T) {
	f := newQuotaFleet(1, true)
	relay := f.nodes[0]
	relay.SetNodes(82)
	hear := func(name string, scope qf.TallyScope, covers int) {
		relay.RecordTally(f.now, qf.TallySource{Node: qf.NodeID(name), Incarnation: 1, Scope: scope, Covers: covers}, nil)
	}
	hear("member-1", qf.TallyOwn, 1)
	hear("member-2", qf.TallyOwn, 1)
	hear("relay-b", qf.TallyZone, 14)
	if got := relay.CountCoveredNodes(f.now, qf.TallyRest, "member-1"); got != 16 {
		t.Errorf("a member is told of %d nodes, want 16", got)
	}
	if got := relay.CountCoveredNodes(f.now, qf.TallyZone, "relay-b"); got != 3 {
		t.Errorf("another relay is told of %d nodes, want 3", got)
	}
	f.now = f.now.Add(quotaSilentAfter + time.Millisecond)
	hear("member-1", qf.TallyOwn, 1)
	if got := relay.CountCoveredNodes(f.now, qf.TallyRest, "member-2"); got != 2 {
		t.Errorf("after silence a member is told of %d nodes, want 2", got)
	}
}

// TestRefusalSaysWhatDecided guards that the log of a refusal can tell what the node knew.
func TestRefusalSaysWhatDecided(t *testing.T) {
	f := newQuotaFleet(1, false)
	q := f.nodes[0]
	q.SetNodes(3)
	q.RecordTally(f.now, qf.TallySource{Node: "node-b", Incarnation: 1, Scope: qf.TallyOwn, Covers: 1}, nil)
	f.now = f.now.Add(200 * time.Millisecond)
	verdict := q.Admit(f.now, "north", 2*fleetBurst)
	if verdict.IsAdmitted || verdict.RetryAfter <= 0 {
		t.Fatalf("got %+v, want a refusal", verdict)
	}
	if verdict.ReportingNodes != 2 || verdict.Nodes != 3 || verdict.ReportAge != 200*time.Millisecond {
		t.Errorf("got %s, want 2 of 3 nodes heard, 0.2 s ago", verdict.String())
	}
	if verdict.Remaining <= 0 || verdict.Remaining >= fleetBurst {
		t.Errorf("%.0f left, want what a node that starts may use", verdict.Remaining)
	}
}
