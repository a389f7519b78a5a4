package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfevent"
)

// pollCatalogueLoop polls the newest revision until the node stops. All nodes share the
// permitted read rate.
func (n *Node) pollCatalogueLoop() {
	defer n.workers.Done()
	for n.ctx.Err() == nil {
		n.pollCatalogue(n.ctx)
		n.updateFreshness()
		n.mu.Lock()
		wait := n.follower.NextRead(len(n.membership.Peers(n.now())) + 1)
		n.mu.Unlock()
		n.sleep(wait)
	}
}

// pollCatalogue reads the newest revision, and the document if it is newer than
// the one in force.
func (n *Node) pollCatalogue(ctx context.Context) {
	began := n.now()
	newest, err := n.catalogueStore.Latest(ctx)
	if err == nil && n.recordRevision(began, newest) {
		err = n.fetchHead(ctx, began)
	}
	if err != nil && ctx.Err() == nil {
		qfevent.CatalogueFailed.Log(&n.platform.Logger, err)
	}
}

// recordRevision records a read of the newest revision and reports whether its document
// must be fetched.
func (n *Node) recordRevision(began time.Time, newest qf.Revision) (fetch bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower.RecordRead(began, newest)
}

func (n *Node) fetchHead(ctx context.Context, began time.Time) error {
	head, _, err := n.catalogueStore.Head(ctx)
	if err != nil {
		return err
	}
	n.applyCatalogue(head)
	n.recordRevision(began, head.Revision)
	return nil
}

// updateFreshness updates isCatalogueStale, and logs when the catalogue becomes stale or
// fresh again.
func (n *Node) updateFreshness() {
	n.mu.Lock()
	now := n.now()
	fresh, age := n.follower.IsFresh(now), n.follower.Age(now)
	n.mu.Unlock()
	if n.isCatalogueStale.Swap(!fresh) == !fresh {
		return
	}
	if fresh {
		qfevent.CatalogueFresh.Log(&n.platform.Logger, n.catalogue.Revision())
		return
	}
	qfevent.CatalogueStale.Log(&n.platform.Logger, n.catalogue.Revision(), age)
}

// applyCatalogue puts a snapshot in force if it is newer.
func (n *Node) applyCatalogue(snapshot qfcatalogue.Snapshot) {
	if !n.catalogue.Update(snapshot) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.catalogue.Get()
	var limits []qf.Limit
	for i := range current.Document.Entries {
		e := &current.Document.Entries[i]
		limits = append(limits, e.QFLimits()...)
	}
	n.versionChooser.SetSpecs(rolloutSpecs(current))
	n.limiter.SetLimits(limits)
	qfevent.CatalogueInUse.Log(&n.platform.Logger, current.Revision, current.Change.Operator)
}

// handlePeerRevision records a peer's revision, and fetches the peer's catalogue in the
// background if it is newer. The caller holds the lock.
func (n *Node) handlePeerRevision(now time.Time, peer qf.Node) {
	if !n.follower.RecordPeerRevision(now, peer.CatalogueRevision, peer.CatalogueAge) || !n.isFetchingCatalogue.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.isFetchingCatalogue.Store(false)
		n.fetchCatalogue(n.ctx, peer)
	}()
}

func (n *Node) fetchCatalogue(ctx context.Context, peer qf.Node) {
	encoded, _, err := n.platform.Peer.FetchCatalogue(ctx, peer.PeerAddress, n.catalogue.Revision())
	if err != nil || len(encoded) == 0 {
		return // The next exchange tries again.
	}
	snapshot, err := qfcatalogue.Decode(encoded)
	if err != nil {
		qfevent.CatalogueFailed.Log(&n.platform.Logger, err)
		return
	}
	n.applyCatalogue(snapshot)
}
