package node

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfhandover"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
)

// shadowInterval is the time between two replications. While the node leaves, callers
// receive new tokens only at this interval.
const shadowInterval = 50 * time.Millisecond

// shadowReplicator replicates the node's requests to peers while the node leaves. If the
// node dies before the hand-over is complete, nothing that a caller received is lost.
type shadowReplicator struct {
	node *Node

	mu     sync.Mutex
	placed map[qf.RequestID]*placement
	// failed holds the peers that didn't answer; they get no further shadows.
	failed map[qf.NodeID]bool
}

// placement is the location and state of a request's shadow.
type placement struct {
	record *qfrequest.Record
	peer   qf.Node
	// confirmedTokens is the number of tokens that the peer has confirmed.
	confirmedTokens int
	// needsRecord is true until the peer has confirmed the whole record. hasFinal is true
	// once it has confirmed the end of the answer.
	needsRecord, hasFinal bool
}

func newShadowReplicator(n *Node) *shadowReplicator {
	return &shadowReplicator{node: n, placed: map[qf.RequestID]*placement{}, failed: map[qf.NodeID]bool{}}
}

// run replicates periodically until the context ends.
func (s *shadowReplicator) run(ctx context.Context) {
	ticks := s.node.platform.Clock.Every(shadowInterval)
	defer ticks.Stop()
	for {
		s.step(ctx)
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return
		}
	}
}

// step assigns new requests to peers and sends each peer what it lacks.
func (s *shadowReplicator) step(ctx context.Context) {
	records := s.node.records.ListForShadowing()
	s.placeRecords(records, s.peers())
	var sends sync.WaitGroup
	for peer, placements := range s.pendingByPeer(records) {
		sends.Go(func() { s.send(ctx, peer, placements) })
	}
	sends.Wait()
}

// peers returns the peers that may hold shadows.
func (s *shadowReplicator) peers() []qf.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []qf.Node
	for _, p := range s.node.successors() {
		if !s.failed[p.ID] {
			peers = append(peers, p)
		}
	}
	return peers
}

// placeRecords assigns a peer to each record that has none. If there is no peer, callers
// receive their tokens as they are generated.
func (s *shadowReplicator) placeRecords(records []*qfrequest.Record, peers []qf.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := map[qf.NodeID]bool{}
	for _, p := range peers {
		usable[p.ID] = true
	}
	byID := map[qf.RequestID]*qfrequest.Record{}
	var candidates []qfhandover.Candidate
	for _, r := range records {
		if p := s.placed[r.Request.ID]; p != nil && p.record == r && usable[p.peer.ID] {
			continue
		}
		if len(peers) == 0 {
			delete(s.placed, r.Request.ID)
			r.LiftShadowLimit()
			continue
		}
		r.LimitToShadowed()
		byID[r.Request.ID] = r
		candidates = append(candidates, qfhandover.Candidate{ID: r.Request.ID, Deadline: r.Request.Deadline})
	}
	for _, b := range qfhandover.PlanBatches(candidates, peers) {
		for _, id := range b.Requests {
			s.placed[id] = &placement{record: byID[id], peer: b.Peer, needsRecord: true}
		}
	}
}

// pendingByPeer returns the placements whose peer lacks new tokens, the record or the end
// of the answer, grouped by peer.
func (s *shadowReplicator) pendingByPeer(records []*qfrequest.Record) map[qf.NodeID][]*placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	byPeer := map[qf.NodeID][]*placement{}
	for _, r := range records {
		p := s.placed[r.Request.ID]
		if p == nil {
			continue
		}
		all := r.FullProgress()
		if p.needsRecord || len(all.Text) > p.confirmedTokens || all.Outcome != "" && !p.hasFinal {
			byPeer[p.peer.ID] = append(byPeer[p.peer.ID], p)
		}
	}
	return byPeer
}

// send replicates records to one peer, in batches. A peer that doesn't answer gets no
// more; the next step assigns its records to other peers.
func (s *shadowReplicator) send(ctx context.Context, peer qf.NodeID, placements []*placement) {
	now := s.node.now()
	self := qf.NodeID(s.node.settings.Node.ID)
	for len(placements) > 0 {
		batch := placements[:min(qfhandover.MaxBatch, len(placements))]
		placements = placements[len(batch):]
		copies := make([]qf.RequestRecord, 0, len(batch))
		for _, p := range batch {
			copies = append(copies, p.record.Shadow(now, self, p.confirmedTokens, p.needsRecord))
		}
		stored, err := s.node.platform.Peer.ReplicateRecords(ctx, batch[0].peer.PeerAddress, copies)
		if err != nil {
			s.markFailed(peer, err)
			return
		}
		s.confirm(batch, copies, stored)
	}
}

func (s *shadowReplicator) markFailed(peer qf.NodeID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[peer] = true
	qfevent.ShadowFailed.Log(&s.node.platform.Logger, peer, err)
}

// confirm records what the peer stored. Records that it didn't store are sent whole again.
func (s *shadowReplicator) confirm(batch []*placement, copies []qf.RequestRecord, stored []qf.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isStored := map[qf.RequestID]bool{}
	for _, id := range stored {
		isStored[id] = true
	}
	for i, p := range batch {
		if !isStored[copies[i].Request.ID] {
			p.needsRecord, p.confirmedTokens = true, 0
			continue
		}
		p.confirmedTokens = copies[i].TextFrom + len(copies[i].Text)
		p.needsRecord = false
		p.hasFinal = copies[i].Final
		p.record.ConfirmShadow(p.confirmedTokens)
	}
}

// holder returns the peer that holds a request's shadow, or "".
func (s *shadowReplicator) holder(id qf.RequestID) qf.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.placed[id]; p != nil && !p.needsRecord {
		return p.peer.ID
	}
	return ""
}
