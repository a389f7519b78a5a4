package node

import (
	"context"
	"math"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qffleet"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfevent"
)

// dutyFleet is the duty of the one node that buys VMs and gives them up.
const dutyFleet = "fleet"

// stopAfter is how long a drained VM's endpoint must have been known to leave
// before its VM is stopped: every node has heard of it by then.
const stopAfter = 10 * time.Second

// buyer acts on the fleet's plan while the node holds the duty.
type buyer struct {
	node *Node
	// planner is replaced with each new holding, so that its tokens carry the
	// lease's fencing number.
	planner *qffleet.Planner
	fencing qf.FencingNumber
	// drainedAt is when a VM that was given up was first seen without work.
	drainedAt map[qf.VMID]time.Time
}

func newBuyer(n *Node) *buyer {
	return &buyer{node: n, drainedAt: map[qf.VMID]time.Time{}}
}

// step makes one plan and acts on it, if the node holds the duty and its news of
// the catalogue is fresh.
func (b *buyer) step(ctx context.Context) {
	n := b.node
	fencing, held := n.leases.Held(dutyFleet)
	if !held || n.stale.Load() {
		b.planner = nil
		return
	}
	if b.planner == nil || b.fencing != fencing {
		b.planner = qffleet.NewPlanner(qffleet.DefaultSettings(), fencing)
		b.fencing = fencing
	}
	view, err := b.view(ctx)
	if err != nil {
		qfevent.PlatformFailed.Log(&n.platform.Logger, err)
		return
	}
	for _, action := range b.planner.Plan(view) {
		if _, held := n.leases.Held(dutyFleet); !held {
			return
		}
		b.act(ctx, view, action)
	}
	b.stopDrained(ctx, view)
}

// view reads the cloud and the catalogue.
func (b *buyer) view(ctx context.Context) (*qffleet.View, error) {
	n := b.node
	prices, err := n.platform.Cloud.ListPrices(ctx)
	if err != nil {
		return nil, err
	}
	vms, err := n.platform.Cloud.ListVMs(ctx)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range vms {
		if n.membership.IsDeparting(vms[i].ID, vms[i].Incarnation) {
			vms[i].State = qf.VMLeaving
		}
	}
	view := &qffleet.View{Now: n.now(), VMs: vms, Prices: prices}
	entries := n.catalogue.Get().Document.Entries
	for i := range entries {
		view.Needs = append(view.Needs, n.needsOf(&entries[i])...)
	}
	return view, nil
}

// needsOf returns what an entry's versions need. The version that a rollout judges
// needs its share; the one that it comes from is kept whole until the rollout is
// over, and a version that is neither needs nothing. It is called with the lock
// held.
func (n *Node) needsOf(e *qfcatalogue.Entry) []qffleet.EntryNeed {
	judged, part := n.versions.EndpointShare(e.Name)
	settled := e.Target
	if plan := n.versions.Plan(e.Name); plan != nil {
		settled = plan.From
		if plan.Phase == qf.RolloutDone {
			settled = plan.To
		}
	}
	replicas := n.replicasFor(e)
	var needs []qffleet.EntryNeed
	for i := range e.Versions {
		version := e.Versions[i].Name
		need := n.emptyNeed(e, version)
		switch version {
		case settled:
			need.Need.Replicas = replicas
			need.MinReplicas = e.Placement.MinReplicas
		case judged:
			need.Need.Replicas = max(1, int(math.Ceil(part*float64(replicas))))
		}
		needs = append(needs, need)
	}
	return needs
}

func (n *Node) emptyNeed(e *qfcatalogue.Entry, version qf.Version) qffleet.EntryNeed {
	role := qf.RoleModelEngine
	if e.Kind == qf.KindPlainService {
		role = qf.RolePlainService
	}
	return qffleet.EntryNeed{
		Entry: e.Name, Version: version, Role: role, MaxReplicas: e.Placement.MaxReplicas,
		Need: qffleet.Need{
			StartTakes: n.settings.Fleet.StartTakes.Value(),
			MaxPerHour: float64(e.Placement.MaxPricePerHour),
		},
	}
}

// replicasFor returns the replicas at which the entry's load leaves each of them
// no more than its catalogued number of requests.
func (n *Node) replicasFor(e *qfcatalogue.Entry) int {
	least := e.Placement.MinReplicas
	if e.Placement.RequestsPerReplica <= 0 {
		return least
	}
	running := 0
	for i := range n.endpoints {
		if n.endpoints[i].Entry == e.Name {
			running += n.loads[n.endpoints[i].ID]
		}
	}
	return max(least, (running+e.Placement.RequestsPerReplica-1)/e.Placement.RequestsPerReplica)
}

func (b *buyer) act(ctx context.Context, view *qffleet.View, action qffleet.Action) {
	n := b.node
	if action.Kind == qffleet.ActionDrain {
		b.drain(ctx, view, action)
		return
	}
	result := n.platform.Cloud.StartVM(ctx, action.Start)
	b.planner.RecordStartResult(n.now(), action.Start, result.Certainty)
	if result.Certainty != qf.Done {
		qfevent.StartFailed.Log(&n.platform.Logger, action.Start.AvailabilityZone, result.Certainty, result.Err)
		return
	}
	qfevent.VMStarted.Log(&n.platform.Logger, result.Value.ID, action.Start.Entry, action.Start.Version, action.Reason.Rule)
}

// drain tells all nodes that a VM leaves, and its engine to take no more work.
func (b *buyer) drain(ctx context.Context, view *qffleet.View, action qffleet.Action) {
	n := b.node
	for i := range view.VMs {
		vm := &view.VMs[i]
		if vm.ID != action.VM {
			continue
		}
		qfevent.VMDrained.Log(&n.platform.Logger, vm.ID, action.Reason.Rule)
		n.learnDeparture(n.now(), qf.Departure{VM: vm.ID, Incarnation: vm.Incarnation})
		if vm.Role == qf.RoleModelEngine {
			n.platform.Engine.SendOrder(ctx, endpointOf(vm), qf.Order{
				Fencing: b.fencing, Entry: vm.Entry, Version: vm.Version, Role: qf.EngineMixed, Leave: true,
			})
		}
	}
}

// stopDrained stops the VMs that this system gave up and that have no work left.
// VMs that the cloud reclaims stop by themselves.
func (b *buyer) stopDrained(ctx context.Context, view *qffleet.View) {
	n := b.node
	for i := range view.VMs {
		vm := &view.VMs[i]
		if vm.State != qf.VMLeaving || !vm.LeaveAt.IsZero() || vm.Role == qf.RoleEntryNode {
			continue
		}
		if !b.isIdle(ctx, vm) {
			delete(b.drainedAt, vm.ID)
			continue
		}
		since, known := b.drainedAt[vm.ID]
		if !known {
			b.drainedAt[vm.ID] = view.Now
			continue
		}
		if view.Now.Sub(since) >= stopAfter {
			delete(b.drainedAt, vm.ID)
			n.platform.Cloud.StopVM(ctx, vm.ID) // A stop that fails is repeated with the next view.
		}
	}
}

// isIdle asks the endpoint itself, because reports lag.
func (b *buyer) isIdle(ctx context.Context, vm *qf.VM) bool {
	load := b.node.platform.Engine.FetchLoad
	if vm.Role == qf.RolePlainService {
		load = b.node.platform.Service.FetchLoad
	}
	report, err := load(ctx, endpointOf(vm))
	return err == nil && report.Running+report.Queued == 0
}
