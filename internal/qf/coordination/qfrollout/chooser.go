package qfrollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// RolloutSpec is the catalogue's request for the versions of an entry.
type RolloutSpec struct {
	Entry    qf.EntryName
	Versions []qf.Version
	Target   qf.Version
	// MoveBy is the deadline for moving all traffic; if it is zero, Timing gives the
	// duration.
	MoveBy   time.Time
	WatchFor time.Duration
	// HasOnceOnly is true if some of the entry's calls are once-only.
	HasOnceOnly bool
	// Revision is the catalogue revision of the spec.
	Revision qf.Revision
}

// Chooser splits the requests of each entry between two versions by the rollout
// plan, gathers evidence, and stops a bad version on this node's evidence alone. It
// isn't safe for concurrent use.
type Chooser struct {
	self    qf.Node
	random  *rand.Rand
	entries map[qf.EntryName]*entryState
}

type entryState struct {
	spec RolloutSpec
	// plan is nil before the first one. Its generation and step only increase.
	plan *qf.RolloutPlan
	// stop is the stop with the highest epoch; its Epoch is 0 if there is none.
	stop     qf.RolloutStop
	evidence *evidence
	// reference describes the version that traffic falls back to, over all generations.
	reference *reference
	judge     *Judge
}

// localAlpha bounds the probability of a false alarm in one rollout by the local
// judges of all nodes together.
const localAlpha = 0.002

// NewChooser returns a chooser without entries. It draws random numbers from random.
func NewChooser(self qf.Node, random *rand.Rand) *Chooser {
	return &Chooser{self: self, random: random, entries: map[qf.EntryName]*entryState{}}
}

func (c *Chooser) entry(name qf.EntryName) *entryState {
	e := c.entries[name]
	if e == nil {
		e = &entryState{evidence: &evidence{}, reference: newReference()}
		c.entries[name] = e
	}
	return e
}

// SetSpecs sets the specs of the entries of a catalogue revision.
func (c *Chooser) SetSpecs(specs []RolloutSpec) {
	for i := range specs {
		c.entry(specs[i].Entry).spec = specs[i]
	}
}

// Spec returns the catalogue's spec for an entry.
func (c *Chooser) Spec(entry qf.EntryName) RolloutSpec { return c.entry(entry).spec }

// SetPlan replaces the plan in force by a newer one and reports whether it did. live
// is the number of live nodes, among which localAlpha is divided.
func (c *Chooser) SetPlan(now time.Time, live int, plan *qf.RolloutPlan) bool {
	e := c.entry(plan.Entry)
	if e.plan != nil && !plan.IsNewerThan(e.plan) {
		return false
	}
	if e.plan == nil || e.plan.Generation != plan.Generation {
		e.evidence = &evidence{}
		e.judge = NewJudge(localAlpha/float64(max(live, 1)), plan.Within+plan.WatchFor)
	}
	copied := *plan
	e.plan = &copied
	if plan.Phase == qf.RolloutRolledBack {
		c.ApplyStop(qf.RolloutStop{Entry: plan.Entry, Version: plan.To, Epoch: plan.Generation, Reason: plan.Reason})
	}
	e.refreshShares(now)
	return true
}

// refreshShares records the current share of each route with evidence.
func (e *entryState) refreshShares(now time.Time) {
	for _, r := range e.evidence.routes {
		r.setShare(now, e.share(r.Route))
	}
}

// RefreshShares records the shares that stops have changed.
func (c *Chooser) RefreshShares(now time.Time) {
	for _, e := range c.entries {
		if e.plan != nil {
			e.refreshShares(now)
		}
	}
}

// share returns the new version's share of a route; it is 0 for a stopped version.
func (e *entryState) share(route qf.Route) float64 {
	if e.isStopped() {
		return 0
	}
	return e.plan.Share(route)
}

func (e *entryState) isStopped() bool {
	return e.stop.Epoch >= e.plan.Generation && e.stop.Epoch > 0 && e.stop.Version == e.plan.To
}

// Plan returns the plan in force, or nil. It must not be changed.
func (c *Chooser) Plan(entry qf.EntryName) *qf.RolloutPlan { return c.entry(entry).plan }

// Plans returns the plans in force, to send to peers. Plans that aren't active are
// sent without their routes.
func (c *Chooser) Plans() []qf.RolloutPlan {
	var plans []qf.RolloutPlan
	for _, e := range c.entries {
		if e.plan == nil {
			continue
		}
		plan := *e.plan
		if !plan.IsActive() {
			plan.Routes = nil
		}
		plans = append(plans, plan)
	}
	slices.SortFunc(plans, func(a, b qf.RolloutPlan) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return plans
}

// ChooseVersion implements qf.VersionChooser.
func (c *Chooser) ChooseVersion(query qf.VersionQuery) (qf.Version, qf.Reason) {
	e := c.entry(query.Entry)
	if e.plan == nil {
		return e.spec.initialVersion(), qf.Reason{Rule: "NoPlan"}
	}
	if e.plan.From == e.plan.To {
		return e.plan.To, qf.Reason{Rule: "OneVersion"}
	}
	route := routeOf(query.Organisation, query.Region, query.Class, query.OnceOnly)
	r := e.evidence.routeEvidenceOf(route)
	if r.since.IsZero() {
		r.setShare(query.Now, e.share(route))
	}
	share := e.share(route)
	reason := qf.Reason{Rule: "Rollout" + string(e.plan.Phase), Figures: []qf.Figure{
		{Name: "Share", Value: share},
		{Name: "Draw", Value: query.Draw},
		{Name: "Generation", Value: float64(e.plan.Generation)},
		{Name: "Step", Value: float64(e.plan.Step)},
	}}
	if e.isStopped() {
		reason.Rule = "RolloutStopped"
	}
	if query.Draw < share {
		return e.plan.To, reason
	}
	return e.plan.From, reason
}

// endpointReserve is the factor by which more endpoints are used than the share
// needs, because a few endpoints can't absorb bursts as well as many can.
const endpointReserve = 1.25

// EndpointShare returns the new version and the fraction of its endpoints to use: as
// few as its share needs, so that they run at nearly the load of a finished rollout.
func (c *Chooser) EndpointShare(entry qf.EntryName) (version qf.Version, part float64) {
	e := c.entry(entry)
	if e.plan == nil || !e.plan.IsActive() || e.isStopped() {
		return "", 1
	}
	share, rate := e.plan.RestShare, 0.0
	for i := range e.plan.Routes {
		rate += e.plan.Routes[i].Rate
	}
	if rate > 0 {
		share = 0
	}
	for i := range e.plan.Routes {
		share += e.plan.Routes[i].Share * e.plan.Routes[i].Rate / max(rate, 1e-9)
	}
	return e.plan.To, min(1, share*endpointReserve)
}

// RecordObservation implements qf.VersionChooser.
func (c *Chooser) RecordObservation(o qf.Observation) {
	e := c.entry(o.Entry)
	if e.plan == nil || o.Forced || o.Cut || (o.Version != e.plan.To && o.Version != e.plan.From) {
		return
	}
	if e.plan.IsActive() {
		e.evidence.add(&o, e.reference, o.Version == e.plan.To, e.plan.Baseline, c.random)
	}
	if o.Version == FallbackVersion(e.plan) {
		e.reference.add(&o)
	}
}

// StopBadVersions evaluates this node's evidence and returns new stops for bad
// versions. It is called once a second.
func (c *Chooser) StopBadVersions(now time.Time, elapsed time.Duration) []qf.RolloutStop {
	var stops []qf.RolloutStop
	for name, e := range c.entries {
		if e.plan == nil || !e.plan.IsActive() || e.isStopped() {
			continue
		}
		own := c.evidenceOf(name, e)
		e.judge.AddEvidence(&own)
		verdict := e.judge.Evaluate(elapsed)
		if !verdict.Bad {
			continue
		}
		stop := qf.RolloutStop{
			Entry: name, Version: e.plan.To, Epoch: e.plan.Generation,
			Reason: fmt.Sprintf("node %s stopped it: %s", c.self.ID, verdict.Reason),
		}
		if c.ApplyStop(stop) {
			e.refreshShares(now)
			stops = append(stops, stop)
		}
	}
	return stops
}

// Evidence returns this node's evidence on an entry's active rollout.
func (c *Chooser) Evidence(entry qf.EntryName) (qf.RolloutEvidence, bool) {
	e := c.entry(entry)
	if e.plan == nil || !e.plan.IsActive() {
		return qf.RolloutEvidence{}, false
	}
	return c.evidenceOf(entry, e), true
}

func (c *Chooser) evidenceOf(name qf.EntryName, e *entryState) qf.RolloutEvidence {
	return qf.RolloutEvidence{
		Node: c.self.ID, Incarnation: c.self.Incarnation, Entry: name,
		Generation: e.plan.Generation, Routes: e.evidence.export(),
	}
}

// ApplyStop implements qf.VersionChooser. A stop is only replaced by one with a
// higher epoch, and only overridden by a plan of a higher generation.
func (c *Chooser) ApplyStop(stop qf.RolloutStop) bool {
	e := c.entry(stop.Entry)
	if e.stop.Epoch >= stop.Epoch {
		return false
	}
	e.stop = stop
	return true
}

// ActiveStop returns the stop that applies to the plan in force, if there is one.
func (c *Chooser) ActiveStop(entry qf.EntryName) (qf.RolloutStop, bool) {
	e := c.entry(entry)
	if e.plan == nil || !e.isStopped() {
		return qf.RolloutStop{}, false
	}
	return e.stop, true
}

// ListStops implements qf.VersionChooser.
func (c *Chooser) ListStops() []qf.RolloutStop {
	var stops []qf.RolloutStop
	for _, e := range c.entries {
		if e.stop.Epoch > 0 {
			stops = append(stops, e.stop)
		}
	}
	slices.SortFunc(stops, func(a, b qf.RolloutStop) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return stops
}
