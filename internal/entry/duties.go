package entry

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qffleet"
	"quetzalfront/internal/qf/coordination/qflease"
	"quetzalfront/internal/qf/protocol/qfholder"
	"quetzalfront/internal/qf/state/qfusage"
)

const (
	// fleetDutyLease is the lease whose holder does the duties of the fleet.
	fleetDutyLease = "all"
	// dutyInterval is the time between two checks for due work.
	dutyInterval = 300 * time.Millisecond
	// renewalsPerLease is the number of renewals in the duration of a lease.
	renewalsPerLease = 3
	// leaseRankDelay delays the claim of each lower-ranked candidate, so that they don't compete.
	leaseRankDelay = 300 * time.Millisecond
	// maxClockDrift is the largest relative difference in rate between two nodes' clocks.
	maxClockDrift = 0.02
)

// duties does the duties of the fleet while the node holds the lease.
type duties struct {
	entry  *Entry
	holder *qfholder.Holder
	// fencing is the fencing number of the lease for which the fields below were created;
	// they are created anew with each lease.
	fencing  qf.FencingNumber
	reporter *qfusage.Reporter
	planners map[qf.EntryName]*qffleet.ZonalPlanner
	rollouts *rolloutDriver
	// suspicionStore stores the suspicions while the lease is held.
	suspicionStore *suspicionStore
	// isOrderRefused is set once an order was refused after the lease had expired.
	isOrderRefused bool
	// desiredSizes holds the number of endpoints that each entry needs, where known.
	desiredSizes map[qf.EntryName]int
	// storedSizes holds the entries whose number is known to be in the store. It is reset with
	// each lease, because a later era of the store may lack the row.
	storedSizes map[qf.EntryName]bool
	// frozen holds the reports of the latest windows that this node has stored.
	frozen map[int64]qf.UsageReport
}

func newDuties(e *Entry) *duties {
	lease := max(e.deployment.Bounds.LeaseFor, time.Second)
	return &duties{entry: e, frozen: map[int64]qf.UsageReport{}, desiredSizes: map[qf.EntryName]int{}, holder: qfholder.New(qfholder.Ports{
		Clock: e.platform.Clock, Table: e.platform.Table, Logger: &e.platform.Logger, Random: e.newRandom(),
		Timing: qflease.Timing{
			Duration: lease, RenewEvery: lease / renewalsPerLease, RankDelay: leaseRankDelay, ClockMargin: maxClockDrift,
		},
		Eras: e.platform.Eras, IsFirstStart: e.deployment.FirstStart,
		Self: func() (qf.NodeID, qf.Incarnation) { return e.deployment.Self.ID, e.deployment.Self.Incarnation },
	})}
}

// run maintains the lease and does the duties while it is held.
func (d *duties) run(ctx context.Context) {
	d.entry.runEvery(ctx, dutyInterval, d.step)
}

func (d *duties) step(ctx context.Context) {
	e := d.entry
	if !e.isReady() {
		return
	}
	live, incarnations := e.liveNodes()
	for i := range live {
		d.holder.RecordRun(live[i], incarnations[i])
	}
	d.holder.UpdateLeases(ctx, []string{fleetDutyLease}, live)
	fencing, isHeld := d.holder.Held(fleetDutyLease)
	if isHeld && fencing != d.fencing {
		d.startTerm(fencing)
	}
	if !isHeld && !d.mayActAfterExpiry() {
		return
	}
	if isHeld {
		d.rollouts.step(ctx)
		d.suspicionStore.step(ctx)
	}
	if isHeld && e.deployment.HasUsageDuty {
		d.reportUsage(ctx)
	}
	if e.deployment.HasScaleDuty {
		d.orderEndpoints(ctx)
	}
}

// startTerm resets the state of the duties for a newly acquired lease.
func (d *duties) startTerm(fencing qf.FencingNumber) {
	e := d.entry
	d.fencing, d.isOrderRefused = fencing, false
	now := e.fleetClock.fleetTime(e.now())
	d.reporter = qfusage.NewReporter(e.admission.usage, now, e.deployment.Bounds.UsageWithin)
	d.planners = map[qf.EntryName]*qffleet.ZonalPlanner{}
	d.rollouts = newRolloutDriver(e)
	d.suspicionStore = newSuspicionStore(e)
	d.storedSizes = map[qf.EntryName]bool{}
}

// liveNodes returns the nodes that may hold the lease, and the incarnation of each.
func (e *Entry) liveNodes() ([]qf.NodeID, []qf.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var live []qf.NodeID
	var incarnations []qf.Incarnation
	add := func(node *qf.Node, state qf.NodeState) {
		if state == qf.NodeLive {
			live, incarnations = append(live, node.ID), append(incarnations, node.Incarnation)
		}
	}
	self := e.membership.Self()
	add(&self, self.State)
	e.membership.VisitPeers(e.now(), add)
	return live, incarnations
}

// leaseHolder returns the holder to name in a call, and whether the lease is still valid.
func (d *duties) leaseHolder() (qf.DutyHolder, bool) {
	fencing, isHeld := d.holder.Held(fleetDutyLease)
	return qf.DutyHolder{Node: d.entry.deployment.Self.ID, Fencing: fencing}, isHeld && fencing == d.fencing
}

// mayActAfterExpiry reports whether the node may act although its lease has expired: no other
// node can acquire it while the store is unavailable, and the platform refuses a stale fencing
// number.
func (d *duties) mayActAfterExpiry() bool {
	fencing, isClaimed := d.holder.Claimed(fleetDutyLease)
	return d.entry.deployment.ChecksFencing && isClaimed && fencing == d.fencing && !d.isOrderRefused
}

// releaseLease releases the lease, so that another node can acquire it at once.
func (d *duties) releaseLease(ctx context.Context) { d.holder.Release(ctx) }
