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
	// maxOrderDelay is the longest time between the sending of an order and its arrival.
	maxOrderDelay = 10 * time.Second
	// orderResendDelay is how long an order may take to appear in a load report before it
	// is sent again.
	orderResendDelay = 5 * time.Second
)

// orderSender sends orders to engines while the node holds the dutyFleet lease.
type orderSender struct {
	node    *Node
	planner *qforder.Planner
	fencing qf.FencingNumber
}

// step compares the load reports with the desired states and sends the orders that are
// due.
func (o *orderSender) step(ctx context.Context) {
	n := o.node
	fencing, held := n.leases.Held(dutyFleet)
	if !held || n.isCatalogueStale.Load() {
		o.planner = nil
		return
	}
	now := n.now()
	if o.planner == nil || o.fencing != fencing {
		lease := &n.settings.Lease
		o.planner = qforder.NewPlanner(qforder.Timing{
			MaxLeaseValidity: time.Duration(float64(lease.Duration.Value()) * (1 + lease.ClockMargin)),
			MaxOrderDelay:    maxOrderDelay, ResendAfter: orderResendDelay,
		}, fencing, now)
		o.fencing = fencing
	}
	desired, reports := n.desiredStates()
	for _, action := range o.planner.Plan(now, desired, reports) {
		if _, held := n.leases.Held(dutyFleet); !held {
			return
		}
		o.send(ctx, action)
	}
}

func (o *orderSender) send(ctx context.Context, action qforder.Action) {
	n := o.node
	ctx, cancel := context.WithTimeout(ctx, n.settings.Peer.Timeout.Value())
	defer cancel()
	result := n.platform.Engine.SendOrder(ctx, action.Endpoint, action.Order)
	qfevent.OrderGiven.Log(&n.platform.Logger, action.Endpoint.ID, action.Order.Version, action.Reason.Rule, result.Certainty)
}

// desiredStates returns the state that each engine should be in, which is the one for
// which its VM was started, and the engines' last load reports. It omits leaving engines.
func (n *Node) desiredStates() ([]qforder.DesiredState, map[qf.EndpointID]qf.LoadReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var desired []qforder.DesiredState
	listed := map[qf.EndpointID]bool{}
	for i := range n.endpoints {
		e := n.endpoints[i]
		listed[e.ID] = true
		if e.Kind != qf.KindModelEngine || n.membership.IsDeparting(e.VM, e.Incarnation) || n.loadReports[e.ID].Leaving {
			continue
		}
		e.ChecksFencing = e.ChecksFencing || n.checksFencing(e.Entry, e.Version)
		desired = append(desired, qforder.DesiredState{Endpoint: e, Order: qf.Order{
			Entry: e.Entry, Version: e.Version, Role: qf.EngineMixed,
		}})
	}
	maps.DeleteFunc(n.loadReports, func(id qf.EndpointID, _ qf.LoadReport) bool { return !listed[id] })
	return desired, maps.Clone(n.loadReports)
}

// checksFencing reports whether, according to the catalogue, a version's endpoints check
// fencing numbers.
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
