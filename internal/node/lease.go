package node

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflease"
	"quetzalfront/internal/qf/protocol/qfholder"
)

const leaseStep = 250 * time.Millisecond

func newLeases(n *Node, random *rand.Rand) *qfholder.Holder {
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

// stepLeases runs the leases of the duties that need a holder now.
func (n *Node) stepLeases(ctx context.Context) {
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
	n.leases.UpdateLeases(ctx, append(n.duties(), dutyFleet), live)
}
