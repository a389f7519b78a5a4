package entry

import (
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/coordination/qfretry"
	"quetzalfront/internal/qf/state/qfusage"
)

// governor implements qf.Governor. It guards the quotas, the repeats and the usage.
type governor struct {
	mu      sync.Mutex
	quotas  *qflimit.Quotas
	repeats *qfretry.Repeats
	usage   *qfusage.Counts
	clock   *clock
}

// Admit implements qf.Governor.
func (g *governor) Admit(now time.Time, organisation *qf.OrganisationTraits, units float64) qf.QuotaVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotas.Admit(now, organisation.Organisation, units)
}

// Arrived implements qf.Governor.
func (g *governor) Arrived(now time.Time, entry qf.EntryName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeats.Arrived(now, entry)
}

// MayRepeat implements qf.Governor.
func (g *governor) MayRepeat(now time.Time, entry qf.EntryName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.repeats.Take(now, entry)
}

// Began implements qf.Governor.
func (g *governor) Began(now time.Time, organisation qf.Organisation) {
	if organisation == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usage.Began(g.clock.agreed(now), organisation)
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
	g.quotas.Heard(now, *source, tally.Quotas)
	g.usage.Heard(*source, tally.Usage)
}
