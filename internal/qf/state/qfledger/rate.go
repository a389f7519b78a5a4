package qfledger

import (
	"sync/atomic"
	"time"
)

// CommitRate shares the table's writes for the ledger among the nodes.
type CommitRate struct {
	// PerSecond is the number of transactions that all nodes together may make.
	PerSecond int
	// nodes is the number of live nodes; 0 stands for 1.
	nodes atomic.Int64
}

// SetNodes sets the number of live nodes.
func (p *CommitRate) SetNodes(nodes int) { p.nodes.Store(int64(nodes)) }

// MinInterval returns the shortest time between two transactions of one node.
func (p *CommitRate) MinInterval() time.Duration {
	return time.Second * time.Duration(max(p.nodes.Load(), 1)) / time.Duration(max(p.PerSecond, 1))
}
