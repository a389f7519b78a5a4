package entry

import (
	"context"
	"net/netip"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// exchangeLoop tells peers what they need to know and learns the same. It begins as soon as
// the node knows its peers, because until then it knows nothing of what they use.
func (e *Entry) exchangeLoop(ctx context.Context) {
	e.askSeeds(ctx)
	first := e.platform.Clock.After(exchangeEvery)
	defer first.Stop()
	select {
	case <-ctx.Done():
		return
	case <-e.nodesRead:
	case <-first.C():
	}
	e.exchange(ctx)
	e.every(ctx, exchangeEvery, e.exchange)
}

// askSeeds exchanges with the nodes of the settings, which need no store to be found.
func (e *Entry) askSeeds(ctx context.Context) {
	e.mu.Lock()
	seeds := e.seeds
	e.mu.Unlock()
	for _, address := range seeds {
		if address != e.deployment.Self.PeerAddress {
			e.background.Go(func() { e.exchangeWith(ctx, nil, address) })
		}
	}
}

func (e *Entry) exchange(ctx context.Context) {
	now := e.now()
	e.mu.Lock()
	e.membership.RaiseHeartbeat(now, e.configuration.Revision(), int(e.inProgress.Load()))
	targets := e.membership.ChooseTargets(now, e.random, false)
	isGrouped := e.membership.IsGrouped()
	relays := e.membership.Relays(now, e.isAvoided(now))
	e.relays = relays
	e.mu.Unlock()
	if e.hasNodes.Load() || now.Sub(e.startedAt) > nodesKnownAfter {
		e.governor.setNodes(relays.Nodes)
	}
	if relays.Nodes == 1 {
		e.askSeeds(ctx)
	}
	if isGrouped {
		e.tellRelays(ctx, &relays)
	}
	for i := range targets {
		target := targets[i]
		// Of two nodes the one with the lower name begins: one exchange tells both.
		if !isGrouped && target.ID < e.deployment.Self.ID && target.State == qf.NodeLive {
			continue
		}
		e.background.Go(func() { e.exchangeWith(ctx, &target, target.PeerAddress) })
	}
}

func (e *Entry) exchangeWith(ctx context.Context, to *qf.Node, address netip.AddrPort) {
	answer, err := e.platform.Peer.ExchangeDigests(ctx, address, e.digest(to, nil))
	if err != nil {
		qfevent.PeerFailed.Log(&e.platform.Logger, address, err)
		return
	}
	e.learn(ctx, &answer)
}

// digest returns the news for a peer.
func (e *Entry) digest(to *qf.Node, wants []qf.AvailabilityZone) qf.Digest {
	now := e.now()
	d := qf.Digest{SentAt: e.clock.own(now), RolloutPlans: e.placer.rolloutPlans(), Suspicions: e.screen.news(now)}
	e.mu.Lock()
	d.From = e.membership.Self()
	d.From.CatalogueRevision = e.configuration.Revision()
	e.membership.FillDigest(now, &d, to, wants)
	isGrouped := e.membership.IsGrouped()
	e.mu.Unlock()
	if !isGrouped && to != nil {
		d.Tally = e.tallyFor(to)
	}
	if isGrouped && (to == nil || to.AvailabilityZone != d.From.AvailabilityZone) {
		return d // What is in progress is only told within the zone.
	}
	e.placer.mu.Lock()
	d.SentLoads = e.placer.router.ReportInFlight(now)
	e.placer.mu.Unlock()
	return d
}

// learn takes a peer's news.
func (e *Entry) learn(ctx context.Context, d *qf.Digest) {
	now := e.now()
	e.mu.Lock()
	e.membership.ApplyDigest(now, d)
	e.mu.Unlock()
	e.clock.heard(now, d.From.ID, d.SentAt)
	e.placer.peerSent(d.From.ID, d.SentLoads)
	e.screen.learn(now, d.Suspicions)
	for i := range d.RolloutPlans {
		e.adoptRollout(&d.RolloutPlans[i])
	}
	if d.Tally.Scope != "" {
		e.heardTally(now, &d.From, &d.Tally)
	}
	if d.From.CatalogueRevision > e.configuration.Revision() {
		e.background.Go(func() { e.fetchConfiguration(ctx, d.From) })
	}
}

// fetchConfiguration gets a newer configuration from a peer.
func (e *Entry) fetchConfiguration(ctx context.Context, from qf.Node) {
	encoded, revision, err := e.platform.Peer.FetchCatalogue(ctx, from.PeerAddress, e.configuration.Revision())
	if err != nil {
		qfevent.PeerFailed.Log(&e.platform.Logger, from.PeerAddress, err)
		return
	}
	if revision > e.configuration.Revision() {
		e.applyConfiguration(encoded, from.ID)
	}
}

// Exchange implements qfrpc.Handler.
func (e *Entry) Exchange(digest qf.Digest) qf.Digest {
	e.learn(context.Background(), &digest)
	if digest.Tally.Scope != "" && e.isGrouped() {
		return e.tallyDigest(&digest.From)
	}
	return e.digest(&digest.From, digest.Wants)
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

// TakeOver implements qfrpc.Handler. Forwarded requests end where they began.
func (e *Entry) TakeOver([]qf.RequestRecord) []qf.RequestID { return nil }

// KeepShadows implements qfrpc.Handler.
func (e *Entry) KeepShadows([]qf.RequestRecord) []qf.RequestID { return nil }

// Lookup implements qfrpc.Handler.
func (e *Entry) Lookup(id qf.RequestID) (qf.RequestRecord, error) {
	return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepResume, string(id), "forwarded requests have no record")
}
