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

// urgentEvery is how often a node looks whether it has urgent news to pass on.
const urgentEvery = 100 * time.Millisecond

const readHeaderTimeout = 10 * time.Second

// Start listens and serves until Stop. It returns once the node's ports are
// open.
func (n *Node) Start() error {
	if err := n.loadIdentity(); err != nil {
		return err
	}
	callers, err := n.listen(n.settings.Node.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := n.listen(n.settings.Node.PeerAddress)
	if err != nil {
		return err
	}
	operators, err := n.listen(n.settings.Node.OperatorAddress)
	if err != nil {
		return err
	}
	n.settings.Node.OperatorAddress = addressOf(operators)
	n.join(addressOf(callers), addressOf(peers))
	bounded := qfhttp.LimitCallerConnections(n.platform.Timer, callers, n.settings.Request.MaxConnections)
	n.serveHTTP(bounded, n.callersHandler())
	n.serveHTTP(n.protect(operators, "operators", qftls.RoleOperator), n.operatorsHandler())
	n.servePeers(n.protect(peers, "peers", qftls.RoleNode))
	n.startFeeds()
	if err := n.telemetry.ObserveState(n.observedState); err != nil {
		return err
	}
	qfevent.NodeStarted.Log(&n.platform.Logger, n.settings.Node.ID, addressOf(callers))
	return nil
}

func (n *Node) listen(address netip.AddrPort) (net.Listener, error) {
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

// join makes the node a member that knows only itself and its seeds.
func (n *Node) join(callers, peers netip.AddrPort) {
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

func (n *Node) callerBounds() qfhttp.Bounds {
	r := &n.settings.Request
	return qfhttp.Bounds{
		MaxBodyBytes: r.MaxBodyBytes, MaxTokens: r.MaxTokens,
		MaxReaders: r.MaxReaders, DefaultTimeout: r.DefaultTimeout.Value(), MaxTimeout: r.MaxTimeout.Value(),
		KeepAddressesFor: r.KeepAddressesFor.Value(),
	}
}

func (n *Node) serveHTTP(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: n.closing(handler), ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: n.settings.Request.MaxHeaderBytes,
	}
	n.servers = append(n.servers, server)
	n.workers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			qfevent.ServerFailed.Log(&n.platform.Logger, listener.Addr().String(), err)
		}
	})
}

// closing tells clients to close their connections once the node leaves, so that
// none of them sends a request over a connection that the drain closes.
func (n *Node) closing(handler http.Handler) http.Handler {
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

func (n *Node) startFeeds() {
	feed := &n.settings.Feed
	n.workers.Add(1)
	go n.followCatalogue()
	n.everyShared(feed.VMListEvery.Value(), n.pollVMList)
	n.everyShared(feed.NoticesEvery.Value(), n.pollNotices)
	n.every(feed.LoadEvery.Value(), n.pollLoads)
	n.every(feed.LoadEvery.Value(), n.pollCaches)
	n.everyShared(feed.PricesEvery.Value(), n.pollPrices)
	n.every(feed.LoadEvery.Value(), n.logHealth)
	n.every(n.settings.Peer.ExchangeEvery.Value(), n.exchange)
	n.every(leaseStep, n.stepLeases)
	n.every(rolloutStep, n.rollouts.step)
	n.every(n.settings.Fleet.PlanEvery.Value(), n.buyer.step)
	n.every(n.settings.Feed.LoadEvery.Value(), (&orderer{node: n}).step)
	n.every(moveEvery, n.mover.step)
	n.every(urgentEvery, n.spreadNews)
	n.every(time.Second, n.expire)
	n.followIdentity()
	n.every(sweepEvery, n.sweepLedger)
}

// Kill ends the node at once, as a lost VM does.
func (n *Node) Kill() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close() // Connections are cut on purpose.
	}
	for _, l := range n.listeners {
		_ = l.Close() // It may be closed already.
	}
	n.workers.Wait()
	n.running.Wait()
	_ = n.telemetry.Shutdown(context.Background()) // Spans that can't be exported are lost.
}

// Wait blocks until the node has stopped or the context ends.
func (n *Node) Wait(ctx context.Context) {
	select {
	case <-n.ctx.Done():
	case <-ctx.Done():
	}
}
