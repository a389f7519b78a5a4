package entry

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmember"
)

// exchangeTallies sums the counts of a large fleet: members send theirs to their zone's relay,
// and of two relays the one with the lower name starts the exchange.
func (e *Entry) exchangeTallies(ctx context.Context, relays *qfmember.Relays) {
	if !relays.IsSelf {
		own := relays.Own
		e.background.Go(func() { e.exchangeTally(ctx, &own) })
		return
	}
	if e.usageHandover.isOpen(e.now()) {
		for _, deputy := range relays.Deputies {
			e.background.Go(func() { e.exchangeTally(ctx, &deputy) })
		}
	}
	for _, other := range relays.Others {
		if e.deployment.Self.ID < other.ID {
			e.background.Go(func() { e.exchangeTally(ctx, &other) })
		}
	}
}

// hasRelayFailed returns a function that reports whether a call to a node failed recently, so
// that it can't be a relay. The caller must hold e.mu for both calls.
func (e *Entry) hasRelayFailed(now time.Time) func(qf.NodeID) bool {
	return func(id qf.NodeID) bool {
		return now.Sub(e.relayFailedAt[id]) < relayRetryDelay && !e.relayFailedAt[id].IsZero()
	}
}

// exchangeTally exchanges tally digests with a peer.
func (e *Entry) exchangeTally(ctx context.Context, to *qf.Node) {
	d := e.buildTallyDigest(to)
	answer, err := e.platform.Peer.ExchangeDigests(ctx, to.PeerAddress, d)
	if err != nil {
		e.recordRelayFailure(to.ID, err)
		return
	}
	e.applyDigest(&answer)
}

// buildTallyDigest builds a digest of only the tally and the changes that are urgent for all nodes.
func (e *Entry) buildTallyDigest(to *qf.Node) qf.Digest {
	now := e.now()
	d := qf.Digest{
		From: e.self(), SentAt: e.fleetClock.localTime(now), Tally: e.buildTally(to), RolloutPlans: e.picker.rolloutPlans(),
		Store: e.storeEra.get(), WantsUsage: e.wantsUsageOf(now, to, true),
	}
	e.poisonFilter.fillDigest(now, &d)
	e.fillLimits(now, &d, true)
	d.Leaving = e.listLeaves(now)
	d.CutOff, d.IsCutOff = e.monitor.listCutOff()
	return d
}

// buildTally returns the tally for a peer.
func (e *Entry) buildTally(to *qf.Node) qf.Tally {
	e.mu.Lock()
	relays, isGrouped := e.relays, e.membership.IsGrouped()
	e.mu.Unlock()
	tally := qf.Tally{Scope: qf.TallyOwn}
	if isGrouped && relays.IsSelf {
		tally.Scope = qf.TallyZone
		if to.AvailabilityZone == e.deployment.Self.AvailabilityZone {
			tally.Scope = qf.TallyRest
		}
	}
	now := e.now()
	since := e.fleetClock.fleetTime(now).Add(-usageTallyPeriod)
	e.admission.mu.Lock()
	defer e.admission.mu.Unlock()
	tally.Covers = e.admission.quotas.CountCoveredNodes(now, tally.Scope, to.ID)
	tally.Quotas = e.admission.quotas.ReportUses(now, tally.Scope, to.ID)
	tally.Usage = e.admission.usage.BuildTally(since, tally.Scope, to)
	e.picker.mu.Lock()
	defer e.picker.mu.Unlock()
	tally.Versions = e.picker.versions.listCounts(now, tally.Scope, to.ID)
	tally.Demands = e.picker.fair.reportDemands(now, tally.Scope, to.ID)
	return tally
}

// mergeTally merges a peer's tally.
func (e *Entry) mergeTally(now time.Time, from *qf.Node, tally *qf.Tally) {
	source := qf.TallySource{
		Node: from.ID, Incarnation: from.Incarnation, Zone: from.AvailabilityZone, Scope: tally.Scope, Covers: tally.Covers,
	}
	e.admission.mergeTally(now, &source, tally)
	e.picker.mu.Lock()
	defer e.picker.mu.Unlock()
	e.picker.versions.mergeCounts(&source, tally.Versions)
	e.picker.fair.mergeTally(now, &source, tally.Demands)
}
