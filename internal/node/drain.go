package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfhandover"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// handOverMargin is how long before a reclaim the requests are handed over.
	handOverMargin = 2 * time.Second
	// newsSpread is how long it takes until no node hands out the address of one
	// that leaves.
	newsSpread = 2 * time.Second
	// leaveStep is how often a leaving node looks whether its time is up.
	leaveStep = 100 * time.Millisecond
)

// Stop ends the node gracefully: it leaves the address answers, serves for as
// long as callers may keep those, then accepts nothing more and hands over or
// finishes what is in progress. A second call changes nothing.
func (n *Node) Stop(reason string) {
	if !n.leave(reason) {
		return
	}
	ctx, cancel := n.untilReclaim()
	defer cancel()
	n.drain(ctx)
	n.Kill()
	qfevent.NodeStopped.Log(&n.platform.Logger, n.settings.Node.ID)
}

// leave does what comes before the drain. It returns false if the node leaves
// already.
func (n *Node) leave(reason string) bool {
	if !n.phase.CompareAndSwap(PhaseServing, PhaseLeaving) {
		return false
	}
	qfevent.NodeLeaving.Log(&n.platform.Logger, n.settings.Node.ID, reason)
	n.mu.Lock()
	n.membership.MarkLeaving()
	n.mu.Unlock()
	shadows := newShadower(n)
	n.workers.Go(func() { shadows.run(n.ctx) })
	n.exchange(n.ctx)
	n.leases.Release(n.ctx)
	n.serveOn(n.now())
	n.phase.Store(PhaseDraining)
	ctx, cancel := n.untilReclaim()
	defer cancel()
	moved := n.handOverAll(ctx, shadows)
	qfevent.NodeDrained.Log(&n.platform.Logger, n.settings.Node.ID, moved)
	return true
}

// serveOn blocks for as long as callers may still come: until the last answer with
// this node's address may not be kept any more, or until the requests must be
// handed over. A reclaim that is announced meanwhile shortens the time.
func (n *Node) serveOn(leftAt time.Time) {
	until := leftAt.Add(n.settings.Request.KeepAddressesFor.Value() + newsSpread)
	for n.ctx.Err() == nil {
		leaveAt := n.leaveAt.Load()
		now := n.now()
		if !now.Before(until) || leaveAt != nil && !now.Before(leaveAt.Add(-handOverMargin)) {
			return
		}
		n.pause(leaveStep)
	}
}

func (n *Node) pause(d time.Duration) {
	s := n.platform.Clock.After(d)
	defer s.Stop()
	select {
	case <-s.C():
	case <-n.ctx.Done():
	}
}

// successors returns the peers that may take requests over.
func (n *Node) successors() []qf.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return qfhandover.Successors(n.membership.Self(), n.membership.Peers(n.now()))
}

// untilReclaim returns a context that ends when the VM is taken, if that is
// known.
func (n *Node) untilReclaim() (context.Context, context.CancelFunc) {
	if leaveAt := n.leaveAt.Load(); leaveAt != nil {
		return context.WithDeadline(n.ctx, *leaveAt)
	}
	return context.WithCancel(n.ctx)
}

// drain waits until the callers have their answers, or until the VM is taken.
func (n *Node) drain(ctx context.Context) {
	for _, s := range n.servers {
		_ = s.Shutdown(ctx) // What is cut after the reclaim is cut by the platform.
	}
}
