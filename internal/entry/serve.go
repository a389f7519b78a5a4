package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/qf/transport/qfrpc"
)

const (
	// headerTimeout bounds the reading of a request's header where no configuration does.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than clients keep idle connections where no configuration says, so that their
	// requests don't cross its close.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes is above what any configuration allows so far.
	maxHeaderBytes = 64 << 10
	// leaveDelay is how long a stopping node still accepts connections, until callers
	// have new addresses.
	leaveDelay = 2500 * time.Millisecond
	// connectionReuse is how long after an answer its caller, or the node that passed the request on, may use the connection again. It
	// is below leaveDelay: nobody uses a connection any more that a drain ends.
	connectionReuse = 2 * time.Second
	// stopMargin is the time before the end of the grace at which remaining requests are aborted.
	stopMargin = 400 * time.Millisecond
	// addressLifetime is how long callers keep the returned addresses.
	addressLifetime = 2 * time.Second
)

// The names of ports in the log.
const (
	callersPort  = "callers"
	forwardsPort = "forwards"
)

// servers are the node's listeners.
type servers struct {
	callers *qfhttp.DrainingServer
	// others serves the probes of readiness, the lookups of addresses and the metrics, until the node's end.
	others []*qfhttp.DrainingServer
	peers  io.Closer
	// forwards serves requests that other nodes pass on, on the listener of peers.
	forwards *qfhttp.DrainingServer
	// running counts the serving goroutines.
	running sync.WaitGroup
}

func (e *Entry) listen(ctx context.Context) error {
	d := &e.deployment
	forward := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inProgress.Add(1)
		defer e.inProgress.Add(-1)
		e.forwarder.ServeHTTP(w, r)
	})
	listener, err := e.openListener(ctx, d.Self.CallerAddress)
	if err != nil {
		return err
	}
	e.servers.callers = e.newCallerServer(forward, listener, e.callerLimits())
	e.runServer(d.Self.CallerAddress, e.servers.callers.Serve)
	others := []struct {
		address netip.AddrPort
		handler http.Handler
		limits  qfhttp.PortLimits
	}{
		{d.ReadyAddress, e.platform.ReadyHandler(e.isReady), e.portLimits("readiness", readyShare)},
		{d.DirectoryAddress, e.platform.DirectoryHandler(e.callerAddresses), e.portLimits("directory", directoryShare)},
		{d.MetricsAddress, e.metricsHandler(), e.portLimits("metrics", metricsShare)},
	}
	for _, other := range others {
		if other.handler == nil {
			continue
		}
		listener, err := e.openListener(ctx, other.address)
		if err != nil {
			return err
		}
		server := qfhttp.NewDrainingServer(newServer(other.handler), listener, e.connectionBudget, other.limits)
		e.servers.others = append(e.servers.others, server)
		e.runServer(other.address, server.Serve)
	}
	return e.listenPeers(ctx)
}

// metricsHandler returns nil without telemetry.
func (e *Entry) metricsHandler() http.Handler {
	if e.platform.Telemetry == nil {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.platform.Telemetry.MetricsHandler())
	mux.Handle("GET /metrics/runtime", e.platform.Telemetry.RuntimeMetricsHandler())
	return mux
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// openListener listens at an address.
func (e *Entry) openListener(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := e.platform.Network.Listen(ctx, address)
	if err != nil {
		return nil, &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepSettings, Peer: address.String(), Reason: "can't listen on the address", Cause: err}
	}
	return listener, nil
}

// runServer serves an address in the background, and logs why the server has ended, unless the node has closed it.
func (e *Entry) runServer(address netip.AddrPort, serve func() error) {
	e.servers.running.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			qfevent.ServerFailed.Log(&e.platform.Logger, address, err)
		}
	})
}

func (e *Entry) listenPeers(ctx context.Context) error {
	address := e.deployment.Self.PeerAddress
	listener, err := e.openListener(ctx, address)
	if err != nil {
		return err
	}
	split := qfrpc.Split(e.platform.Clock, listener, func(err error) {
		qfevent.AcceptFailed.Log(&e.platform.Logger, address, err)
	})
	e.servers.peers = split
	calls := e.connectionBudget.GuardMessages(split.Calls(), e.peerLimits("peers", peerCallShare))
	e.runServer(address, func() error { return qfrpc.Serve(calls, e) })
	e.servers.forwards = e.newCallerServer(http.HandlerFunc(e.servePeer), split.Forwards(), e.peerLimits(forwardsPort, forwardShare))
	e.runServer(address, e.servers.forwards.Serve)
	return nil
}

// servePeer serves a request that another node passes on.
func (e *Entry) servePeer(w http.ResponseWriter, r *http.Request) {
	e.peerRouter.fromPeers.Add(1)
	defer e.peerRouter.fromPeers.Add(-1)
	e.forwarder.ServePeer(w, r)
}

// callerAddresses returns the addresses of the nodes that a caller should use: those of its
// zone, else of its region, else all. Traffic between regions costs money, and callers pick an
// address at random.
func (e *Entry) callerAddresses(region qf.Region, zone qf.AvailabilityZone) ([]netip.AddrPort, time.Duration) {
	now := e.now()
	e.mu.Lock()
	nodes, isGrouped := e.membership.Nodes(now), e.membership.IsGrouped()
	e.mu.Unlock()
	cutOff := e.listCutOff(now)
	var inZone, inRegion, all, withoutLinks []netip.AddrPort
	for i := range nodes {
		n := &nodes[i]
		isSelf := n.ID == e.deployment.Self.ID
		if isSelf && !e.isReady() || !isSelf && (n.State != qf.NodeLive || isStarting(n, isGrouped)) {
			continue
		}
		if cutOff[n.ID] {
			withoutLinks = append(withoutLinks, n.CallerAddress)
			continue
		}
		all = append(all, n.CallerAddress)
		if n.Region == region {
			inRegion = append(inRegion, n.CallerAddress)
		}
		if n.AvailabilityZone == zone {
			inZone = append(inZone, n.CallerAddress)
		}
	}
	keepFor := addressLifetime
	if bound := e.deployment.Bounds.AddressesFor; bound > 0 {
		keepFor = min(keepFor, bound)
	}
	for _, list := range [][]netip.AddrPort{inZone, inRegion, all} {
		if len(list) > 0 {
			return list, keepFor
		}
	}
	return withoutLinks, keepFor
}

// listCutOff returns the nodes that reach no endpoints. Requests at them take one more hop.
func (e *Entry) listCutOff(now time.Time) map[qf.NodeID]bool {
	cutOff := e.peerRouter.listCutOff(now)
	if _, isAll := e.monitor.listCutOff(); isAll {
		cutOff[e.deployment.Self.ID] = true
	}
	return cutOff
}
