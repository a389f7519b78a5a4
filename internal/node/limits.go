package node

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// updateLimitNodes sets the nodes among which the limiter divides the limits: those on
// the VM list and those from which a heartbeat was received. An unresponsive node may
// still run requests, so it keeps its share. The caller holds the lock.
func (n *Node) updateLimitNodes(now time.Time, peers []qf.Node) {
	live := slices.Clone(n.listedNodes)
	for i := range peers {
		hasHeartbeat := peers[i].Heartbeat > 0
		if hasHeartbeat && !slices.Contains(live, peers[i].ID) {
			live = append(live, peers[i].ID)
		}
	}
	n.limiter.SetNodes(now, qf.NodeID(n.settings.Node.ID), live)
}
