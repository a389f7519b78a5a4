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

// peerWait is how long a peer may hold a call for changes. It is short, because a peer
// that hangs must be found before a change is due.
const peerWait = time.Second

const (
	// firstWait is how long a node that starts waits for the list of nodes before it reads
	// other feeds, and firstPause the time between two looks.
	firstWait  = time.Second
	firstPause = 100 * time.Millisecond
	// relayStarts is how long after its own start a node of a large fleet waits for a relay
	// that is starting too: if all start together, the store can't serve each of them.
	relayStarts = 4 * time.Second
)

// feedSource is a qf.FeedReader that reads at the relay of the node's zone, and at the
// platform's store if the node is the relay or the relay can't tell. Each feed has its own.
type feedSource struct {
	entry *Entry
	// hasBegun is set once the feed was read at the store for the first time, or that
	// failed.
	hasBegun bool
}

// ReadSnapshot implements qf.FeedReader.
func (s *feedSource) ReadSnapshot(ctx context.Context, feed qf.FeedName) (qf.FeedPage, error) {
	e := s.entry
	if page, isDone := s.begin(ctx, feed); isDone {
		return page, nil
	}
	s.awaitNodes(ctx, feed)
	page, isDone, err := s.wholeAtRelay(ctx, feed)
	if !isDone {
		page, err = e.platform.Feed.ReadSnapshot(ctx, feed)
		e.mirror.RecordRead(feed, err)
	}
	if err == nil {
		e.mirror.ApplySnapshot(feed, &page)
	}
	return page, err
}

// begin reads a feed at the store once, which is the quickest way for a node that starts. If
// too many start together for the store, those that it refuses read at their relays.
func (s *feedSource) begin(ctx context.Context, feed qf.FeedName) (page qf.FeedPage, isDone bool) {
	if s.hasBegun {
		return page, false
	}
	s.hasBegun = true
	e := s.entry
	page, err := e.platform.Feed.ReadSnapshot(ctx, feed)
	e.mirror.RecordRead(feed, err)
	if err != nil {
		qfevent.FirstReadFailed.Log(&e.platform.Logger, feed, err)
		return page, false
	}
	e.mirror.ApplySnapshot(feed, &page)
	return page, true
}

// wholeAtRelay reads all rows at the relay. A node of a large fleet that starts gives a
// relay that starts too the time to read the feed first.
func (s *feedSource) wholeAtRelay(ctx context.Context, feed qf.FeedName) (page qf.FeedPage, isDone bool, err error) {
	e := s.entry
	for {
		relays := e.feedRelays()
		page, isDone, err = s.atRelay(func(address netip.AddrPort) (qf.FeedPage, error) {
			return e.platform.PeerFeed.ReadPeerSnapshot(ctx, address, feed)
		})
		isEarly := e.now().Sub(e.startedAt) < relayStarts && relays.Nodes > fullExchangeUpTo
		if isDone || err == nil || !isEarly || ctx.Err() != nil {
			return page, isDone, err
		}
		e.sleep(ctx, firstPause)
	}
}

// awaitNodes lets a node that starts find its relay.
func (s *feedSource) awaitNodes(ctx context.Context, feed qf.FeedName) {
	e := s.entry
	for feed != qf.FeedNodes && e.now().Sub(e.startedAt) < firstWait && !e.hasNodes.Load() && ctx.Err() == nil {
		e.sleep(ctx, firstPause)
	}
}

// ReadChanges implements qf.FeedReader.
func (s *feedSource) ReadChanges(ctx context.Context, feed qf.FeedName, after uint64, wait time.Duration) (qf.FeedPage, error) {
	e := s.entry
	page, isDone, err := s.atRelay(func(address netip.AddrPort) (qf.FeedPage, error) {
		return e.platform.PeerFeed.ReadPeerChanges(ctx, address, feed, after, peerWait)
	})
	if !isDone {
		page, err = e.platform.Feed.ReadChanges(ctx, feed, after, wait)
		e.mirror.RecordRead(feed, err)
	}
	if err == nil {
		e.mirror.ApplyChanges(feed, after, &page)
	}
	return page, err
}

// feedRelays returns the relays for feeds: a node that can't read the store itself may
// still add up counts.
func (e *Entry) feedRelays() qfmember.Relays {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	isFailed := e.isAvoided(now)
	return e.membership.Relays(now, func(id qf.NodeID) bool {
		stale, isKnown := e.staleAt[id]
		return isFailed(id) || isKnown && now.Sub(stale) < avoidFor
	})
}

// atRelay asks the relay, unless that is this node. isDone is false if the store must
// be asked; err then says why the relay can't tell, or is nil if there is none.
func (s *feedSource) atRelay(ask func(netip.AddrPort) (qf.FeedPage, error)) (page qf.FeedPage, isDone bool, err error) {
	e := s.entry
	relays := e.feedRelays()
	if relays.IsSelf || relays.Own.ID == e.deployment.Self.ID {
		return page, false, nil
	}
	page, err = ask(relays.Own.PeerAddress)
	switch {
	case err == nil, errors.Is(err, &qf.Error{Code: qf.CodeStaleRevision}):
		return page, true, err
	case errors.Is(err, &qf.Error{Code: qf.CodeNotYetKnown}):
		if now := e.now(); now.Sub(e.startedAt) >= relayStarts {
			e.mu.Lock()
			e.staleAt[relays.Own.ID] = now
			e.mu.Unlock()
		}
		return page, false, err
	default:
		e.avoid(relays.Own.ID, err)
		return page, false, err
	}
}

// avoid leaves a node out as a relay for some time.
func (e *Entry) avoid(id qf.NodeID, cause error) {
	now := e.now()
	e.mu.Lock()
	e.failedAt[id] = now
	e.mu.Unlock()
	qfevent.PeerFailed.Log(&e.platform.Logger, id, cause)
}

// FeedWhole implements qfrpc.Handler.
func (e *Entry) FeedWhole(feed qf.FeedName) (qf.FeedPage, error) { return e.mirror.Snapshot(feed) }

// FeedSince implements qfrpc.Handler.
func (e *Entry) FeedSince(feed qf.FeedName, after uint64, wait time.Duration) (qf.FeedPage, error) {
	return e.mirror.WaitForChanges(context.Background(), feed, after, wait)
}
