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

// sweepLedger tells the ledger the number of nodes, and deletes expired records of once-only requests. The first live node
// by name does it; two that both think so do each other no harm.
func (n *Node) sweepLedger(ctx context.Context) {
	live, isFirst := n.rank()
	n.platform.LedgerCommitRate.SetNodes(live)
	if !isFirst {
		return
	}
	next, deleted, err := n.platform.Ledger.DeleteExpired(ctx, n.swept)
	if err != nil {
		return // The next round tries again; an expired record is free meanwhile.
	}
	n.swept = next
	if deleted > 0 {
		qfevent.LedgerSwept.Log(&n.platform.Logger, deleted)
	}
}

// rank returns the number of live nodes and whether this one's name is the first
// among them.
func (n *Node) rank() (live int, isFirst bool) {
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
