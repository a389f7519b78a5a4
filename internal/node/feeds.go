package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/state/qfevent"
)

// every runs a step at once and then at each interval until the node stops.
func (n *Node) every(interval time.Duration, step func(ctx context.Context)) {
	ticks := n.platform.Clock.Every(interval)
	n.workers.Add(1)
	go func() {
		defer n.workers.Done()
		defer ticks.Stop()
		step(n.ctx)
		for {
			select {
			case <-ticks.C():
				step(n.ctx)
			case <-n.ctx.Done():
				return
			}
		}
	}()
}

// everyShared runs a step that reads from the platform at once and then again and
// again. With many nodes each reads less often, at times that chance spreads; the
// news of departures reaches the others with the next exchange.
func (n *Node) everyShared(interval time.Duration, step func(ctx context.Context)) {
	n.workers.Go(func() {
		for n.ctx.Err() == nil {
			step(n.ctx)
			n.pause(n.sharedWait(interval))
		}
	})
}

func (n *Node) sharedWait(interval time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := len(n.membership.Peers(n.now())) + 1
	shared := qfmember.SharedInterval(interval, live, n.settings.Feed.PlatformReadsPerSecond)
	if shared == interval {
		return interval
	}
	return shared/2 + time.Duration(n.platform.Random.Int64N(int64(shared)))
}

// pollVMList reads the lagging list of VMs.
func (n *Node) pollVMList(ctx context.Context) {
	vms, asOf, err := n.platform.VMList.ListActiveVMs(ctx)
	if err != nil {
		n.platformFailed(ctx, err)
		return
	}
	if !n.isNewerListing(asOf) {
		return
	}
	now := n.now()
	var endpoints []qf.Endpoint
	var nodes []qf.NodeID
	for i := range vms {
		vm := &vms[i]
		if vm.State == qf.VMLeaving {
			n.learnDeparture(now, qf.Departure{VM: vm.ID, Incarnation: vm.Incarnation, In: vm.LeaveAt.Sub(now)})
		}
		if vm.Role == qf.RoleEntryNode && vm.State != qf.VMGone && vm.State != qf.VMStarting {
			nodes = append(nodes, qf.NodeID(vm.ID))
		}
		if vm.Role == qf.RoleEntryNode {
			n.seed(now, vm)
			continue
		}
		if vm.State == qf.VMLive || vm.State == qf.VMLeaving {
			endpoints = append(endpoints, endpointOf(vm))
		}
	}
	n.mover.keep(endpoints)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.learnVanished(now, endpoints)
	n.endpoints = endpoints
	n.listedNodes = nodes
	n.listAsOf = asOf
	n.router.SetEndpoints(endpoints)
}

// isNewerListing reports whether a listing isn't older than the one in use: a
// list whose lag grows must not bring a former state back.
func (n *Node) isNewerListing(asOf time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !asOf.Before(n.listAsOf)
}

func endpointOf(vm *qf.VM) qf.Endpoint {
	kind := qf.KindModelEngine
	if vm.Role == qf.RolePlainService {
		kind = qf.KindPlainService
	}
	return qf.Endpoint{
		ID: qf.EndpointID(vm.ID), VM: vm.ID, Incarnation: vm.Incarnation, Kind: kind,
		Entry: vm.Entry, Version: vm.Version, Region: vm.Region, AvailabilityZone: vm.AvailabilityZone,
		Class: vm.Class, Address: vm.Address, ChecksFencing: vm.ChecksFencing,
	}
}

func (n *Node) seed(now time.Time, vm *qf.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.AddSeed(now, qf.Node{
		ID: qf.NodeID(vm.ID), Region: vm.Region, AvailabilityZone: vm.AvailabilityZone,
		CallerAddress: vm.Address, PeerAddress: vm.PeerAddress, State: qf.NodeLive,
	})
}

// platformFailed logs that the platform couldn't be reached, unless the node stops.
func (n *Node) platformFailed(ctx context.Context, err error) {
	if ctx.Err() == nil {
		qfevent.PlatformFailed.Log(&n.platform.Logger, err)
	}
}

// pollNotices reads the cloud's notices of reclaims.
func (n *Node) pollNotices(ctx context.Context) {
	notices, err := n.platform.Cloud.ListNotices(ctx)
	if err != nil {
		n.platformFailed(ctx, err)
		return
	}
	now := n.now()
	for _, notice := range notices {
		n.learnDeparture(now, qf.Departure{VM: notice.VM, Incarnation: notice.Incarnation, In: notice.LeaveAt.Sub(now)})
	}
}

// learnDeparture takes news that a VM leaves: no new work goes there. What runs
// there moves at the mover's next step, when the whole wave of news is known.
func (n *Node) learnDeparture(now time.Time, d qf.Departure) {
	n.mu.Lock()
	isNews := n.membership.RecordDeparture(now, d)
	isSelf := n.membership.IsSelfLeaving(now, d)
	if isNews {
		n.router.MarkDeparting(d.VM, d.Incarnation)
		n.suspects.RecordAnnouncedStop(qf.EndpointID(d.VM))
	}
	n.mu.Unlock()
	if !isNews {
		return
	}
	n.hasUrgentNews.Store(true)
	qfevent.DepartureKnown.Log(&n.platform.Logger, d.VM, now.Add(d.In))
	if isSelf {
		leaveAt := now.Add(d.In)
		n.leaveAt.Store(&leaveAt)
		go n.Stop("reclaim")
	}
}

// pollLoads asks the endpoints for their load.
func (n *Node) pollLoads(ctx context.Context) {
	n.mu.Lock()
	endpoints := n.endpoints
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Peer.Timeout.Value())
	defer cancel()
	var polls sync.WaitGroup
	for _, e := range endpoints {
		polls.Go(func() { n.pollLoad(ctx, e) })
	}
	polls.Wait()
}

func (n *Node) pollLoad(ctx context.Context, endpoint qf.Endpoint) {
	load := n.platform.Engine.FetchLoad
	if endpoint.Kind == qf.KindPlainService {
		load = n.platform.Service.FetchLoad
	}
	report, err := load(ctx, endpoint)
	if err != nil {
		n.learnDeath(endpoint, err)
		return // Silence shows in the router through the attempts.
	}
	now := n.now()
	n.mu.Lock()
	n.router.RecordLoadReport(now, report)
	n.loads[endpoint.ID] = report.Running + report.Queued
	n.reports[endpoint.ID] = report
	n.mu.Unlock()
	n.mover.reported(report)
	if report.Leaving {
		n.learnDeparture(now, qf.Departure{VM: endpoint.VM, Incarnation: endpoint.Incarnation})
	}
}

// expire forgets what ended long ago.
func (n *Node) expire(context.Context) {
	now := n.now()
	n.records.DeleteEnded(now.Add(-n.settings.Request.RetainFor.Value()))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shadows.DeleteExpired(now)
}

// exchange tells each peer the news and takes theirs.
func (n *Node) exchange(ctx context.Context) {
	now := n.now()
	n.mu.Lock()
	pause := n.membership.RaiseHeartbeat(now, n.catalogue.Revision(), n.records.InProgress())
	n.shareLimits(now, n.membership.Peers(now))
	peers := n.membership.ChooseTargets(now, n.platform.Random, n.hasUrgentNews.Swap(false))
	digests := make([]qf.Digest, 0, len(peers))
	for i := range peers {
		digests = append(digests, n.digest(now, &peers[i], nil))
	}
	isCutOff := n.membership.IsIsolated(now)
	n.mu.Unlock()
	n.noteConnection(pause, isCutOff)
	var exchanges sync.WaitGroup
	var heard atomic.Int64
	for i, peer := range peers {
		told := digests[i]
		told.RolloutEvidence = n.evidenceFor(peer.ID)
		exchanges.Go(func() {
			if n.exchangeWith(ctx, peer, told) {
				heard.Add(1)
			}
		})
	}
	exchanges.Wait()
	if len(peers) > 0 && int(heard.Load()) == len(peers) { // A node that knows nobody yet hasn't joined.
		n.wholeExchanges.Add(1)
	}
}

const (
	// joinExchanges is the number of exchanges with all partners after which a new
	// node's parts of the limits have come to what the others leave to it.
	joinExchanges = 4
	// joinWithin is how long a new node waits for partners that don't answer.
	joinWithin = 3 * time.Second
)

// hasJoined reports whether the node knows enough of its peers to be sent callers.
func (n *Node) hasJoined() bool {
	started := time.UnixMilli(int64(n.incarnation))
	return n.wholeExchanges.Load() >= joinExchanges || n.now().Sub(started) >= joinWithin
}

// noteConnection logs that the node was paused, and when it is cut off from its
// peers or hears them again.
func (n *Node) noteConnection(pause time.Duration, isCutOff bool) {
	id := n.settings.Node.ID
	if pause > 0 {
		qfevent.NodePaused.Log(&n.platform.Logger, id, pause)
	}
	if n.isCutOff.Swap(isCutOff) == isCutOff {
		return
	}
	if isCutOff {
		qfevent.NodeCutOff.Log(&n.platform.Logger, id)
	} else {
		qfevent.NodeReconnected.Log(&n.platform.Logger, id)
	}
}

// spreadNews exchanges before its time if there is urgent news, so that it doesn't
// wait at each node on its way.
func (n *Node) spreadNews(ctx context.Context) {
	if n.hasUrgentNews.Load() {
		n.exchange(ctx)
	}
}

// exchangeWith reports whether the peer answered.
func (n *Node) exchangeWith(ctx context.Context, peer qf.Node, digest qf.Digest) bool {
	answer, err := n.platform.Peer.ExchangeDigests(ctx, peer.PeerAddress, digest)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			qfevent.PeerFailed.Log(&n.platform.Logger, peer.ID, err)
		}
		return false
	}
	n.learn(answer)
	return true
}
