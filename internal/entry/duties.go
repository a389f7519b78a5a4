package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qffleet"
	"quetzalfront/internal/qf/coordination/qflease"
	"quetzalfront/internal/qf/protocol/qfholder"
	"quetzalfront/internal/qf/state/qfevent"
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
	// usageKeyPrefix begins the rows that fix what is reported of a window.
	usageKeyPrefix = "usage/"
	// sizeKeyPrefix begins the rows that keep how many endpoints an entry needs.
	sizeKeyPrefix = "sizes/"
	// listSettled is how long the list of endpoints must stay as it is before its
	// length counts as what the operator began with.
	listSettled = 1500 * time.Millisecond
	// enoughShare is the part of an entry's endpoints with which it gets along unless
	// first tokens come late.
	enoughShare = 0.67
	// maxOrders bounds the orders of one step.
	maxOrders = 4
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
		Timer: e.platform.Timer, Table: e.platform.Table, Logger: &e.platform.Logger, Random: e.fork(),
		Timing: qflease.Timing{
			Duration: lease, RenewEvery: lease / leaseRenewals, RankDelay: leaseRankDelay, ClockMargin: clockMargin,
		},
		Self: func() (qf.NodeID, qf.Incarnation) { return e.deployment.Self.ID, e.deployment.Self.Incarnation },
	})}
}

// loop runs the lease and, while it is held, the duties.
func (d *duties) loop(ctx context.Context) {
	ticks := d.entry.platform.Timer.Every(dutyStep)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			d.step(ctx)
		}
	}
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
		d.holder.Heard(nodes[i].ID, nodes[i].Incarnation)
	}
	d.holder.Step(ctx, []string{dutyAll}, live)
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

// mayOrder returns the holder to name in an order of endpoints.
func (d *duties) mayOrder() (qf.DutyHolder, bool) {
	holder, isHeld := d.mayAct()
	holder.Fencing = d.fencing
	return holder, isHeld || d.mayActOn()
}

// reportUsage reports one window that is due. What is reported is fixed in a row first,
// so that a successor repeats it and never sends other counts.
func (d *duties) reportUsage(ctx context.Context) {
	e := d.entry
	window, ok := d.reporter.Next(e.clock.agreed(e.now()))
	if !ok {
		return
	}
	report, err := d.fixUsage(ctx, window)
	if err != nil {
		qfevent.UsageReported.Log(&e.platform.Logger, window, d.fencing, qf.NotDone, err)
		return
	}
	holder, ok := d.mayAct()
	if !ok {
		return
	}
	result := e.platform.Duties.ReportUsage(ctx, holder, report)
	if result.Certainty == qf.Done {
		d.reporter.Done(window)
	}
	qfevent.UsageReported.Log(&e.platform.Logger, window, d.fencing, result.Certainty, result.Err)
}

// fixUsage returns what is to be reported of a window: what an earlier holder fixed, or
// else the counts as they are now.
func (d *duties) fixUsage(ctx context.Context, window int64) (qf.UsageReport, error) {
	e := d.entry
	key := fmt.Sprintf("%s%012d", usageKeyPrefix, window)
	row, err := e.platform.Table.Read(ctx, key)
	if err == nil {
		var report qf.UsageReport
		err = json.Unmarshal(row.Value, &report)
		return report, err
	}
	if !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return qf.UsageReport{}, err
	}
	e.governor.mu.Lock()
	report := qf.UsageReport{Window: window, Counts: e.governor.usage.Total(window)}
	e.governor.mu.Unlock()
	value, err := json.Marshal(report)
	if err != nil {
		return report, err
	}
	result := e.platform.Table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(fmt.Sprintf("%s/%d", key, d.fencing)),
		Conditions: []qf.Condition{{Key: key}}, Writes: []qf.Write{{Key: key, Value: value}},
	})
	return report, result.Err
}

// orderEndpoints gives the orders of endpoints that are due.
func (d *duties) orderEndpoints(ctx context.Context) {
	table := d.entry.configuration.Get()
	for i := range table.Configuration.Entries {
		traits := &table.Configuration.Entries[i]
		if traits.Scaling == nil || len(traits.Scaling.Prices) == 0 {
			continue
		}
		for range maxOrders {
			if !d.orderEntry(ctx, traits) {
				break
			}
		}
	}
}

func (d *duties) orderEntry(ctx context.Context, traits *qf.EntryTraits) bool {
	e := d.entry
	size, err := d.size(ctx, traits.Entry)
	if err != nil || size == 0 {
		return false
	}
	planner := d.planners[traits.Entry]
	if planner == nil {
		planner = qffleet.NewZonalPlanner(qffleet.DefaultZonalSettings())
		d.planners[traits.Entry] = planner
	}
	order, ok := planner.Next(&qffleet.ZonalView{
		Now: e.now(), Traits: traits.Scaling, Needed: size, Enough: d.enough(size), Endpoints: e.endpointsOf(traits.Entry),
	})
	if !ok {
		return false
	}
	holder, ok := d.mayOrder()
	if !ok {
		return false
	}
	result := e.platform.Duties.OrderEndpoints(ctx, holder, qf.EndpointOrder{
		Entry: traits.Entry, Zone: order.Zone, Class: order.Class, Desired: order.Desired,
	})
	isRefused := errors.Is(result.Err, &qf.Error{Code: qf.CodeStaleFence})
	planner.Ordered(e.now(), &order, result.Certainty, isRefused)
	if _, isHeld := d.mayAct(); isRefused && !isHeld {
		d.isRefused = true // Perhaps another node holds the lease by now.
	}
	qfevent.EndpointsOrdered.Log(&e.platform.Logger, traits.Entry, order.Zone, order.Class, order.Desired, order.Reason,
		d.fencing, result.Certainty, result.Err)
	return result.Certainty == qf.Done
}

// enough is the number of endpoints for which on-demand ones are paid: what the entry
// would have after the loss of a zone, or all while first tokens come late.
func (d *duties) enough(size int) int {
	if d.entry.placer.isPressed(d.entry.now()) {
		return size
	}
	return int(math.Ceil(float64(size) * enoughShare))
}

// endpointsOf returns the listed endpoints of an entry.
func (e *Entry) endpointsOf(entry qf.EntryName) []qf.ListedEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var listed []qf.ListedEndpoint
	for _, known := range e.registry.All() {
		if known.Entry == entry {
			listed = append(listed, known.ListedEndpoint)
		}
	}
	return listed
}

// size returns how many endpoints an entry needs: as many as the operator began with.
// The first holder writes that down for its successors. It is 0 while it isn't known.
func (d *duties) size(ctx context.Context, entry qf.EntryName) (int, error) {
	if size := d.sizes[entry]; size > 0 {
		return size, nil
	}
	e := d.entry
	key := sizeKeyPrefix + string(entry)
	row, err := e.platform.Table.Read(ctx, key)
	if err == nil {
		var size int
		err = json.Unmarshal(row.Value, &size)
		d.sizes[entry] = size
		return size, err
	}
	if !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return 0, err
	}
	size := e.settledCount(entry)
	if size == 0 {
		return 0, nil
	}
	value, err := json.Marshal(size)
	if err != nil {
		return 0, err
	}
	result := e.platform.Table.Commit(ctx, qf.Transaction{
		ID: qf.TransactionID(key), Conditions: []qf.Condition{{Key: key}}, Writes: []qf.Write{{Key: key, Value: value}},
	})
	if result.Certainty == qf.Done {
		d.sizes[entry] = size
	}
	return d.sizes[entry], result.Err
}

// settledCount counts an entry's endpoints once no new one has come for a while.
func (e *Entry) settledCount(entry qf.EntryName) int {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, known := range e.registry.All() {
		if now.Sub(known.ListedAt) < listSettled {
			return 0
		}
		if known.Entry == entry && !known.Leaving {
			count++
		}
	}
	return count
}

// release gives the lease up, so that another node takes it at once.
func (d *duties) release(ctx context.Context) { d.holder.Release(ctx) }
