package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// newCallerServer returns a server whose requests end when their callers leave.
func (e *Entry) newCallerServer(handler http.Handler, listener net.Listener, limits qfhttp.PortLimits) *qfhttp.DrainingServer {
	server := newServer(e.callers.Handler(handler))
	server.ConnContext = e.callers.ConnContext
	limits.Reuse = connectionReuse
	return qfhttp.NewDrainingServer(server, listener, e.connectionBudget, limits)
}

// Stop shuts the node down: it announces its leaving, lets callers move to other nodes and
// finishes the requests in progress within the grace. Nothing that waits for others delays the drain.
func (e *Entry) Stop(ctx context.Context) {
	stopAt := e.now()
	qfevent.NodeLeaving.Log(&e.platform.Logger, e.deployment.Self.ID, "signal")
	e.isLeaving.Store(true)
	e.mu.Lock()
	e.membership.MarkLeaving()
	e.mu.Unlock()
	e.background.Go(func() { e.register(ctx) })
	var handedOver sync.WaitGroup
	handedOver.Go(func() { e.handOver(ctx) })
	e.sleep(ctx, leaveDelay)
	e.drainServers(ctx, stopAt.Add(e.deployment.Bounds.StopGrace-stopMargin))
	handedOver.Wait()
	e.endServing(ctx, stopAt.Add(e.deployment.Bounds.StopGrace-exitMargin))
	e.stopLoops()
	_ = e.servers.peers.Close()
	qfevent.NodeStopped.Log(&e.platform.Logger, e.deployment.Self.ID)
}

// handOver passes on what other nodes need of one that leaves: its state, its usage and its lease.
func (e *Entry) handOver(ctx context.Context) {
	e.exchangeWithPeers(ctx)
	e.flushUsage(ctx)
	e.duties.releaseLease(ctx)
}

// drainServers waits for the requests in progress, of callers and of other nodes, until the time at which it aborts them. The
// listener of peers stays open until the end. Requests that come on open connections are answered too.
func (e *Entry) drainServers(ctx context.Context, abortsAt time.Time) {
	e.abortsAt.Store(&abortsAt)
	ctx, cancel := context.WithTimeout(ctx, max(abortsAt.Sub(e.now()), 0))
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { e.drainServer(ctx, callersPort, e.servers.callers) })
	wait.Go(func() { e.drainServer(ctx, forwardsPort, e.servers.forwards) })
	wait.Wait()
}

// exitMargin is the time before the end of the grace that is left for the last lines of the log.
const exitMargin = 100 * time.Millisecond

// endServing sends the last usage and drains the ports that serve until the node's end, no longer than until a time.
func (e *Entry) endServing(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithTimeout(ctx, max(until.Sub(e.now()), 0))
	defer cancel()
	var others sync.WaitGroup
	others.Go(func() { e.drainOthers(ctx) })
	e.flushUsage(ctx)
	others.Wait()
}

// othersDrainTime bounds the drain of the ports that serve until the node's end.
const othersDrainTime = 300 * time.Millisecond

// drainOthers answers what has come to the ports that serve until the node's end.
func (e *Entry) drainOthers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, othersDrainTime)
	defer cancel()
	var wait sync.WaitGroup
	for _, server := range e.servers.others {
		wait.Go(func() { server.Drain(ctx) })
	}
	wait.Wait()
}

// drainServer drains the server of a port and logs how its connections ended.
func (e *Entry) drainServer(ctx context.Context, port string, server *qfhttp.DrainingServer) {
	beganAt := e.now()
	r := server.Drain(ctx)
	qfevent.PortDrained.Log(&e.platform.Logger, port, r.Open, r.Idle, r.IsQueued, r.Unread, r.Accepted, r.Answered, r.Aborted, e.now().Sub(beganAt).String())
}

// servesUntil implements ServesUntil of the forwarder's ports.
func (e *Entry) servesUntil() time.Time {
	if at := e.abortsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
