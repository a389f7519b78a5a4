package entry

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// exchangeLoop exchanges digests with peers. The first exchange happens as soon as the list of
// nodes is read, because until then the peers' use of quotas is unknown, or else after
// exchangeInterval.
func (e *Entry) exchangeLoop(ctx context.Context) {
	e.exchangeWithSeeds(ctx)
	first := e.platform.Clock.After(exchangeInterval)
	defer first.Stop()
	select {
	case <-ctx.Done():
		return
	case <-e.nodesRead:
	case <-first.C():
	}
	e.exchangeWithPeers(ctx)
	e.runEvery(ctx, exchangeInterval, e.exchangeWithPeers)
}

// exchangeWithSeeds exchanges digests with the seeds of the settings, which are known without
// the store.
func (e *Entry) exchangeWithSeeds(ctx context.Context) {
	e.mu.Lock()
	seeds := e.seeds
	e.mu.Unlock()
	for _, address := range seeds {
		if address != e.deployment.Self.PeerAddress {
			e.background.Go(func() { e.exchangeWith(ctx, qf.SeedRecipient(address)) })
		}
	}
}

func (e *Entry) exchangeWithPeers(ctx context.Context) {
	now := e.now()
	e.mu.Lock()
	e.membership.RaiseHeartbeat(now, e.configuration.Revision(), int(e.inProgress.Load()))
	targets := e.membership.ChooseTargets(now, e.random, false)
	isGrouped := e.membership.IsGrouped()
	waits := !isGrouped && !e.membership.ReceivesSummaries(now)
	relays := e.membership.Relays(now, e.hasRelayFailed(now))
	e.relays = relays
	e.mu.Unlock()
	e.isRelay.Store(isGrouped && relays.IsSelf)
	e.picker.setNodes(relays.Nodes)
	if e.picker.hasLimits(now) {
		e.updateMembers(now)
	}
	if e.hasNodes.Load() || now.Sub(e.startedAt) > nodeListFallback {
		e.admission.setNodes(relays.Nodes, relays.Lost)
	}
	if relays.Nodes == 1 {
		e.exchangeWithSeeds(ctx)
	}
	if isGrouped {
		e.exchangeTallies(ctx, &relays)
	}
	for i := range targets {
		target := targets[i]
		// Of two nodes with full views the one with the higher name waits: one exchange updates both.
		if waits && target.ID < e.deployment.Self.ID && target.State == qf.NodeLive {
			continue
		}
		e.background.Go(func() { e.exchangeWith(ctx, qf.NodeRecipient(&target)) })
	}
}

// pushDelay is the time in which urgent changes are gathered before they are sent to peers ahead of
// the next exchange.
const pushDelay = 20 * time.Millisecond

// pushUrgent sends suspicions and stated rates to peers at once: to all in a small fleet, in a large
// one to the relays. It doesn't block.
func (e *Entry) pushUrgent() {
	if e.isPushing.Swap(true) {
		return // Those that were added meanwhile are sent too.
	}
	e.background.Go(func() {
		delay := e.platform.Clock.After(pushDelay)
		defer delay.Stop()
		select {
		case <-delay.C():
		case <-e.loops.Done():
			return
		}
		e.isPushing.Store(false)
		now := e.now()
		e.mu.Lock()
		relays, isGrouped := e.relays, e.membership.IsGrouped()
		peers := e.membership.Peers(now)
		e.mu.Unlock()
		switch {
		case isGrouped && relays.IsSelf:
			for _, relay := range relays.Others {
				e.background.Go(func() { e.exchangeTally(e.loops, &relay) })
			}
		case isGrouped:
			e.exchangeTally(e.loops, &relays.Own)
		default:
			e.pushToPeers(peers)
		}
	})
}

// pushToPeers exchanges digests with all peers that are live.
func (e *Entry) pushToPeers(peers []qf.Node) {
	for i := range peers {
		if peer := peers[i]; peer.State == qf.NodeLive {
			e.background.Go(func() { e.exchangeWith(e.loops, qf.NodeRecipient(&peer)) })
		}
	}
}

func (e *Entry) exchangeWith(ctx context.Context, to qf.Recipient) {
	answer, err := e.platform.Peer.ExchangeDigests(ctx, to.Address(), e.buildDigest(to, nil))
	if err != nil {
		qfevent.PeerFailed.Log(&e.platform.Logger, to.Address(), err)
		return
	}
	e.applyDigest(&answer)
	if answer.WantsUsage {
		e.sendUsage(ctx, &answer.From, e.listUsageRecords())
	}
}

// buildDigest builds the digest for a peer or a seed.
func (e *Entry) buildDigest(to qf.Recipient, wants []qf.AvailabilityZone) qf.Digest {
	now := e.now()
	d := qf.Digest{SentAt: e.fleetClock.localTime(now), RolloutPlans: e.picker.rolloutPlans(), Store: e.storeEra.get()}
	e.poisonFilter.fillDigest(now, &d)
	e.mu.Lock()
	d.From = e.membership.Self()
	d.From.CatalogueRevision = e.configuration.Revision()
	e.membership.FillDigest(now, &d, to, wants)
	isGrouped := e.membership.IsGrouped()
	e.mu.Unlock()
	if node, isKnown := to.Node(); isKnown {
		if !isGrouped {
			d.Tally = e.buildTally(&node)
		}
		d.WantsUsage = e.wantsUsageOf(now, &node, isGrouped)
	}
	e.fillLimits(now, &d, isGrouped)
	d.Leaving = e.listLeaves(now)
	d.CutOff, d.IsCutOff = e.monitor.listCutOff()
	if isGrouped && !to.IsInZone(d.From.AvailabilityZone) {
		return d // Load in progress is sent only within the zone.
	}
	e.picker.mu.Lock()
	d.SentLoads = e.picker.router.ReportInFlight(now)
	d.Speeds = e.picker.router.ReportSpeeds(now)
	e.picker.mu.Unlock()
	return d
}

// applyDigest applies a peer's digest.
func (e *Entry) applyDigest(d *qf.Digest) {
	now := e.now()
	e.mu.Lock()
	e.membership.ApplyDigest(now, d)
	e.mu.Unlock()
	e.fleetClock.recordPeerTime(now, d.From.ID, d.SentAt)
	e.picker.recordPeerLoads(d.From.ID, d.SentLoads, d.Speeds)
	e.poisonFilter.mergeDigest(now, d)
	e.mergeLimits(now, d)
	e.recordLeaves(d.Leaving, leaveReported)
	e.peerRouter.recordReport(now, d)
	e.storeEra.applyPeer(d.Store)
	for i := range d.RolloutPlans {
		e.applyRolloutPlan(&d.RolloutPlans[i])
	}
	if d.Tally.Scope != "" {
		e.mergeTally(now, &d.From, &d.Tally)
	}
	e.mergeUsageRecords(d.UsageRecords)
	e.mergeZoneUsage(&d.From, d.ZoneUsage)
	e.configurationFetcher.offer(&d.From)
}

// Exchange implements qfrpc.Handler.
func (e *Entry) Exchange(digest qf.Digest) qf.Digest {
	if digest.TrialClaim != 0 {
		return e.poisonFilter.answerTrialClaim(&digest)
	}
	e.applyDigest(&digest)
	var answer qf.Digest
	if digest.Tally.Scope != "" && len(digest.Wants) == 0 && e.isGrouped() {
		answer = e.buildTallyDigest(&digest.From)
	} else {
		answer = e.buildDigest(qf.NodeRecipient(&digest.From), digest.Wants)
	}
	if digest.WantsUsage {
		answer.UsageRecords = e.listUsageRecords()
	}
	if digest.WantsZoneUsage {
		answer.ZoneUsage = e.sumZoneUsage(&digest.From)
	}
	return answer
}

func (e *Entry) isGrouped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.membership.IsGrouped()
}

// CatalogueNewerThan implements qfrpc.Handler with the configuration.
func (e *Entry) CatalogueNewerThan(revision qf.Revision) ([]byte, qf.Revision) {
	table := e.configuration.Get()
	if table == nil || table.Configuration.Revision <= revision {
		return nil, revision
	}
	return table.Encoded, table.Configuration.Revision
}

// TakeOver implements qfrpc.Handler. Forwarded requests are never handed over.
func (e *Entry) TakeOver([]qf.RequestRecord) []qf.RequestID { return nil }

// KeepShadows implements qfrpc.Handler.
func (e *Entry) KeepShadows([]qf.RequestRecord) []qf.RequestID { return nil }

// Lookup implements qfrpc.Handler.
func (e *Entry) Lookup(id qf.RequestID) (qf.RequestRecord, error) {
	return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepResume, string(id), "forwarded requests have no record")
}
