package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/qf/transport/qfrpc"
	"quetzalfront/internal/qf/transport/qftls"
)

// urgentCheckInterval is how often a node checks whether it has urgent updates for peers.
const urgentCheckInterval = 100 * time.Millisecond

// readHeaderTimeout limits the time in which a client must send a request's headers.
const readHeaderTimeout = 10 * time.Second

// Start opens the node's ports and serves in the background until Stop. It returns once
// the ports are open.
func (n *Node) Start() error {
	if err := n.loadIdentity(); err != nil {
		return err
	}
	callers, err := n.openListener(n.settings.Node.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := n.openListener(n.settings.Node.PeerAddress)
	if err != nil {
		return err
	}
	operators, err := n.openListener(n.settings.Node.OperatorAddress)
	if err != nil {
		return err
	}
	n.settings.Node.OperatorAddress = addressOf(operators)
	n.initMembership(addressOf(callers), addressOf(peers))
	n.serveCallers(callers)
	n.serveOperators(operators)
	n.servePeers(n.protectListener(peers, "peers", qftls.RoleNode))
	n.startLoops()
	if err := n.telemetry.ObserveState(n.observedState); err != nil {
		return err
	}
	qfevent.NodeStarted.Log(&n.platform.Logger, n.settings.Node.ID, addressOf(callers))
	return nil
}

// openListener opens a port. The node closes it when it stops.
func (n *Node) openListener(address netip.AddrPort) (net.Listener, error) {
	listener, err := n.platform.Network.Listen(n.ctx, address)
	if err != nil {
		qfevent.ServerFailed.Log(&n.platform.Logger, address, err)
		return nil, qf.NewError(qf.CodeUnavailable, qf.StepSettings, address.String(), err.Error())
	}
	n.listeners = append(n.listeners, listener)
	return listener, nil
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

// initMembership creates the membership, which holds only the node itself and its seeds.
func (n *Node) initMembership(callers, peers netip.AddrPort) {
	s := &n.settings.Node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership = qfmember.New(qf.Node{
		ID: qf.NodeID(s.ID), Incarnation: n.incarnation,
		Region: qf.Region(s.Region), AvailabilityZone: s.Zone(),
		CallerAddress: callers, PeerAddress: peers, State: qf.NodeLive,
	}, qfmember.Timing{
		SuspectAfter: n.settings.Peer.SuspectAfter.Value(),
		DeadAfter:    n.settings.Peer.DeadAfter.Value(),

		FullExchangeUpTo: n.settings.Peer.FullExchangeUpTo,
	})
	for _, seed := range s.Seeds {
		if seed != peers {
			n.membership.AddSeed(n.now(), qf.Node{ID: qf.NodeID(seed.String()), PeerAddress: seed, State: qf.NodeSuspect})
		}
	}
}

// callerBounds returns the limits on callers' requests.
func (n *Node) callerBounds() qfhttp.Bounds {
	r := &n.settings.Request
	return qfhttp.Bounds{
		MaxBodyBytes: r.MaxBodyBytes, MaxTokens: r.MaxTokens,
		MaxReaders: r.MaxReaders, DefaultTimeout: r.DefaultTimeout.Value(), MaxTimeout: r.MaxTimeout.Value(),
		KeepAddressesFor: r.KeepAddressesFor.Value(),
	}
}

// serveCallers serves the callers' port, within the limits of the settings.
func (n *Node) serveCallers(listener net.Listener) {
	r := &n.settings.Request
	reporter := qfhttp.NewLimitReporter(n.platform.Clock, &n.platform.Logger, n.telemetry.RecordLimit)
	budget := qfhttp.NewConnectionBudget(n.platform.Clock, r.MaxHeldBytes, reporter.Report)
	server := n.newServer(n.callerHandler())
	n.serveHTTP(listener, server, budget, qfhttp.PortLimits{
		Name: "callers", Connections: r.MaxConnections, ConnectionsOfAddress: r.MaxConnectionsOfAddress,
		HeadBytes: func() int { return r.MaxHeaderBytes },
	})
}

// serveOperators serves the operators' port. Its connections are limited below TLS.
func (n *Node) serveOperators(listener net.Listener) {
	const name = "operators"
	unlimited := qfhttp.NewConnectionBudget(n.platform.Clock, 0, func(qfhttp.LimitBreak) {})
	n.serveHTTP(n.protectListener(listener, name, qftls.RoleOperator), n.newServer(n.operatorHandler()), unlimited, qfhttp.PortLimits{Name: name})
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: n.closeConnectionsWhenLeaving(handler), ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: n.settings.Request.MaxHeaderBytes,
	}
}

// httpServer is the server of a port, and its drain.
type httpServer struct {
	server   *http.Server
	draining *qfhttp.DrainingServer
}

func (n *Node) serveHTTP(listener net.Listener, server *http.Server, budget *qfhttp.ConnectionBudget, limits qfhttp.PortLimits) {
	draining := qfhttp.NewDrainingServer(server, listener, budget, limits)
	n.servers = append(n.servers, &httpServer{server: server, draining: draining})
	n.workers.Go(func() {
		if err := draining.Serve(); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			qfevent.ServerFailed.Log(&n.platform.Logger, listener.Addr().String(), err)
		}
	})
}

// closeConnectionsWhenLeaving wraps a handler so that its responses carry
// "Connection: close" once the node leaves. No client then sends a request over a
// connection that the drain closes.
func (n *Node) closeConnectionsWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Phase() != PhaseServing {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (n *Node) servePeers(listener net.Listener) {
	n.workers.Go(func() {
		if err := qfrpc.Serve(listener, n.telemetry.WrapPeerHandler(n)); err != nil {
			qfevent.ServerFailed.Log(&n.platform.Logger, listener.Addr().String(), err)
		}
	})
}

// startLoops starts the node's periodic loops.
func (n *Node) startLoops() {
	feed := &n.settings.Feed
	n.workers.Add(1)
	go n.pollCatalogueLoop()
	n.runEveryShared(feed.VMListEvery.Value(), n.pollVMList)
	n.runEveryShared(feed.NoticesEvery.Value(), n.pollNotices)
	n.runEvery(feed.LoadEvery.Value(), n.pollLoads)
	n.runEvery(feed.LoadEvery.Value(), n.pollCaches)
	n.runEveryShared(feed.PricesEvery.Value(), n.pollPrices)
	n.runEvery(feed.LoadEvery.Value(), n.logHealth)
	n.runEvery(n.settings.Peer.ExchangeEvery.Value(), n.exchange)
	n.runEvery(leaseInterval, n.updateLeases)
	n.runEvery(rolloutInterval, n.rollouts.step)
	n.runEvery(n.settings.Fleet.PlanEvery.Value(), n.provisioner.step)
	n.runEvery(n.settings.Feed.LoadEvery.Value(), (&orderSender{node: n}).step)
	n.runEvery(moveInterval, n.mover.step)
	n.runEvery(urgentCheckInterval, n.exchangeIfUrgent)
	n.runEvery(time.Second, n.deleteExpired)
	n.watchIdentity()
	n.runEvery(sweepInterval, n.sweepLedger)
}

// Kill stops the node at once, as the loss of its VM would.
func (n *Node) Kill() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.server.Close() // Open connections are closed on purpose.
	}
	for _, l := range n.listeners {
		_ = l.Close() // It may be closed already.
	}
	n.workers.Wait()
	n.running.Wait()
	n.runner.Wait()
	_ = n.telemetry.Shutdown(context.Background()) // Spans that can't be exported are lost.
}

// Wait blocks until the node has stopped or the context ends.
func (n *Node) Wait(ctx context.Context) {
	select {
	case <-n.ctx.Done():
	case <-ctx.Done():
	}
}
