package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// exchangeEvery is the time between two exchanges with all peers.
	exchangeEvery = 400 * time.Millisecond
	// registerRetry is the time between two tries to write the node's row.
	registerRetry = 500 * time.Millisecond
	// nodeKeyPrefix begins the keys of nodes' rows.
	nodeKeyPrefix = "nodes/"
	// nodesKnownAfter is how long after its start a node that can't read the list of nodes
	// takes those that it heard for all.
	nodesKnownAfter = 4 * time.Second
	// avoidFor is how long a node isn't a relay after a call to it failed.
	avoidFor = 2 * time.Second
	// usageTold is how long after its end a window is told to peers.
	usageTold = 3 * time.Second
)

// nodeRows takes the rows by which nodes find each other.
type nodeRows struct{ entry *Entry }

// Replace implements feedRows.
func (h *nodeRows) Replace(rows []qf.FeedRow, _ uint64) {
	h.Change(rows)
	h.entry.hasNodes.Store(true)
}

// Change implements feedRows.
func (h *nodeRows) Change(rows []qf.FeedRow) {
	e := h.entry
	for i := range rows {
		if rows[i].Removed {
			continue // A node that is gone falls silent.
		}
		var node qf.Node
		if err := json.Unmarshal(rows[i].Value, &node); err != nil {
			e.unreadable(qf.FeedNodes, &rows[i], err)
			continue
		}
		e.mu.Lock()
		if node.ID != e.deployment.Self.ID && node.State != qf.NodeLeaving {
			e.membership.Seed(e.now(), node)
		}
		e.mu.Unlock()
	}
}

// registerLoop writes the node's row until that is done.
func (e *Entry) registerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if e.register(ctx).Certainty == qf.Done {
			return
		}
		e.sleep(ctx, registerRetry)
	}
}

func (e *Entry) register(ctx context.Context) qf.Result[qf.Committed] {
	self := e.self()
	value, err := json.Marshal(self)
	if err != nil {
		return qf.NotDoneFor[qf.Committed](err)
	}
	key := nodeKeyPrefix + string(self.ID)
	return e.platform.Table.Commit(ctx, qf.Transaction{
		ID: qf.TransactionID(key), Writes: []qf.Write{{Key: key, Value: value}},
	})
}

func (e *Entry) self() qf.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := e.membership.Self()
	self.CatalogueRevision = e.configuration.Revision()
	return self
}

func (e *Entry) sleep(ctx context.Context, delay time.Duration) {
	subscription := e.platform.Timer.After(delay)
	defer subscription.Stop()
	select {
	case <-ctx.Done():
	case <-subscription.C():
	}
}

// exchangeLoop tells peers what they need to know and learns the same.
func (e *Entry) exchangeLoop(ctx context.Context) {
	e.askSeeds(ctx)
	ticks := e.platform.Timer.Every(exchangeEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			e.exchange(ctx)
		}
	}
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
	e.membership.Beat(now, e.configuration.Revision(), int(e.inProgress.Load()))
	targets := e.membership.Targets(now, e.random, false)
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

// tellRelays adds up the counts of a large fleet: members tell their zone's relay, and
// of two relays the one with the lower name begins.
func (e *Entry) tellRelays(ctx context.Context, relays *qfmember.Relays) {
	if !relays.IsSelf {
		own := relays.Own
		e.background.Go(func() { e.tally(ctx, &own) })
		return
	}
	for _, other := range relays.Others {
		if e.deployment.Self.ID < other.Node.ID {
			e.background.Go(func() { e.tally(ctx, &other.Node) })
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
	answer, err := e.platform.Peer.Exchange(ctx, to.PeerAddress, d)
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
	tally := qf.Tally{Scope: qf.TallyOwn, Covers: 1}
	self := &e.deployment.Self
	if isGrouped && relays.IsSelf {
		others := 0
		for i := range relays.Others {
			others += relays.Others[i].Covers
		}
		if to.AvailabilityZone == self.AvailabilityZone {
			tally.Scope, tally.Covers = qf.TallyRest, relays.Nodes-1
		} else {
			tally.Scope, tally.Covers = qf.TallyZone, relays.Nodes-others
		}
	}
	since := e.clock.agreed(e.now()).Add(-usageTold)
	e.governor.mu.Lock()
	defer e.governor.mu.Unlock()
	tally.Quotas = e.governor.quotas.Uses(tally.Scope, to.ID)
	tally.Usage = e.governor.usage.Tally(since, tally.Scope, to.ID)
	e.placer.mu.Lock()
	defer e.placer.mu.Unlock()
	tally.Versions = e.placer.versions.tally(tally.Scope, to.ID)
	return tally
}

func (e *Entry) exchangeWith(ctx context.Context, to *qf.Node, address netip.AddrPort) {
	answer, err := e.platform.Peer.Exchange(ctx, address, e.digest(to, nil))
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
	e.membership.Fill(now, &d, to, wants)
	isGrouped := e.membership.IsGrouped()
	e.mu.Unlock()
	if !isGrouped && to != nil {
		d.Tally = e.tallyFor(to)
	}
	if isGrouped && (to == nil || to.AvailabilityZone != d.From.AvailabilityZone) {
		return d // What is in progress is only told within the zone.
	}
	e.placer.mu.Lock()
	d.SentLoads = e.placer.router.Sent(now)
	e.placer.mu.Unlock()
	return d
}

// learn takes a peer's news.
func (e *Entry) learn(ctx context.Context, d *qf.Digest) {
	now := e.now()
	e.mu.Lock()
	e.membership.Take(now, d)
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

// fetchConfiguration gets a newer configuration from a peer.
func (e *Entry) fetchConfiguration(ctx context.Context, from qf.Node) {
	encoded, revision, err := e.platform.Peer.Catalogue(ctx, from.PeerAddress, e.configuration.Revision())
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
