package qfledger

import (
	"sync/atomic"
	"time"
)

// Pace shares the table's writes for the ledger among the nodes.
type Pace struct {
	// PerSecond is the number of transactions that all nodes together may make.
	PerSecond int
	// nodes is the number of live nodes; 0 stands for 1.
	nodes atomic.Int64
}

// SetNodes sets the number of live nodes.
func (p *Pace) SetNodes(nodes int) { p.nodes.Store(int64(nodes)) }

// Every returns the shortest time between two transactions of one node.
func (p *Pace) Every() time.Duration {
	return time.Second * time.Duration(max(p.nodes.Load(), 1)) / time.Duration(max(p.PerSecond, 1))
}
