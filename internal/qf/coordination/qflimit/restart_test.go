package qflimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// TestQuotaHoldsWhileNodesRestartInTurn fails if nodes that start again admit what the others
// refuse: an organisation has used its quota within seconds, the others hold it back until the
// window has passed, and each new node knows nothing of that.
func TestQuotaHoldsWhileNodesRestartInTurn(t *testing.T) {
	const (
		size, steps = 66, 250
		step        = 100 * time.Millisecond
		quiet       = 10 * time.Second
		// restartSteps is the number of steps between two restarts.
		restartSteps = 13
	)
	for seed := range uint64(3) {
		f := newQuotaFleet(size, true)
		random := rand.New(rand.NewPCG(seed, 2))
		incarnations := make([]qf.Incarnation, size)
		start := f.now
		admitted := make([]float64, steps)
		owed, next := 0.0, 1
		for i := range steps {
			f.now = start.Add(time.Duration(i) * step)
			demand := 7.5
			if f.now.Sub(start) < quiet {
				demand = 0.5
			}
			if i%restartSteps == 0 && i > 0 {
				f.nodes[next] = f.newNode()
				f.nodes[next].SetNodes(size)
				incarnations[next]++
				next++
			}
			if i%4 == 0 {
				f.exchangeRestarted(incarnations)
			}
			for owed += demand * fleetRate * step.Seconds(); owed > 0; owed -= 8000 {
				units := 8000 * (0.5 + random.Float64())
				if f.nodes[random.IntN(size)].Admit(f.now, "north", units).IsAdmitted {
					admitted[i] += units
				}
			}
		}
		checkWindows(t, admitted)
	}
}

// exchangeRestarted exchanges tallies through the first node; the others have the incarnations.
func (f *quotaFleet) exchangeRestarted(incarnations []qf.Incarnation) {
	relay := f.nodes[0]
	relay.SetNodes(len(f.nodes))
	for i, node := range f.nodes[1:] {
		node.SetNodes(len(f.nodes))
		relay.RecordTally(f.now, qf.TallySource{Node: nodeName(i + 1), Incarnation: incarnations[i+1], Scope: qf.TallyOwn, Covers: 1},
			node.ReportUses(f.now, qf.TallyOwn, nodeName(0)))
		node.RecordTally(f.now, qf.TallySource{Node: nodeName(0), Incarnation: 1, Scope: qf.TallyRest, Covers: len(f.nodes) - 1},
			relay.ReportUses(f.now, qf.TallyRest, nodeName(i+1)))
	}
}
