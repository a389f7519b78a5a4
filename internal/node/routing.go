package node

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// inFlightLoads returns the load that this node has in progress at each endpoint, for
// peers. The caller holds the lock.
func (n *Node) inFlightLoads(now time.Time) []qf.InFlightLoad {
	loads := n.router.ReportInFlight(now)
	for i := range loads {
		loads[i].Node = qf.NodeID(n.settings.Node.ID)
	}
	return loads
}

// pollPrices reads the prices of VMs.
func (n *Node) pollPrices(ctx context.Context) {
	prices, err := n.platform.Cloud.ListPrices(ctx)
	if err != nil {
		n.logPlatformFailure(ctx, err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.router.SetPrices(prices)
}

// cacheFollower is a router that tracks the engines' cache events.
type cacheFollower interface {
	// CacheSequence returns the sequence number of an endpoint's last applied event.
	CacheSequence(endpoint qf.EndpointID) uint64
}

// pollCaches fetches the events of all engines' prefix caches.
func (n *Node) pollCaches(ctx context.Context) {
	follower, ok := n.router.(cacheFollower)
	if !ok {
		return
	}
	n.mu.Lock()
	endpoints := n.endpoints
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Peer.Timeout.Value())
	defer cancel()
	var polls sync.WaitGroup
	for _, e := range endpoints {
		if e.Kind == qf.KindModelEngine {
			polls.Go(func() { n.pollCache(ctx, e, follower) })
		}
	}
	polls.Wait()
}

func (n *Node) pollCache(ctx context.Context, endpoint qf.Endpoint, follower cacheFollower) {
	n.mu.Lock()
	after := follower.CacheSequence(endpoint.ID)
	n.mu.Unlock()
	events, err := n.platform.Engine.FetchCacheEvents(ctx, endpoint, after)
	if err != nil {
		return // The next poll continues after the same event.
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, event := range events {
		n.router.ApplyCacheEvent(event)
	}
}

// logHealth logs the endpoints that were ejected, are tried again or returned to use.
func (n *Node) logHealth(context.Context) {
	n.mu.Lock()
	changes := n.router.TakeHealthChanges()
	n.mu.Unlock()
	for _, c := range changes {
		switch c.State {
		case qf.HealthEjected:
			qfevent.EndpointEjected.Log(&n.platform.Logger, c.Endpoint, c.Cause)
		case qf.HealthHalfOpen:
			qfevent.EndpointTrial.Log(&n.platform.Logger, c.Endpoint)
		default:
			qfevent.EndpointReturned.Log(&n.platform.Logger, c.Endpoint)
		}
	}
}
