package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// sweepInterval is the time between two sweeps of a page of the ledger. A page holds 64
// records, so the ledger doesn't grow as long as at most 64 * 60 records expire per
// minute.
const sweepInterval = time.Second

// sweepLedger sets the number of nodes that share the ledger's commit rate, and deletes
// expired records of once-only requests. Only the first live node by name deletes; two
// nodes that do so at once don't interfere.
func (n *Node) sweepLedger(ctx context.Context) {
	live, isFirst := n.rankAmongLive()
	n.platform.LedgerCommitRate.SetNodes(live)
	if !isFirst {
		return
	}
	next, deleted, err := n.platform.Ledger.DeleteExpired(ctx, n.sweepCursor)
	if err != nil {
		return // The next sweep tries again; the key of an expired record is free already.
	}
	n.sweepCursor = next
	if deleted > 0 {
		qfevent.LedgerSwept.Log(&n.platform.Logger, deleted)
	}
}

// rankAmongLive returns the number of live nodes, and whether this node's name is the first
// of them.
func (n *Node) rankAmongLive() (live int, isFirst bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	live, isFirst = 1, true
	self := qf.NodeID(n.settings.Node.ID)
	for _, node := range n.membership.Peers(n.now()) {
		if node.State != qf.NodeLive {
			continue
		}
		live++
		isFirst = isFirst && self < node.ID
	}
	return live, isFirst
}
