package node

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// shareLimits tells the limiter among which nodes limits are shared: those that
// the VM list doesn't say are gone, and those that were heard. A node that is
// only silent may still run requests, so it keeps its share. It is called with
// the lock held.
func (n *Node) shareLimits(now time.Time, peers []qf.Node) {
	live := slices.Clone(n.listedNodes)
	for i := range peers {
		wasHeard := peers[i].Heartbeat > 0
		if wasHeard && !slices.Contains(live, peers[i].ID) {
			live = append(live, peers[i].ID)
		}
	}
	n.limiter.SetNodes(now, qf.NodeID(n.settings.Node.ID), live)
}
