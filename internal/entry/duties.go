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
	// dutyAll is the one lease under which a node acts for all.
	dutyAll = "all"
	// dutyStep is the time between two looks at what is due.
	dutyStep = 300 * time.Millisecond
	// leaseRenewals is how many renewals fit into a lease.
	leaseRenewals = 3
	// leaseRankDelay keeps the worse placed candidates back.
	leaseRankDelay = 300 * time.Millisecond
	// clockMargin is by how much the rates of two nodes' clocks may differ.
	clockMargin = 0.02
)

// duties does what one node does for all while the node holds the lease.
type duties struct {
	entry  *Entry
	holder *qfholder.Holder
	// fencing is the number under which the parts below were made; they are made anew
	// with each lease.
	fencing  qf.FencingNumber
	reporter *qfusage.Reporter
	planners map[qf.EntryName]*qffleet.ZonalPlanner
	rollouts *rollouts
	// isRefused is set when an order was refused after the lease had lapsed.
	isRefused bool
	// sizes holds how many endpoints each entry needs, as far as known.
	sizes map[qf.EntryName]int
}

func newDuties(e *Entry) *duties {
	lease := max(e.deployment.Bounds.LeaseFor, time.Second)
	return &duties{entry: e, holder: qfholder.New(qfholder.Ports{
		Clock: e.platform.Clock, Table: e.platform.Table, Logger: &e.platform.Logger, Random: e.fork(),
		Timing: qflease.Timing{
			Duration: lease, RenewEvery: lease / leaseRenewals, RankDelay: leaseRankDelay, ClockMargin: clockMargin,
		},
		Self: func() (qf.NodeID, qf.Incarnation) { return e.deployment.Self.ID, e.deployment.Self.Incarnation },
	})}
}

// loop runs the lease and, while it is held, the duties.
func (d *duties) loop(ctx context.Context) {
	d.entry.every(ctx, dutyStep, d.step)
}

func (d *duties) step(ctx context.Context) {
	e := d.entry
	if !e.isReady() {
		return
	}
	nodes := e.liveNodes()
	live := make([]qf.NodeID, len(nodes))
	for i := range nodes {
		live[i] = nodes[i].ID
		d.holder.RecordRun(nodes[i].ID, nodes[i].Incarnation)
	}
	d.holder.UpdateLeases(ctx, []string{dutyAll}, live)
	fencing, isHeld := d.holder.Held(dutyAll)
	if isHeld && fencing != d.fencing {
		d.begin(fencing)
	}
	if !isHeld && !d.mayActOn() {
		return
	}
	if isHeld {
		d.rollouts.step(ctx)
	}
	if isHeld && e.deployment.HasUsageDuty {
		d.reportUsage(ctx)
	}
	if e.deployment.HasScaleDuty {
		d.orderEndpoints(ctx)
	}
}

// begin makes the parts anew for a lease that was just taken.
func (d *duties) begin(fencing qf.FencingNumber) {
	e := d.entry
	d.fencing, d.isRefused = fencing, false
	now := e.clock.agreed(e.now())
	d.reporter = qfusage.NewReporter(e.governor.usage, now, e.deployment.Bounds.UsageWithin)
	d.planners = map[qf.EntryName]*qffleet.ZonalPlanner{}
	d.rollouts = newRollouts(e)
	d.sizes = map[qf.EntryName]int{}
}

// liveNodes returns the nodes that may hold the lease.
func (e *Entry) liveNodes() []qf.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	var live []qf.Node
	for _, node := range e.membership.Nodes(e.now()) {
		if node.State == qf.NodeLive {
			live = append(live, node)
		}
	}
	return live
}

// mayAct returns the holder to name in a call, if the lease still holds.
func (d *duties) mayAct() (qf.DutyHolder, bool) {
	fencing, isHeld := d.holder.Held(dutyAll)
	return qf.DutyHolder{Node: d.entry.deployment.Self.ID, Fencing: fencing}, isHeld && fencing == d.fencing
}

// mayActOn reports whether the node may act although its lease has lapsed: nobody can
// take it while the store is away, and the platform refuses a number that is too low.
func (d *duties) mayActOn() bool {
	fencing, isClaimed := d.holder.Claimed(dutyAll)
	return d.entry.deployment.ChecksFencing && isClaimed && fencing == d.fencing && !d.isRefused
}

// release gives the lease up, so that another node takes it at once.
func (d *duties) release(ctx context.Context) { d.holder.Release(ctx) }
