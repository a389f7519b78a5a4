package node

import (
	"context"
	"maps"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qforder"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// orderUnderWay is how long an order can be under way after its holder gave it.
	orderUnderWay = 10 * time.Second
	// orderRepeat is how long an order may take to show in a report.
	orderRepeat = 5 * time.Second
)

// orderer gives orders to engines while the node holds the duty of the fleet.
type orderer struct {
	node    *Node
	planner *qforder.Planner
	fencing qf.FencingNumber
}

// step compares the reports with what is wanted and gives the orders that are due.
func (o *orderer) step(ctx context.Context) {
	n := o.node
	fencing, held := n.leases.Held(dutyFleet)
	if !held || n.stale.Load() {
		o.planner = nil
		return
	}
	now := n.now()
	if o.planner == nil || o.fencing != fencing {
		lease := &n.settings.Lease
		o.planner = qforder.NewPlanner(qforder.Timing{
			MaxLeaseValidity: time.Duration(float64(lease.Duration.Value()) * (1 + lease.ClockMargin)),
			MaxOrderDelay:    orderUnderWay, ResendAfter: orderRepeat,
		}, fencing, now)
		o.fencing = fencing
	}
	wishes, reports := n.wishes()
	for _, action := range o.planner.Plan(now, wishes, reports) {
		if _, held := n.leases.Held(dutyFleet); !held {
			return
		}
		o.give(ctx, action)
	}
}

func (o *orderer) give(ctx context.Context, action qforder.Action) {
	n := o.node
	ctx, cancel := context.WithTimeout(ctx, n.settings.Peer.Timeout.Value())
	defer cancel()
	result := n.platform.Engine.SendOrder(ctx, action.Endpoint, action.Order)
	qfevent.OrderGiven.Log(&n.platform.Logger, action.Endpoint.ID, action.Order.Version, action.Reason.Rule, result.Certainty)
}

// wishes returns the state that each engine should be in, which is that for which
// its VM was started, and what the engines last reported. Leaving engines are left
// alone.
func (n *Node) wishes() ([]qforder.DesiredState, map[qf.EndpointID]qf.LoadReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var wishes []qforder.DesiredState
	listed := map[qf.EndpointID]bool{}
	for i := range n.endpoints {
		e := n.endpoints[i]
		listed[e.ID] = true
		if e.Kind != qf.KindModelEngine || n.membership.IsDeparting(e.VM, e.Incarnation) || n.reports[e.ID].Leaving {
			continue
		}
		e.ChecksFencing = e.ChecksFencing || n.checksFencing(e.Entry, e.Version)
		wishes = append(wishes, qforder.DesiredState{Endpoint: e, Order: qf.Order{
			Entry: e.Entry, Version: e.Version, Role: qf.EngineMixed,
		}})
	}
	maps.DeleteFunc(n.reports, func(id qf.EndpointID, _ qf.LoadReport) bool { return !listed[id] })
	return wishes, maps.Clone(n.reports)
}

// checksFencing reports what the catalogue says of a version's endpoints.
func (n *Node) checksFencing(entry qf.EntryName, version qf.Version) bool {
	e := n.catalogue.Get().Document.Entry(entry)
	if e == nil {
		return false
	}
	for i := range e.Versions {
		if e.Versions[i].Name == version {
			return e.Versions[i].ChecksFencing
		}
	}
	return false
}
