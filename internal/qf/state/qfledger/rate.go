package qfledger

import (
	"sync/atomic"
	"time"
)

// CommitRate divides the ledger's rate of transactions among the nodes.
type CommitRate struct {
	// PerSecond is the number of transactions that all nodes together may make.
	PerSecond int
	// nodes is the number of live nodes; 0 counts as 1.
	nodes atomic.Int64
}

// SetNodes sets the number of live nodes.
func (r *CommitRate) SetNodes(nodes int) { r.nodes.Store(int64(nodes)) }

// MinInterval returns the shortest time between two transactions of one node.
func (r *CommitRate) MinInterval() time.Duration {
	return time.Second * time.Duration(max(r.nodes.Load(), 1)) / time.Duration(max(r.PerSecond, 1))
}
