package entry

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// configurationFetchDelay is how long a node waits for its feed to bring a revision that a
	// peer has in force, before it reads the revision from the peer.
	configurationFetchDelay = 600 * time.Millisecond
	// configurationRetryDelay is the time between two reads from peers.
	configurationRetryDelay = 400 * time.Millisecond
)

// configurationFetcher reads newer configurations from peers, one at a time: reads that share a
// link would delay each other until none ends in time.
type configurationFetcher struct {
	entry *Entry

	mu sync.Mutex
	// newest is the peer with the newest revision that was seen. It is empty after a failed read,
	// so that the next read is from a peer that still answers.
	newest qf.Node
	// failed is the revision of the last failed read.
	failed    qf.Revision
	isRunning bool
}

// offer records a peer that has a revision in force, and starts to read it if it is newer.
func (f *configurationFetcher) offer(peer *qf.Node) {
	if peer.CatalogueRevision <= f.entry.configuration.Revision() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer.CatalogueRevision >= f.newest.CatalogueRevision {
		f.newest = *peer
	}
	if f.isRunning {
		return
	}
	f.isRunning = true
	mayWait := f.entry.configuration.Get() != nil && peer.CatalogueRevision > f.failed
	f.entry.background.Go(func() { f.run(f.entry.loops, mayWait) })
}

// run reads until the newest revision is in force. If it may wait, the feed gets the time to
// bring the revision first.
func (f *configurationFetcher) run(ctx context.Context, mayWait bool) {
	if mayWait {
		f.entry.sleep(ctx, configurationFetchDelay)
	}
	for {
		peer, isNewer := f.next(ctx)
		if !isNewer {
			return
		}
		if err := f.fetch(ctx, &peer); err != nil {
			qfevent.PeerFailed.Log(&f.entry.platform.Logger, peer.PeerAddress, err)
			f.entry.sleep(ctx, configurationRetryDelay)
			f.recordFailure(&peer)
		}
	}
}

// next returns the peer to read from, unless its revision is in force.
func (f *configurationFetcher) next(ctx context.Context) (peer qf.Node, isNewer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isRunning = ctx.Err() == nil && f.newest.CatalogueRevision > f.entry.configuration.Revision()
	return f.newest, f.isRunning
}

// recordFailure records a failed read, unless another peer was offered meanwhile.
func (f *configurationFetcher) recordFailure(peer *qf.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = max(f.failed, peer.CatalogueRevision)
	if f.newest.ID == peer.ID {
		f.newest = qf.Node{}
	}
}

// fetch reads a newer configuration from a peer and puts it in force.
func (f *configurationFetcher) fetch(ctx context.Context, peer *qf.Node) error {
	e := f.entry
	t := e.beginTransfer(nameConfiguration, sourcePeer, peer.ID)
	encoded, revision, err := e.platform.Peer.FetchCatalogue(ctx, peer.PeerAddress, e.configuration.Revision())
	e.endTransfer(&t, len(encoded), err)
	if err != nil {
		return err
	}
	if revision > e.configuration.Revision() {
		e.applyConfiguration(encoded, peer.ID)
	}
	if e.configuration.Revision() < peer.CatalogueRevision {
		return qf.NewError(qf.CodeNotYetKnown, qf.StepPeer, string(peer.ID), "the peer didn't return the revision that it has in force")
	}
	return nil
}
