package entry

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmember"
)

// tellRelays adds up the counts of a large fleet: members tell their zone's relay, and
// of two relays the one with the lower name begins.
func (e *Entry) tellRelays(ctx context.Context, relays *qfmember.Relays) {
	if !relays.IsSelf {
		own := relays.Own
		e.background.Go(func() { e.tally(ctx, &own) })
		return
	}
	for _, other := range relays.Others {
		if e.deployment.Self.ID < other.ID {
			e.background.Go(func() { e.tally(ctx, &other) })
		}
	}
}

// isAvoided returns which nodes are no relays for now, because a call to them failed. It
// is called with the lock held, and so is its result.
func (e *Entry) isAvoided(now time.Time) func(qf.NodeID) bool {
	return func(id qf.NodeID) bool { return now.Sub(e.failedAt[id]) < avoidFor && !e.failedAt[id].IsZero() }
}

// tally exchanges only what is added up.
func (e *Entry) tally(ctx context.Context, to *qf.Node) {
	d := e.tallyDigest(to)
	answer, err := e.platform.Peer.ExchangeDigests(ctx, to.PeerAddress, d)
	if err != nil {
		e.avoid(to.ID, err)
		return
	}
	e.learn(ctx, &answer)
}

// tallyDigest returns only what is added up, and the news that all nodes need soon.
func (e *Entry) tallyDigest(to *qf.Node) qf.Digest {
	now := e.now()
	return qf.Digest{
		From: e.self(), SentAt: e.clock.own(now), Tally: e.tallyFor(to), RolloutPlans: e.placer.rolloutPlans(),
		Suspicions: e.screen.news(now),
	}
}

// tallyFor returns what a peer needs to add up.
func (e *Entry) tallyFor(to *qf.Node) qf.Tally {
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
	since := e.clock.agreed(now).Add(-usageTold)
	e.governor.mu.Lock()
	defer e.governor.mu.Unlock()
	tally.Covers = e.governor.quotas.CountCoveredNodes(now, tally.Scope, to.ID)
	tally.Quotas = e.governor.quotas.ReportUses(tally.Scope, to.ID)
	tally.Usage = e.governor.usage.BuildTally(since, tally.Scope, to.ID)
	e.placer.mu.Lock()
	defer e.placer.mu.Unlock()
	tally.Versions = e.placer.versions.tally(tally.Scope, to.ID)
	return tally
}

// heardTally takes a peer's tally.
func (e *Entry) heardTally(now time.Time, from *qf.Node, tally *qf.Tally) {
	source := qf.TallySource{
		Node: from.ID, Incarnation: from.Incarnation, Zone: from.AvailabilityZone, Scope: tally.Scope, Covers: tally.Covers,
	}
	e.governor.heard(now, &source, tally)
	e.placer.mu.Lock()
	defer e.placer.mu.Unlock()
	e.placer.versions.heard(&source, tally.Versions)
}
