package entry

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/state/qfevent"
)

// PeerTimeout bounds a call to a peer; the longest round trip is 60 ms.
const PeerTimeout = 800 * time.Millisecond

// peerPollTimeout is how long a peer may hold a call for changes. It is short, so that a hung
// peer is detected before a change must be in force.
const peerPollTimeout = time.Second

const (
	// nodeListTimeout is how long a starting node waits for the list of nodes before it reads
	// other feeds, and startupPollInterval the time between two checks.
	nodeListTimeout     = time.Second
	startupPollInterval = 100 * time.Millisecond
	// relayStartupTime is how long after its own start a node of a large fleet waits for a relay
	// that is starting too: if all start together, the store can't serve each of them.
	relayStartupTime = 4 * time.Second
	// relayRestoreTime is how long a node waits for its relay to read a feed again after the
	// store came back from an older copy, so that not all nodes read the store at once.
	relayRestoreTime = time.Second
)

// relayFeedReader is a qf.FeedReader that reads at the relay of the node's zone. It reads at the
// platform's store for the first snapshot, and whenever the node is the relay itself or the relay
// fails or has no current copy. Each feed has its own reader.
type relayFeedReader struct {
	entry *Entry
	// hasTriedStore is set once the first read at the store was tried.
	hasTriedStore bool
	// isReadingAnew is set while the copy is older than the store: the relay may be reading the
	// feed anew too.
	isReadingAnew bool
	// relayWithoutCopy is the relay that had no copy at the last read, or empty.
	relayWithoutCopy qf.NodeID
	// source is where the feed was last read, and answeredAt when.
	source     transferSource
	answeredAt time.Time
}

// ReadSnapshot implements qf.FeedReader.
func (s *relayFeedReader) ReadSnapshot(ctx context.Context, feed qf.FeedName) (qf.FeedPage, error) {
	e := s.entry
	if page, isDone := s.readStoreOnce(ctx, feed); isDone {
		return page, nil
	}
	s.waitForNodeList(ctx, feed)
	page, isDone, err := s.readRelaySnapshot(ctx, feed)
	if !isDone {
		page, err = s.readStore(feed, err, func() (qf.FeedPage, error) { return e.platform.Feed.ReadSnapshot(ctx, feed) })
	}
	if err == nil {
		s.isReadingAnew = false
		e.mirror.ApplySnapshot(feed, &page)
	}
	return page, err
}

// readStoreOnce reads a feed at the store once, the fastest way for a starting node. If too many
// nodes start together, those that the store refuses read at their relays.
func (s *relayFeedReader) readStoreOnce(ctx context.Context, feed qf.FeedName) (page qf.FeedPage, isDone bool) {
	if s.hasTriedStore {
		return page, false
	}
	s.hasTriedStore = true
	e := s.entry
	page, err := s.readStore(feed, nil, func() (qf.FeedPage, error) { return e.platform.Feed.ReadSnapshot(ctx, feed) })
	if err != nil {
		qfevent.FirstReadFailed.Log(&e.platform.Logger, feed, err)
		return page, false
	}
	e.mirror.ApplySnapshot(feed, &page)
	return page, true
}

// readRelaySnapshot reads all rows at the relay. In a large fleet, a starting node waits for a
// relay that is also starting to read the feed first.
func (s *relayFeedReader) readRelaySnapshot(ctx context.Context, feed qf.FeedName) (page qf.FeedPage, isDone bool, err error) {
	e := s.entry
	began := e.now()
	for {
		relays := e.feedRelays()
		page, isDone, err = s.readRelay(feed, func(address netip.AddrPort) (qf.FeedPage, error) {
			return e.platform.PeerFeed.ReadPeerSnapshot(ctx, address, feed)
		})
		isBehind := s.isReadingAnew && s.relayWithoutCopy != ""
		if isDone && err == nil && page.Era < e.platform.Eras.Era() {
			isBehind = true
			page, isDone, err = qf.FeedPage{}, false, qf.NewError(qf.CodeNotYetKnown, qf.StepTableRead, string(relays.Own.ID), "the relay's copy is of an earlier era of the store")
		}
		isEarly := e.now().Sub(e.startedAt) < relayStartupTime && relays.Nodes > fullExchangeUpTo
		mayWait := isEarly || isBehind && e.now().Sub(began) < relayRestoreTime
		if isDone || err == nil || !mayWait || ctx.Err() != nil {
			return page, isDone, err
		}
		e.sleep(ctx, startupPollInterval)
	}
}

// waitForNodeList waits for the list of nodes, from which a starting node finds its relay.
func (s *relayFeedReader) waitForNodeList(ctx context.Context, feed qf.FeedName) {
	e := s.entry
	for feed != qf.FeedNodes && e.now().Sub(e.startedAt) < nodeListTimeout && !e.hasNodes.Load() && ctx.Err() == nil {
		e.sleep(ctx, startupPollInterval)
	}
}

// ReadChanges implements qf.FeedReader.
func (s *relayFeedReader) ReadChanges(ctx context.Context, feed qf.FeedName, after qf.StorePosition, wait time.Duration) (qf.FeedPage, error) {
	e := s.entry
	if e.platform.Eras.Era() > after.Era {
		s.isReadingAnew = true
		return qf.FeedPage{}, qf.NewError(qf.CodeStaleRevision, qf.StepTableRead, string(feed), "the store is in a later era")
	}
	page, isDone, err := s.readRelay(feed, func(address netip.AddrPort) (qf.FeedPage, error) {
		return e.platform.PeerFeed.ReadPeerChanges(ctx, address, feed, after, peerPollTimeout)
	})
	if !isDone {
		page, err = s.readStore(feed, err, func() (qf.FeedPage, error) { return e.platform.Feed.ReadChanges(ctx, feed, after, wait) })
	}
	if err == nil {
		e.mirror.ApplyChanges(feed, after, &page)
	}
	s.isReadingAnew = errors.Is(err, &qf.Error{Code: qf.CodeStaleRevision})
	return page, err
}

// feedRelays returns the relays for feeds: a node that can't read the store may
// still sum tallies.
func (e *Entry) feedRelays() qfmember.Relays {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	isFailed := e.hasRelayFailed(now)
	return e.membership.Relays(now, func(id qf.NodeID) bool {
		stale, isKnown := e.relayStaleAt[id]
		return isFailed(id) || isKnown && now.Sub(stale) < relayRetryDelay
	})
}

// readStore reads at the store. The argument relayErr is why the relay isn't read, if it failed.
func (s *relayFeedReader) readStore(feed qf.FeedName, relayErr error, read func() (qf.FeedPage, error)) (qf.FeedPage, error) {
	e := s.entry
	t := e.beginTransfer(string(feed), sourceStore, "")
	page, err := read()
	e.endTransfer(&t, sizeOf(&page), err)
	page.Fold()
	e.mirror.RecordRead(feed, err)
	if !errors.Is(err, &qf.Error{Code: qf.CodeStaleRevision}) {
		s.skipRelayWithoutCopy()
	}
	if err == nil {
		s.recordAnswer(feed, sourceStore, "", relayErr)
	}
	return page, err
}

// skipRelayWithoutCopy makes the node use another relay for relayRetryDelay, because the store serves what the relay
// doesn't. While the store is in a later era than the copies, the relay is only as far behind as this node.
func (s *relayFeedReader) skipRelayWithoutCopy() {
	e := s.entry
	if now := e.now(); s.relayWithoutCopy != "" && now.Sub(e.startedAt) >= relayStartupTime {
		e.mu.Lock()
		e.relayStaleAt[s.relayWithoutCopy] = now
		e.mu.Unlock()
	}
}

// recordAnswer records where the feed was read, and logs a change of the source.
func (s *relayFeedReader) recordAnswer(feed qf.FeedName, source transferSource, peer qf.NodeID, relayErr error) {
	now := s.entry.now()
	if s.source != "" && s.source != source {
		qfevent.FeedMoved.Log(&s.entry.platform.Logger, feed, source, peer, now.Sub(s.answeredAt).String(), relayErr)
	}
	s.source, s.answeredAt = source, now
}

// readRelay reads at the relay, unless that is this node. isDone is false if the store must
// be read; err is then the relay's error, or nil if the node itself is the relay.
func (s *relayFeedReader) readRelay(feed qf.FeedName, ask func(netip.AddrPort) (qf.FeedPage, error)) (page qf.FeedPage, isDone bool, err error) {
	e := s.entry
	s.relayWithoutCopy = ""
	relays := e.feedRelays()
	if relays.IsSelf || relays.Own.ID == e.deployment.Self.ID {
		return page, false, nil
	}
	t := e.beginTransfer(string(feed), sourceRelay, relays.Own.ID)
	page, err = ask(relays.Own.PeerAddress)
	e.endTransfer(&t, sizeOf(&page), err)
	page.Fold()
	switch {
	case err == nil:
		s.recordAnswer(feed, sourceRelay, relays.Own.ID, nil)
		return page, true, nil
	case errors.Is(err, &qf.Error{Code: qf.CodeStaleRevision}):
		return page, true, err
	case errors.Is(err, &qf.Error{Code: qf.CodeNotYetKnown}):
		s.relayWithoutCopy = relays.Own.ID
		return page, false, err
	default:
		e.recordRelayFailure(relays.Own.ID, err)
		return page, false, err
	}
}

// recordRelayFailure records a failed call to a relay, which is then skipped for relayRetryDelay.
func (e *Entry) recordRelayFailure(id qf.NodeID, cause error) {
	now := e.now()
	e.mu.Lock()
	e.relayFailedAt[id] = now
	e.mu.Unlock()
	qfevent.PeerFailed.Log(&e.platform.Logger, id, cause)
}

// FeedWhole implements qfrpc.Handler.
func (e *Entry) FeedWhole(feed qf.FeedName) (qf.FeedPage, error) { return e.mirror.Snapshot(feed) }

// FeedSince implements qfrpc.Handler.
func (e *Entry) FeedSince(feed qf.FeedName, after qf.StorePosition, wait time.Duration) (qf.FeedPage, error) {
	return e.mirror.WaitForChanges(context.Background(), feed, after, wait)
}
