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

// runEvery runs a step in the background, at once and then at each interval, until the
// node stops.
func (n *Node) runEvery(interval time.Duration, step func(ctx context.Context)) {
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

// runEveryShared runs a step that reads from the platform in the background, at once and
// then periodically, until the node stops. The more nodes there are, the less often each
// reads, at random times; departures that one node reads reach the others with the next
// exchange.
func (n *Node) runEveryShared(interval time.Duration, step func(ctx context.Context)) {
	n.workers.Go(func() {
		for n.ctx.Err() == nil {
			step(n.ctx)
			n.sleep(n.sharedDelay(interval))
		}
	})
}

// sharedDelay returns the time until the next read: the given interval or, if all nodes
// together would exceed PlatformReadsPerSecond, a random time around a longer one.
func (n *Node) sharedDelay(interval time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := len(n.membership.Peers(n.now())) + 1
	shared := qfmember.SharedInterval(interval, live, n.settings.Feed.PlatformReadsPerSecond)
	if shared == interval {
		return interval
	}
	return shared/2 + time.Duration(n.platform.Random.Int64N(int64(shared)))
}

// pollVMList reads the list of VMs, which lags behind the cloud.
func (n *Node) pollVMList(ctx context.Context) {
	vms, asOf, err := n.platform.VMList.ListActiveVMs(ctx)
	if err != nil {
		n.logPlatformFailure(ctx, err)
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
			n.recordDeparture(now, qf.Departure{VM: vm.ID, Incarnation: vm.Incarnation, In: vm.LeaveAt.Sub(now)})
		}
		if vm.Role == qf.RoleEntryNode && vm.State != qf.VMGone && vm.State != qf.VMStarting {
			nodes = append(nodes, qf.NodeID(vm.ID))
		}
		if vm.Role == qf.RoleEntryNode {
			n.addSeed(now, vm)
			continue
		}
		if vm.State == qf.VMLive || vm.State == qf.VMLeaving {
			endpoints = append(endpoints, endpointOf(vm))
		}
	}
	n.mover.retainReports(endpoints)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordVanished(now, endpoints)
	n.endpoints = endpoints
	n.listedNodes = nodes
	n.listAsOf = asOf
	n.router.SetEndpoints(endpoints)
}

// isNewerListing reports whether a listing isn't older than the one in use. An older one
// would restore a former state.
func (n *Node) isNewerListing(asOf time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !asOf.Before(n.listAsOf)
}

// endpointOf returns the endpoint that runs on a VM.
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

// addSeed adds an entry node of the VM list to the membership.
func (n *Node) addSeed(now time.Time, vm *qf.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.AddSeed(now, qf.Node{
		ID: qf.NodeID(vm.ID), Region: vm.Region, AvailabilityZone: vm.AvailabilityZone,
		CallerAddress: vm.Address, PeerAddress: vm.PeerAddress, State: qf.NodeLive,
	})
}

// logPlatformFailure logs that the platform couldn't be reached, unless the node stops.
func (n *Node) logPlatformFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		qfevent.PlatformFailed.Log(&n.platform.Logger, err)
	}
}

// pollNotices reads the cloud's reclaim notices.
func (n *Node) pollNotices(ctx context.Context) {
	notices, err := n.platform.Cloud.ListNotices(ctx)
	if err != nil {
		n.logPlatformFailure(ctx, err)
		return
	}
	now := n.now()
	for _, notice := range notices {
		n.recordDeparture(now, qf.Departure{VM: notice.VM, Incarnation: notice.Incarnation, In: notice.LeaveAt.Sub(now)})
	}
}

// recordDeparture records that a VM leaves, so that its endpoint gets no new requests. The
// mover moves the running streams at its next step, when the other departures of the same
// wave are recorded too. If the VM is this node's own, the node stops.
func (n *Node) recordDeparture(now time.Time, d qf.Departure) {
	n.mu.Lock()
	isNew := n.membership.RecordDeparture(now, d)
	isSelf := n.membership.IsSelfLeaving(now, d)
	if isNew {
		n.router.MarkDeparting(d.VM, d.Incarnation)
		n.suspects.RecordAnnouncedStop(qf.EndpointID(d.VM))
	}
	n.mu.Unlock()
	if !isNew {
		return
	}
	n.hasUrgentUpdates.Store(true)
	qfevent.DepartureKnown.Log(&n.platform.Logger, d.VM, now.Add(d.In))
	if isSelf {
		reclaimAt := now.Add(d.In)
		n.reclaimAt.Store(&reclaimAt)
		go n.Stop("reclaim")
	}
}

// pollLoads fetches the load reports of all endpoints.
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
	fetchLoad := n.platform.Engine.FetchLoad
	if endpoint.Kind == qf.KindPlainService {
		fetchLoad = n.platform.Service.FetchLoad
	}
	report, err := fetchLoad(ctx, endpoint)
	if err != nil {
		n.recordDeathIfRefused(endpoint, err)
		return // The router detects an unresponsive endpoint from its attempts.
	}
	now := n.now()
	n.mu.Lock()
	n.router.RecordLoadReport(now, report)
	n.loads[endpoint.ID] = report.Running + report.Queued
	n.loadReports[endpoint.ID] = report
	n.mu.Unlock()
	n.mover.recordReport(report)
	if report.Leaving {
		n.recordDeparture(now, qf.Departure{VM: endpoint.VM, Incarnation: endpoint.Incarnation})
	}
}

// deleteExpired deletes the records and shadows whose retention time has passed.
func (n *Node) deleteExpired(context.Context) {
	now := n.now()
	n.records.DeleteEnded(now.Add(-n.settings.Request.RetainFor.Value()))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shadowStore.DeleteExpired(now)
}

// exchange exchanges digests with the peers that are due. If there are urgent updates,
// they are sent to more peers.
func (n *Node) exchange(ctx context.Context) {
	now := n.now()
	n.mu.Lock()
	pause := n.membership.RaiseHeartbeat(now, n.catalogue.Revision(), n.records.InProgress())
	n.updateLimitNodes(now, n.membership.Peers(now))
	peers := n.membership.ChooseTargets(now, n.platform.Random, n.hasUrgentUpdates.Swap(false))
	digests := make([]qf.Digest, 0, len(peers))
	for i := range peers {
		digests = append(digests, n.buildDigest(now, qf.NodeRecipient(&peers[i]), nil))
	}
	isIsolated := n.membership.IsIsolated(now)
	n.mu.Unlock()
	n.logConnectivity(pause, isIsolated)
	var exchanges sync.WaitGroup
	var answered atomic.Int64
	for i, peer := range peers {
		digest := digests[i]
		digest.RolloutEvidence = n.evidenceFor(peer.ID)
		exchanges.Go(func() {
			if n.exchangeWith(ctx, peer, digest) {
				answered.Add(1)
			}
		})
	}
	exchanges.Wait()
	if len(peers) > 0 && int(answered.Load()) == len(peers) { // An exchange without peers doesn't count as joining.
		n.completeExchanges.Add(1)
	}
}

const (
	// joinExchanges is the number of complete exchanges after which a new node's shares of
	// the limits match what the other nodes leave to it.
	joinExchanges = 4
	// joinTimeout is how long a new node waits for peers that don't answer.
	joinTimeout = 3 * time.Second
)

// hasJoined reports whether the node has exchanged enough digests to serve callers, or has
// waited long enough for them.
func (n *Node) hasJoined() bool {
	started := time.UnixMilli(int64(n.incarnation))
	return n.completeExchanges.Load() >= joinExchanges || n.now().Sub(started) >= joinTimeout
}

// logConnectivity logs that the process was paused, and when the node becomes isolated
// from its peers or reconnects to them.
func (n *Node) logConnectivity(pause time.Duration, isIsolated bool) {
	id := n.settings.Node.ID
	if pause > 0 {
		qfevent.NodePaused.Log(&n.platform.Logger, id, pause)
	}
	if n.isIsolated.Swap(isIsolated) == isIsolated {
		return
	}
	if isIsolated {
		qfevent.NodeCutOff.Log(&n.platform.Logger, id)
	} else {
		qfevent.NodeReconnected.Log(&n.platform.Logger, id)
	}
}

// exchangeIfUrgent runs an exchange at once if there are urgent updates, so that they
// aren't delayed by an exchange interval at each hop.
func (n *Node) exchangeIfUrgent(ctx context.Context) {
	if n.hasUrgentUpdates.Load() {
		n.exchange(ctx)
	}
}

// exchangeWith exchanges digests with a peer and reports whether the peer answered.
func (n *Node) exchangeWith(ctx context.Context, peer qf.Node, digest qf.Digest) bool {
	answer, err := n.platform.Peer.ExchangeDigests(ctx, peer.PeerAddress, digest)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			qfevent.PeerFailed.Log(&n.platform.Logger, peer.ID, err)
		}
		return false
	}
	n.applyDigest(answer)
	return true
}
