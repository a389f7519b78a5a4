package entry

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/coordination/qfretry"
	"quetzalfront/internal/qf/state/qfusage"
)

// admissionController implements qf.AdmissionController. Its lock guards the quotas,
// the retry budgets and the usage counts.
type admissionController struct {
	mu      sync.Mutex
	quotas  *qflimit.Quotas
	retries *qfretry.FleetBudget
	usage   *qfusage.Counter
	clock   *fleetClock
}

// TakeQuota implements qf.AdmissionController.
func (g *admissionController) TakeQuota(now time.Time, organisation *qf.OrganisationSettings, units float64) qf.QuotaDecision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotas.Admit(now, organisation.Organisation, units)
}

// CountRequest implements qf.AdmissionController.
func (g *admissionController) CountRequest(now time.Time, entry qf.EntryName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.CountRequest(now, entry)
}

// TakeRetry implements qf.AdmissionController.
func (g *admissionController) TakeRetry(now time.Time, entry qf.EntryName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.TakeRetry(now, entry)
}

// CountRunStart implements qf.AdmissionController.
func (g *admissionController) CountRunStart(now time.Time, organisation qf.Organisation) {
	if organisation == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usage.CountRequest(g.clock.fleetTime(now), organisation)
}

// setNodes sets the number of nodes that share the quotas and the retry budgets.
func (g *admissionController) setNodes(nodes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.SetNodes(nodes)
	g.retries.SetNodes(nodes)
}

// mergeTally merges a peer's tally.
func (g *admissionController) mergeTally(now time.Time, source *qf.TallySource, tally *qf.Tally) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.RecordTally(now, *source, tally.Quotas)
	g.usage.MergeTally(*source, tally.Usage)
}
