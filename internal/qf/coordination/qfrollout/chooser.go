package qfrollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// RolloutSpec is what the catalogue asks of an entry's versions.
type RolloutSpec struct {
	Entry    qf.EntryName
	Versions []qf.Version
	Target   qf.Version
	// MoveBy is zero if the settings give the pace.
	MoveBy   time.Time
	WatchFor time.Duration
	// HasOnceOnly says whether some calls may not be repeated.
	HasOnceOnly bool
	// Revision is the catalogue revision of the wish.
	Revision qf.Revision
}

// Chooser splits each entry's requests by its plan, gathers evidence, and stops a
// version on this node's evidence alone. It isn't safe for concurrent use.
type Chooser struct {
	self    qf.Node
	random  *rand.Rand
	entries map[qf.EntryName]*entryState
}

type entryState struct {
	wish RolloutSpec
	// plan is nil until one is known. Its generation and step only rise.
	plan *qf.RolloutPlan
	// stop has the highest epoch known; its Epoch is 0 if there is none.
	stop     qf.RolloutStop
	evidence *evidence
	// usual describes the version that is known to be good, over all generations.
	usual *usual
	judge *Judge
}

// localAlpha bounds the probability of a false alarm of one rollout by the local
// evidence of all nodes together.
const localAlpha = 0.002

// NewChooser returns a chooser that knows no entries. It draws from the generator.
func NewChooser(self qf.Node, random *rand.Rand) *Chooser {
	return &Chooser{self: self, random: random, entries: map[qf.EntryName]*entryState{}}
}

func (c *Chooser) entry(name qf.EntryName) *entryState {
	e := c.entries[name]
	if e == nil {
		e = &entryState{evidence: &evidence{}, usual: newUsual()}
		c.entries[name] = e
	}
	return e
}

// SetSpecs takes the entries of a catalogue revision.
func (c *Chooser) SetSpecs(wishes []RolloutSpec) {
	for i := range wishes {
		c.entry(wishes[i].Entry).wish = wishes[i]
	}
}

// Spec returns the catalogue's wish for an entry.
func (c *Chooser) Spec(entry qf.EntryName) RolloutSpec { return c.entry(entry).wish }

// SetPlan puts a plan in force if it replaces the one that is, and reports
// whether it did. live is the number of nodes that judge.
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

func (e *entryState) refreshShares(now time.Time) {
	for _, r := range e.evidence.routes {
		r.setShare(now, e.share(r.Route))
	}
}

// RefreshShares notes the shares that stops have changed.
func (c *Chooser) RefreshShares(now time.Time) {
	for _, e := range c.entries {
		if e.plan != nil {
			e.refreshShares(now)
		}
	}
}

// share returns the new version's share of a route, stops included.
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

// Plans returns the plans in force for peers. Those that move nothing are told
// without their routes.
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
		return e.wish.settled(), qf.Reason{Rule: "NoPlan"}
	}
	if e.plan.From == e.plan.To {
		return e.plan.To, qf.Reason{Rule: "OneVersion"}
	}
	route := routeOf(query.Organisation, query.Region, query.Class, query.OnceOnly)
	r := e.evidence.of(route)
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

// spreadReserve keeps the load of the endpoints that are used below that of the
// old version's, because a few endpoints can't even out bursts as many can.
const spreadReserve = 1.25

// EndpointShare returns the new version and the part of its endpoints that is to be
// used: as few as its share needs, so that those see nearly the load that all
// will see in the end.
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
	return e.plan.To, min(1, share*spreadReserve)
}

// RecordObservation implements qf.VersionChooser.
func (c *Chooser) RecordObservation(o qf.Observation) {
	e := c.entry(o.Entry)
	if e.plan == nil || o.Forced || o.Cut || (o.Version != e.plan.To && o.Version != e.plan.From) {
		return
	}
	if e.plan.IsActive() {
		e.evidence.add(&o, e.usual, o.Version == e.plan.To, e.plan.Baseline, c.random)
	}
	if o.Version == fallBack(e.plan) {
		e.usual.add(&o)
	}
}

// StopBadVersions looks at this node's evidence, once in each second, and returns the
// versions that it stops from now on.
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

// Evidence returns what this node has seen of an entry's rollout.
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

// ApplyStop implements qf.VersionChooser. A stop is never undone by one with the same
// or a lower epoch, nor by a plan of the same or a lower generation.
func (c *Chooser) ApplyStop(stop qf.RolloutStop) bool {
	e := c.entry(stop.Entry)
	if e.stop.Epoch >= stop.Epoch {
		return false
	}
	e.stop = stop
	return true
}

// ActiveStop returns the stop that holds for an entry's plan, if one does.
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
