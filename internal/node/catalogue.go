package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfevent"
)

// followCatalogue reads the newest revision again and again, at the pace that
// all nodes share.
func (n *Node) followCatalogue() {
	defer n.workers.Done()
	for n.ctx.Err() == nil {
		n.pollCatalogue(n.ctx)
		n.noteFreshness()
		n.mu.Lock()
		wait := n.follower.NextRead(len(n.membership.Peers(n.now())) + 1)
		n.mu.Unlock()
		n.pause(wait)
	}
}

// pollCatalogue reads the newest revision, and the document if it is newer than
// the one in force.
func (n *Node) pollCatalogue(ctx context.Context) {
	began := n.now()
	newest, err := n.store.Latest(ctx)
	if err == nil && n.readRevision(began, newest) {
		err = n.fetchHead(ctx, began)
	}
	if err != nil && ctx.Err() == nil {
		qfevent.CatalogueFailed.Log(&n.platform.Logger, err)
	}
}

func (n *Node) readRevision(began time.Time, newest qf.Revision) (fetch bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower.RecordRead(began, newest)
}

func (n *Node) fetchHead(ctx context.Context, began time.Time) error {
	head, _, err := n.store.Head(ctx)
	if err != nil {
		return err
	}
	n.offerCatalogue(head)
	n.readRevision(began, head.Revision)
	return nil
}

// noteFreshness logs when the news of the catalogue becomes stale, and when it
// is fresh again.
func (n *Node) noteFreshness() {
	n.mu.Lock()
	now := n.now()
	fresh, age := n.follower.IsFresh(now), n.follower.Age(now)
	n.mu.Unlock()
	if n.stale.Swap(!fresh) == !fresh {
		return
	}
	if fresh {
		qfevent.CatalogueFresh.Log(&n.platform.Logger, n.catalogue.Revision())
		return
	}
	qfevent.CatalogueStale.Log(&n.platform.Logger, n.catalogue.Revision(), age)
}

// offerCatalogue puts a snapshot in force if it is newer.
func (n *Node) offerCatalogue(snapshot qfcatalogue.Snapshot) {
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
	n.versions.SetSpecs(wishesOf(current))
	n.limiter.SetLimits(limits)
	qfevent.CatalogueInUse.Log(&n.platform.Logger, current.Revision, current.Change.Operator)
}

// toldRevision takes a peer's revision, and fetches the peer's catalogue if it is
// newer. It is called with the lock held.
func (n *Node) toldRevision(now time.Time, peer qf.Node) {
	if !n.follower.RecordPeerRevision(now, peer.CatalogueRevision, peer.CatalogueAge) || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
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
	n.offerCatalogue(snapshot)
}
