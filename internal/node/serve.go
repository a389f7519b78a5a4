package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/net/netutil"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/qf/transport/qfrpc"
)

const readHeaderTimeout = 10 * time.Second

// Start listens and serves until Stop. It returns once the node's ports are
// open.
func (n *Node) Start() error {
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
	bounded := netutil.LimitListener(callers, n.settings.Request.MaxConnections)
	n.serveHTTP(bounded, qfhttp.NewCallers(n, n.callerBounds()))
	n.serveHTTP(operators, qfhttp.NewOperators(n))
	n.servePeers(peers)
	n.startFeeds()
	qfevent.NodeStarted.Log(&n.platform.Logger, n.settings.Node.ID, addressOf(callers))
	return nil
}

func (n *Node) listen(address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(n.ctx, "tcp", address.String())
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
		ID: qf.NodeID(s.ID), Incarnation: qf.Incarnation(n.now().UnixMilli()),
		Region: qf.Region(s.Region), AvailabilityZone: s.Zone(),
		CallerAddress: callers, PeerAddress: peers, State: qf.NodeLive,
	}, qfmember.Timing{
		SuspectAfter: n.settings.Peer.SuspectAfter.Value(),
		DeadAfter:    n.settings.Peer.DeadAfter.Value(),
	})
	for _, seed := range s.Seeds {
		if seed != peers {
			n.membership.Seed(n.now(), qf.Node{ID: qf.NodeID(seed.String()), PeerAddress: seed, State: qf.NodeSuspect})
		}
	}
}

func (n *Node) callerBounds() qfhttp.Bounds {
	r := &n.settings.Request
	return qfhttp.Bounds{
		MaxBodyBytes: r.MaxBodyBytes, MaxTokens: r.MaxTokens,
		DefaultTimeout: r.DefaultTimeout.Value(), MaxTimeout: r.MaxTimeout.Value(),
		KeepAddressesFor: r.KeepAddressesFor.Value(),
	}
}

func (n *Node) serveHTTP(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: n.settings.Request.MaxHeaderBytes,
	}
	n.servers = append(n.servers, server)
	n.workers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			qfevent.ServerFailed.Log(&n.platform.Logger, listener.Addr().String(), err)
		}
	})
}

func (n *Node) servePeers(listener net.Listener) {
	n.workers.Go(func() {
		if err := qfrpc.Serve(listener, n); err != nil {
			qfevent.ServerFailed.Log(&n.platform.Logger, listener.Addr().String(), err)
		}
	})
}

func (n *Node) startFeeds() {
	feed := &n.settings.Feed
	n.every(feed.CatalogueEvery.Value(), n.pollCatalogue)
	n.every(feed.VMListEvery.Value(), n.pollVMList)
	n.every(feed.NoticesEvery.Value(), n.pollNotices)
	n.every(feed.LoadEvery.Value(), n.pollLoads)
	n.every(feed.LoadEvery.Value(), n.pollCaches)
	n.every(feed.PricesEvery.Value(), n.pollPrices)
	n.every(feed.LoadEvery.Value(), n.logHealth)
	n.every(n.settings.Peer.ExchangeEvery.Value(), n.exchange)
	n.every(time.Second, n.expire)
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
}

// Wait blocks until the node has stopped or the context ends.
func (n *Node) Wait(ctx context.Context) {
	select {
	case <-n.ctx.Done():
	case <-ctx.Done():
	}
}
