package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
)

// handOverMargin is how long before a reclaim the requests are handed over.
const handOverMargin = 2 * time.Second

// Stop ends the node gracefully: it leaves the address answers, serves for as
// long as callers may keep those, then accepts nothing more and hands over or
// finishes what is in progress. A second call changes nothing.
func (n *Node) Stop(reason string) {
	if !n.phase.CompareAndSwap(PhaseServing, PhaseLeaving) {
		return
	}
	qfevent.NodeLeaving.Log(&n.platform.Logger, n.settings.Node.ID, reason)
	n.mu.Lock()
	n.membership.Leave()
	n.mu.Unlock()
	n.exchange(n.ctx)
	n.leases.release(n.ctx)
	n.pause(n.leavingTime())
	n.phase.Store(PhaseDraining)
	moved := n.handOverAll()
	qfevent.NodeDrained.Log(&n.platform.Logger, n.settings.Node.ID, moved)
	n.drain()
	n.Kill()
	qfevent.NodeStopped.Log(&n.platform.Logger, n.settings.Node.ID)
}

// leavingTime is how long the node goes on serving after it left the answers.
func (n *Node) leavingTime() time.Duration {
	keep := n.settings.Request.KeepAddressesFor.Value()
	leaveAt := n.leaveAt.Load()
	if leaveAt == nil {
		return keep
	}
	return max(0, min(keep, leaveAt.Sub(n.now())-handOverMargin))
}

func (n *Node) pause(d time.Duration) {
	s := n.platform.Timer.After(d)
	defer s.Stop()
	select {
	case <-s.C():
	case <-n.ctx.Done():
	}
}

// handOverAll moves the requests in progress to peers in other availability
// zones and returns how many were taken.
func (n *Node) handOverAll() int {
	moved := 0
	for i, record := range n.records.Open() {
		peers := n.successors()
		if len(peers) == 0 {
			return moved
		}
		if n.handOver(record, peers, i) {
			moved++
		}
	}
	return moved
}

// successors returns the live peers, those in other zones first.
func (n *Node) successors() []qf.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others, same []qf.Node
	for _, peer := range n.membership.Peers(n.now()) {
		switch {
		case peer.State != qf.NodeLive || !peer.CallerAddress.IsValid():
		case peer.AvailabilityZone == n.settings.Node.Zone():
			same = append(same, peer)
		default:
			others = append(others, peer)
		}
	}
	return append(others, same...)
}

// handOver releases one request and offers it to the peers in turn, starting
// with a different one for each request so that they are spread.
func (n *Node) handOver(record *qfrequest.Record, peers []qf.Node, turn int) bool {
	released, ok := record.Release(n.now())
	if !ok {
		return false
	}
	for i := range peers {
		peer := peers[(turn+i)%len(peers)]
		result := n.platform.Peer.HandOver(n.ctx, peer.PeerAddress, []qf.RequestRecord{released})
		if result.Certainty == qf.Done && len(result.Value) == 1 {
			record.MoveTo(n.now(), peer)
			return true
		}
		if result.Err != nil {
			qfevent.HandOverFailed.Log(&n.platform.Logger, peer.ID, result.Err)
		}
	}
	record.Restore(n.settings.Request.MaxAttempts)
	n.records.Reopened()
	n.run(record)
	return false
}

// drain waits until the callers have their answers, or until the VM is taken.
func (n *Node) drain() {
	ctx := n.ctx
	if leaveAt := n.leaveAt.Load(); leaveAt != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, *leaveAt)
		defer cancel()
	}
	for _, s := range n.servers {
		_ = s.Shutdown(ctx) // What is cut after the reclaim is cut by the platform.
	}
}
