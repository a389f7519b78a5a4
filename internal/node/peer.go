package node

import (
	"time"

	"quetzalfront/internal/qf"
)

// buildDigest returns the digest for a peer. The caller holds the lock.
func (n *Node) buildDigest(now time.Time, to qf.Recipient, wants []qf.AvailabilityZone) qf.Digest {
	self := n.membership.Self()
	self.CatalogueRevision = n.catalogue.Revision()
	self.CatalogueAge = n.follower.Age(now)
	digest := qf.Digest{
		From:         self,
		RolloutStops: n.versionChooser.ListStops(),
		RolloutPlans: n.versionChooser.Plans(),
		LimitUses:    n.limiter.ReportUses(now),
		SentLoads:    n.inFlightLoads(now),
		Suspicions:   n.suspects.ListSuspicions(now),
	}
	n.membership.FillDigest(now, &digest, to, wants)
	return digest
}

// applyDigest applies a peer's digest.
func (n *Node) applyDigest(digest qf.Digest) {
	now := n.now()
	n.mu.Lock()
	n.membership.ApplyDigest(now, &digest)
	n.handlePeerRevision(now, digest.From)
	n.applyRollouts(now, &digest)
	n.limiter.RecordPeerUses(now, digest.LimitUses)
	n.suspects.MergeSuspicions(now, digest.Suspicions)
	for _, sent := range digest.SentLoads {
		n.router.RecordPeerLoad(sent)
	}
	n.mu.Unlock()
	for _, departure := range digest.Departures {
		n.recordDeparture(now, departure)
	}
}

// Exchange implements qfrpc.Handler.
func (n *Node) Exchange(digest qf.Digest) qf.Digest {
	n.applyDigest(digest)
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.buildDigest(now, qf.NodeRecipient(&digest.From), digest.Wants)
}

// CatalogueNewerThan implements qfrpc.Handler.
func (n *Node) CatalogueNewerThan(revision qf.Revision) ([]byte, qf.Revision) {
	snapshot := n.catalogue.Get()
	if snapshot.Revision <= revision {
		return nil, snapshot.Revision
	}
	encoded, err := snapshot.Encode()
	if err != nil {
		return nil, snapshot.Revision
	}
	return encoded, snapshot.Revision
}

// errNoFeeds returns the error for requests for a feed, because this kind of node follows
// none.
func errNoFeeds(feed qf.FeedName) error {
	return qf.NewError(qf.CodeUnavailable, qf.StepTableRead, string(feed), "the node follows no feeds")
}

// FeedWhole implements qfrpc.Handler.
func (n *Node) FeedWhole(feed qf.FeedName) (qf.FeedPage, error) {
	return qf.FeedPage{}, errNoFeeds(feed)
}

// FeedSince implements qfrpc.Handler.
func (n *Node) FeedSince(feed qf.FeedName, _ qf.StorePosition, _ time.Duration) (qf.FeedPage, error) {
	return qf.FeedPage{}, errNoFeeds(feed)
}
