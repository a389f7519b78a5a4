package node

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflease"
	"quetzalfront/internal/qf/protocol/qfholder"
)

// leaseInterval is the time between two updates of the leases.
const leaseInterval = 250 * time.Millisecond

// newLeaseHolder returns the holder of this node's leases.
func newLeaseHolder(n *Node, random *rand.Rand) *qfholder.Holder {
	s := &n.settings.Lease
	return qfholder.New(qfholder.Ports{
		Clock: n.platform.Clock, Table: n.platform.Table, Logger: &n.platform.Logger, Random: random,
		Timing: qflease.Timing{
			Duration: s.Duration.Value(), RenewEvery: s.RenewEvery.Value(),
			RankDelay: s.RankDelay.Value(), ClockMargin: s.ClockMargin,
		},
		Self: func() (qf.NodeID, qf.Incarnation) { return qf.NodeID(n.settings.Node.ID), n.incarnation },
	})
}

// updateLeases acquires and renews the leases that need a holder now.
func (n *Node) updateLeases(ctx context.Context) {
	if n.Phase() != PhaseServing {
		return
	}
	n.mu.Lock()
	var live []qf.NodeID
	for _, node := range n.membership.Nodes(n.now()) {
		if node.State == qf.NodeLive {
			live = append(live, node.ID)
		}
	}
	n.mu.Unlock()
	n.leases.UpdateLeases(ctx, append(n.rolloutDuties(), dutyFleet), live)
}
