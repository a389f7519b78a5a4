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

// dutyFleet is the lease that allows one node to start and drain VMs.
const dutyFleet = "fleet"

// drainedStopDelay is how long a drained VM must be idle before it is stopped. By then
// the departure has reached every node, so that none sends it a request.
const drainedStopDelay = 10 * time.Second

// provisioner starts and drains VMs as the fleet planner decides, while the node holds
// the dutyFleet lease.
type provisioner struct {
	node *Node
	// planner is replaced with each new lease, so that the tokens of its start requests
	// carry the lease's fencing number.
	planner *qffleet.Planner
	fencing qf.FencingNumber
	// idleSince is when a drained VM was first observed without requests.
	idleSince map[qf.VMID]time.Time
}

func newProvisioner(n *Node) *provisioner {
	return &provisioner{node: n, idleSince: map[qf.VMID]time.Time{}}
}

// step plans and applies the actions that are due, if the node holds the lease and its
// catalogue isn't stale.
func (p *provisioner) step(ctx context.Context) {
	n := p.node
	fencing, held := n.leases.Held(dutyFleet)
	if !held || n.isCatalogueStale.Load() {
		p.planner = nil
		return
	}
	if p.planner == nil || p.fencing != fencing {
		p.planner = qffleet.NewPlanner(qffleet.DefaultSettings(), fencing)
		p.fencing = fencing
	}
	view, err := p.readView(ctx)
	if err != nil {
		qfevent.PlatformFailed.Log(&n.platform.Logger, err)
		return
	}
	for _, action := range p.planner.Plan(view) {
		if _, held := n.leases.Held(dutyFleet); !held {
			return
		}
		p.apply(ctx, view, action)
	}
	p.stopDrained(ctx, view)
}

// readView reads the VMs and prices from the cloud, and the needs from the catalogue.
func (p *provisioner) readView(ctx context.Context) (*qffleet.View, error) {
	n := p.node
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
		view.Needs = append(view.Needs, n.entryNeeds(&entries[i])...)
	}
	return view, nil
}

// entryNeeds returns the replicas that an entry's versions need. The version that a
// rollout evaluates needs its share. The version that traffic moves from keeps all its
// replicas until the rollout is done. Any other version needs none. The caller holds the
// lock.
func (n *Node) entryNeeds(e *qfcatalogue.Entry) []qffleet.EntryNeed {
	evaluated, share := n.versionChooser.EndpointShare(e.Name)
	baseline := e.Target
	if plan := n.versionChooser.Plan(e.Name); plan != nil {
		baseline = plan.From
		if plan.Phase == qf.RolloutDone {
			baseline = plan.To
		}
	}
	replicas := n.requiredReplicas(e)
	var needs []qffleet.EntryNeed
	for i := range e.Versions {
		version := e.Versions[i].Name
		need := n.newEntryNeed(e, version)
		switch version {
		case baseline:
			need.Need.Replicas = replicas
			need.MinReplicas = e.Placement.MinReplicas
		case evaluated:
			need.Need.Replicas = max(1, int(math.Ceil(share*float64(replicas))))
		}
		needs = append(needs, need)
	}
	return needs
}

// newEntryNeed returns the need of a version without replicas.
func (n *Node) newEntryNeed(e *qfcatalogue.Entry, version qf.Version) qffleet.EntryNeed {
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

// requiredReplicas returns the least number of replicas at which each runs no more
// requests than the catalogue's RequestsPerReplica. The caller holds the lock.
func (n *Node) requiredReplicas(e *qfcatalogue.Entry) int {
	minReplicas := e.Placement.MinReplicas
	if e.Placement.RequestsPerReplica <= 0 {
		return minReplicas
	}
	running := 0
	for i := range n.endpoints {
		if n.endpoints[i].Entry == e.Name {
			running += n.loads[n.endpoints[i].ID]
		}
	}
	return max(minReplicas, (running+e.Placement.RequestsPerReplica-1)/e.Placement.RequestsPerReplica)
}

func (p *provisioner) apply(ctx context.Context, view *qffleet.View, action qffleet.Action) {
	n := p.node
	if action.Kind == qffleet.ActionDrain {
		p.drain(ctx, view, action)
		return
	}
	result := n.platform.Cloud.StartVM(ctx, action.Start)
	p.planner.RecordStartResult(n.now(), action.Start, result.Certainty)
	if result.Certainty != qf.Done {
		qfevent.StartFailed.Log(&n.platform.Logger, action.Start.AvailabilityZone, result.Certainty, result.Err)
		return
	}
	qfevent.VMStarted.Log(&n.platform.Logger, result.Value.ID, action.Start.Entry, action.Start.Version, action.Reason.Rule)
}

// drain announces a VM's departure to all nodes, and orders its engine to accept no more
// requests.
func (p *provisioner) drain(ctx context.Context, view *qffleet.View, action qffleet.Action) {
	n := p.node
	for i := range view.VMs {
		vm := &view.VMs[i]
		if vm.ID != action.VM {
			continue
		}
		qfevent.VMDrained.Log(&n.platform.Logger, vm.ID, action.Reason.Rule)
		n.recordDeparture(n.now(), qf.Departure{VM: vm.ID, Incarnation: vm.Incarnation})
		if vm.Role == qf.RoleModelEngine {
			n.platform.Engine.SendOrder(ctx, endpointOf(vm), qf.Order{
				Fencing: p.fencing, Entry: vm.Entry, Version: vm.Version, Role: qf.EngineMixed, Leave: true,
			})
		}
	}
}

// stopDrained stops the VMs that this system drained and that are idle. The cloud itself
// stops the VMs that it reclaims.
func (p *provisioner) stopDrained(ctx context.Context, view *qffleet.View) {
	n := p.node
	for i := range view.VMs {
		vm := &view.VMs[i]
		if vm.State != qf.VMLeaving || !vm.LeaveAt.IsZero() || vm.Role == qf.RoleEntryNode {
			continue
		}
		if !p.isIdle(ctx, vm) {
			delete(p.idleSince, vm.ID)
			continue
		}
		since, known := p.idleSince[vm.ID]
		if !known {
			p.idleSince[vm.ID] = view.Now
			continue
		}
		if view.Now.Sub(since) >= drainedStopDelay {
			delete(p.idleSince, vm.ID)
			n.platform.Cloud.StopVM(ctx, vm.ID) // A stop that fails is repeated at a later step.
		}
	}
}

// isIdle reports whether the VM's endpoint has no requests. It polls the endpoint, because
// the stored load reports lag.
func (p *provisioner) isIdle(ctx context.Context, vm *qf.VM) bool {
	fetchLoad := p.node.platform.Engine.FetchLoad
	if vm.Role == qf.RolePlainService {
		fetchLoad = p.node.platform.Service.FetchLoad
	}
	report, err := fetchLoad(ctx, endpointOf(vm))
	return err == nil && report.Running+report.Queued == 0
}
