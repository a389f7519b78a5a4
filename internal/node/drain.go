package node

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfhandover"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// handOverMargin is how long before a reclaim the node starts to hand over requests.
	handOverMargin = 2 * time.Second
	// departurePropagation is the time after which no node directs callers to a leaving
	// node any more.
	departurePropagation = 2 * time.Second
	// leavePollInterval is how often a leaving node checks whether its drain is due.
	leavePollInterval = 100 * time.Millisecond
	// silentTime is how long a drain waits for requests on connections that have sent nothing.
	silentTime = 5 * time.Second
	// acceptTime is how long a drain accepts connections. It also bounds the wait for the rest of a head.
	acceptTime = silentTime + readHeaderTimeout
)

// Stop stops the node gracefully. It announces that the node leaves, serves for as long
// as callers may cache its address, then accepts nothing more and hands over or finishes
// the requests in progress. Further calls do nothing.
func (n *Node) Stop(reason string) {
	if !n.leave(reason) {
		return
	}
	ctx, cancel := n.contextUntilReclaim()
	defer cancel()
	n.drain(ctx)
	n.Kill()
	qfevent.NodeStopped.Log(&n.platform.Logger, n.settings.Node.ID)
}

// leave announces that the node leaves, serves until the drain is due and hands over the
// requests in progress. It returns false if the node leaves already.
func (n *Node) leave(reason string) bool {
	if !n.phase.CompareAndSwap(PhaseServing, PhaseLeaving) {
		return false
	}
	qfevent.NodeLeaving.Log(&n.platform.Logger, n.settings.Node.ID, reason)
	n.mu.Lock()
	n.membership.MarkLeaving()
	n.mu.Unlock()
	shadows := newShadowReplicator(n)
	n.workers.Go(func() { shadows.run(n.ctx) })
	n.exchange(n.ctx)
	n.leases.Release(n.ctx)
	n.serveUntilDrainDue(n.now())
	n.phase.Store(PhaseDraining)
	ctx, cancel := n.contextUntilReclaim()
	defer cancel()
	moved := n.handOverAll(ctx, shadows)
	qfevent.NodeDrained.Log(&n.platform.Logger, n.settings.Node.ID, moved)
	return true
}

// serveUntilDrainDue blocks until no caller may still cache this node's address, or until
// the requests must be handed over because of a reclaim. A reclaim that is announced
// meanwhile shortens the wait.
func (n *Node) serveUntilDrainDue(leftAt time.Time) {
	until := leftAt.Add(n.settings.Request.KeepAddressesFor.Value() + departurePropagation)
	for n.ctx.Err() == nil {
		reclaimAt := n.reclaimAt.Load()
		now := n.now()
		if !now.Before(until) || reclaimAt != nil && !now.Before(reclaimAt.Add(-handOverMargin)) {
			return
		}
		n.sleep(leavePollInterval)
	}
}

// sleep blocks for a duration of the node's clock or until the node stops.
func (n *Node) sleep(d time.Duration) {
	s := n.platform.Clock.After(d)
	defer s.Stop()
	select {
	case <-s.C():
	case <-n.ctx.Done():
	}
}

// successors returns the peers to which requests may be handed over.
func (n *Node) successors() []qf.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return qfhandover.Successors(n.membership.Self(), n.membership.Peers(n.now()))
}

// contextUntilReclaim returns a context that ends when the VM is reclaimed, if a reclaim
// is announced.
func (n *Node) contextUntilReclaim() (context.Context, context.CancelFunc) {
	if reclaimAt := n.reclaimAt.Load(); reclaimAt != nil {
		return context.WithDeadline(n.ctx, *reclaimAt)
	}
	return context.WithCancel(n.ctx)
}

// drain waits until all callers have their answers, or until the VM is reclaimed.
func (n *Node) drain(ctx context.Context) {
	for _, s := range n.servers {
		n.drainServer(ctx, s)
	}
}

// drainServer answers each request that has come to one port. Connections without a request end after silentTime at the latest,
// and after acceptTime the port is closed whatever comes to it. Requests in progress end by themselves or with the context.
func (n *Node) drainServer(ctx context.Context, s *httpServer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var bound sync.WaitGroup
	bound.Go(func() {
		defer cancel()
		n.shutDownLate(ctx, s)
	})
	s.draining.Drain(&silenceContext{Context: ctx, endsAt: n.now().Add(silentTime)})
	cancel()
	bound.Wait()
}

// shutDownLate closes the port after acceptTime, with connections that have sent only a part of a head, and waits for the requests in
// progress.
func (n *Node) shutDownLate(ctx context.Context, s *httpServer) {
	timer := n.platform.Clock.After(acceptTime)
	defer timer.Stop()
	select {
	case <-timer.C():
		_ = s.server.Shutdown(ctx) // The reclaim closes the connections that are left.
	case <-ctx.Done():
	}
}

// silenceContext is the context of a drain that ends connections without a request some time before it is over: the deadline that it
// states is that of silent connections, and it is done only with the context in it.
type silenceContext struct {
	context.Context
	endsAt time.Time
}

// Deadline implements context.Context.
func (c *silenceContext) Deadline() (time.Time, bool) {
	if deadline, ok := c.Context.Deadline(); ok && deadline.Before(c.endsAt) {
		return deadline, true
	}
	return c.endsAt, true
}
