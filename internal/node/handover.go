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

// handing is one request on its way to another node.
type handing struct {
	record *qfrequest.Record
	// released is what the next owner gets. It is meaningful only if isReleased is
	// true.
	released   qf.RequestRecord
	isReleased bool
	// excluded lists the peers that didn't take the request.
	excluded []qf.NodeID
	done     bool
}

// handOverAll moves the requests in progress to peers and returns how many were
// taken. It ends when the context does, when all are taken or when no peer is
// left to ask; the node goes on with the others.
func (n *Node) handOverAll(ctx context.Context, shadows *shadower) int {
	handings := map[qf.RequestID]*handing{}
	for _, record := range n.records.ListOpen() {
		if record.Request.Kind == qf.KindModelEngine {
			handings[record.Request.ID] = &handing{record: record}
		}
	}
	for ctx.Err() == nil {
		batches := qfhandover.PlanBatches(n.candidates(handings, shadows), n.successors())
		if len(batches) == 0 {
			break
		}
		n.offerAll(ctx, handings, batches)
	}
	moved := 0
	for _, h := range handings {
		if h.record.FullProgress().Moved != nil {
			moved++
		} else if h.isReleased && !h.done {
			n.takeBack(h)
		}
	}
	return moved
}

func (n *Node) candidates(handings map[qf.RequestID]*handing, shadows *shadower) []qfhandover.Candidate {
	var candidates []qfhandover.Candidate
	for id, h := range handings {
		if h.done || !h.isReleased && !h.record.IsOwned() {
			continue
		}
		candidates = append(candidates, qfhandover.Candidate{
			ID: id, Deadline: h.record.Request.Deadline, Shadow: shadows.holder(id), Excluded: h.excluded,
		})
	}
	return candidates
}

// offerAll offers each peer its batches one after the other, and all peers at
// once. A request is released only when its batch is due.
func (n *Node) offerAll(ctx context.Context, handings map[qf.RequestID]*handing, batches []qfhandover.Batch) {
	byPeer := map[qf.NodeID][]qfhandover.Batch{}
	for _, b := range batches {
		byPeer[b.Peer.ID] = append(byPeer[b.Peer.ID], b)
	}
	var offers sync.WaitGroup
	for _, own := range byPeer {
		offers.Go(func() {
			answers := true
			for _, b := range own {
				var batch []*handing
				for _, id := range b.Requests {
					batch = append(batch, handings[id])
				}
				answers = answers && ctx.Err() == nil && n.offer(ctx, b.Peer, batch)
				if !answers {
					exclude(batch, b.Peer.ID)
				}
			}
		})
	}
	offers.Wait()
}

func exclude(batch []*handing, peer qf.NodeID) {
	for _, h := range batch {
		if !h.done && !slices.Contains(h.excluded, peer) {
			h.excluded = append(h.excluded, peer)
		}
	}
}

// offer releases one batch and offers it to a peer. It returns false if the peer
// didn't answer.
func (n *Node) offer(ctx context.Context, peer qf.Node, batch []*handing) bool {
	var records []qf.RequestRecord
	for _, h := range batch {
		if !h.isReleased {
			h.released, h.isReleased = h.record.Release(n.now())
			h.done = !h.isReleased // It ended in the meantime.
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
			n.settleOffer(ctx, h, peer, &result)
		}
	}
	return result.Certainty == qf.Done
}

// settleOffer notes what became of one request of an offer. If the outcome is
// unknown the peer is asked; if that doesn't tell, the request goes on under a
// higher generation, and its next owner tells the peer.
func (n *Node) settleOffer(ctx context.Context, h *handing, peer qf.Node, result *qf.Result[[]qf.RequestID]) {
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
	exclude([]*handing{h}, peer.ID)
}

// takeBack goes on with a released request that nobody took.
func (n *Node) takeBack(h *handing) {
	if !h.record.Restore(n.settings.Request.MaxAttempts, h.released.Generation+1) {
		return
	}
	n.records.MarkReopened()
	n.run(h.record, false)
	for _, other := range h.released.Offered {
		n.tellOwner(h.record, other)
	}
}
