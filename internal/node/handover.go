package node

import (
	"context"
	"slices"
	"sync"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfhandover"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
)

// pendingHandOver is a request that is being handed over to another node.
type pendingHandOver struct {
	record *qfrequest.Record
	// released is the record that the next owner receives. It is valid only if isReleased
	// is true.
	released   qf.RequestRecord
	isReleased bool
	// excluded lists the peers that didn't take the request.
	excluded []qf.NodeID
	// done is true once the request was taken or has ended.
	done bool
}

// handOverAll hands the requests in progress over to peers and returns how many were
// taken. It ends when the context does, when all are taken or when no peer is left. This
// node continues to run the others.
func (n *Node) handOverAll(ctx context.Context, shadows *shadowReplicator) int {
	pending := map[qf.RequestID]*pendingHandOver{}
	for _, record := range n.records.ListOpen() {
		if record.Request.Kind == qf.KindModelEngine {
			pending[record.Request.ID] = &pendingHandOver{record: record}
		}
	}
	for ctx.Err() == nil {
		batches := qfhandover.PlanBatches(n.handOverCandidates(pending, shadows), n.successors())
		if len(batches) == 0 {
			break
		}
		n.offerBatches(ctx, pending, batches)
	}
	moved := 0
	for _, h := range pending {
		if h.record.FullProgress().Moved != nil {
			moved++
		} else if h.isReleased && !h.done {
			n.restoreReleased(h)
		}
	}
	return moved
}

// handOverCandidates returns the requests that still need a new owner.
func (n *Node) handOverCandidates(pending map[qf.RequestID]*pendingHandOver, shadows *shadowReplicator) []qfhandover.Candidate {
	var candidates []qfhandover.Candidate
	for id, h := range pending {
		if h.done || !h.isReleased && !h.record.IsOwned() {
			continue
		}
		candidates = append(candidates, qfhandover.Candidate{
			ID: id, Deadline: h.record.Request.Deadline, Shadow: shadows.holder(id), Excluded: h.excluded,
		})
	}
	return candidates
}

// offerBatches offers each peer its batches in turn, to all peers concurrently. A request
// is released only when its batch is sent, so that it runs here until then.
func (n *Node) offerBatches(ctx context.Context, pending map[qf.RequestID]*pendingHandOver, batches []qfhandover.Batch) {
	byPeer := map[qf.NodeID][]qfhandover.Batch{}
	for _, b := range batches {
		byPeer[b.Peer.ID] = append(byPeer[b.Peer.ID], b)
	}
	var offers sync.WaitGroup
	for _, peerBatches := range byPeer {
		offers.Go(func() {
			answers := true
			for _, b := range peerBatches {
				var batch []*pendingHandOver
				for _, id := range b.Requests {
					batch = append(batch, pending[id])
				}
				answers = answers && ctx.Err() == nil && n.offerBatch(ctx, b.Peer, batch)
				if !answers {
					excludePeer(batch, b.Peer.ID)
				}
			}
		})
	}
	offers.Wait()
}

// excludePeer prevents the open requests of a batch from being offered to a peer again.
func excludePeer(batch []*pendingHandOver, peer qf.NodeID) {
	for _, h := range batch {
		if !h.done && !slices.Contains(h.excluded, peer) {
			h.excluded = append(h.excluded, peer)
		}
	}
}

// offerBatch releases a batch of requests and offers it to a peer. It returns false if the
// peer didn't answer.
func (n *Node) offerBatch(ctx context.Context, peer qf.Node, batch []*pendingHandOver) bool {
	var records []qf.RequestRecord
	for _, h := range batch {
		if !h.isReleased {
			h.released, h.isReleased = h.record.Release(n.now())
			h.done = !h.isReleased // The request has ended.
		}
		if !h.done {
			h.released.Owner = peer.ID
			h.released.TimeLeft = h.record.Request.Deadline.Sub(n.now())
			records = append(records, h.released)
		}
	}
	if len(records) == 0 {
		return true
	}
	result := n.platform.Peer.HandOverRequests(ctx, peer.PeerAddress, records)
	if result.Certainty != qf.Done {
		qfevent.HandOverFailed.Log(&n.platform.Logger, peer.ID, result.Err)
	}
	for _, h := range batch {
		if !h.done {
			n.recordOfferResult(ctx, h, peer, &result)
		}
	}
	return result.Certainty == qf.Done
}

// recordOfferResult records whether a peer took one request of an offer. If the outcome
// is unknown, it queries the peer. Unless the peer confirms that it owns the request, the
// request continues under a higher generation, and its next owner notifies the peer.
func (n *Node) recordOfferResult(ctx context.Context, h *pendingHandOver, peer qf.Node, result *qf.Result[[]qf.RequestID]) {
	id := h.record.Request.ID
	taken := result.Certainty == qf.Done && slices.Contains(result.Value, id)
	if result.Certainty == qf.Unknown {
		found, err := n.platform.Peer.FetchRecord(ctx, peer.PeerAddress, id)
		taken = err == nil && !found.Copy && found.Generation == h.released.Generation
	}
	if taken {
		h.done = true
		h.record.MoveTo(n.now(), peer)
		return
	}
	if result.Certainty == qf.Unknown {
		h.released.Offered = append(h.released.Offered, peer.ID)
		h.released.Generation++
	}
	excludePeer([]*pendingHandOver{h}, peer.ID)
}

// restoreReleased resumes a released request that no peer took.
func (n *Node) restoreReleased(h *pendingHandOver) {
	if !h.record.Restore(n.settings.Request.MaxAttempts, h.released.Generation+1) {
		return
	}
	n.records.MarkReopened()
	n.runRecord(h.record, false)
	for _, other := range h.released.Offered {
		n.announceOwnership(h.record, other)
	}
}
