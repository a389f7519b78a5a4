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
func (c *admissionController) TakeQuota(now time.Time, organisation *qf.OrganisationSettings, units float64) qf.QuotaDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quotas.Admit(now, organisation.Organisation, units)
}

// CountRequest implements qf.AdmissionController.
func (c *admissionController) CountRequest(now time.Time, entry qf.EntryName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.CountRequest(now, entry)
}

// TakeRetry implements qf.AdmissionController.
func (c *admissionController) TakeRetry(now time.Time, entry qf.EntryName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.TakeRetry(now, entry)
}

// CountRunStart implements qf.AdmissionController.
func (c *admissionController) CountRunStart(now time.Time, organisation qf.Organisation) {
	if organisation == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage.CountRequest(c.clock.fleetTime(now), organisation)
}

// setNodes sets the number of nodes that share the quotas and the retry budgets. Lost nodes may be cut off and go on
// spending quotas.
func (c *admissionController) setNodes(nodes, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quotas.SetNodes(nodes + lost)
	c.retries.SetNodes(nodes)
}

// mergeTally merges a peer's tally.
func (c *admissionController) mergeTally(now time.Time, source *qf.TallySource, tally *qf.Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quotas.RecordTally(now, *source, tally.Quotas)
	c.usage.MergeTally(*source, tally.Usage)
}
