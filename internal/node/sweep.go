package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// sweepEvery is how often a page of the ledger is swept. A page holds 64 records,
// so that this many a minute can expire without the ledger growing: 64 * 60.
const sweepEvery = time.Second

// sweepLedger deletes expired records of once-only requests. The first live node
// by name does it; two that both think so do each other no harm.
func (n *Node) sweepLedger(ctx context.Context) {
	if !n.isFirst() {
		return
	}
	next, deleted, err := n.platform.Ledger.Sweep(ctx, n.swept)
	if err != nil {
		return // The next round tries again; an expired record is free meanwhile.
	}
	n.swept = next
	if deleted > 0 {
		qfevent.LedgerSwept.Log(&n.platform.Logger, deleted)
	}
}

// isFirst reports whether no live node has a smaller name.
func (n *Node) isFirst() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := qf.NodeID(n.settings.Node.ID)
	for _, node := range n.membership.Nodes(n.now()) {
		if node.State == qf.NodeLive && node.ID < self {
			return false
		}
	}
	return true
}
