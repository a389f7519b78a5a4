package entry

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/coordination/qfretry"
	"quetzalfront/internal/qf/state/qfusage"
)

// governor implements qf.AdmissionController. It guards the quotas, the repeats and the usage.
type governor struct {
	mu      sync.Mutex
	quotas  *qflimit.Quotas
	repeats *qfretry.FleetBudget
	usage   *qfusage.Counter
	clock   *clock
}

// TakeQuota implements qf.AdmissionController.
func (g *governor) TakeQuota(now time.Time, organisation *qf.OrganisationSettings, units float64) qf.QuotaDecision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotas.Admit(now, organisation.Organisation, units)
}

// CountRequest implements qf.AdmissionController.
func (g *governor) CountRequest(now time.Time, entry qf.EntryName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeats.CountRequest(now, entry)
}

// TakeRetry implements qf.AdmissionController.
func (g *governor) TakeRetry(now time.Time, entry qf.EntryName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.repeats.TakeRetry(now, entry)
}

// CountRunStart implements qf.AdmissionController.
func (g *governor) CountRunStart(now time.Time, organisation qf.Organisation) {
	if organisation == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usage.CountRequest(g.clock.agreed(now), organisation)
}

// setNodes tells the parts that share something how many nodes there are.
func (g *governor) setNodes(nodes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.SetNodes(nodes)
	g.repeats.SetNodes(nodes)
}

// heard takes a peer's tally.
func (g *governor) heard(now time.Time, source *qf.TallySource, tally *qf.Tally) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.RecordTally(now, *source, tally.Quotas)
	g.usage.MergeTally(*source, tally.Usage)
}
