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

// shadowEvery is the time between two copies of what is new. Callers get tokens
// at this pace while the node leaves.
const shadowEvery = 50 * time.Millisecond

// shadower keeps copies of the node's requests at peers while the node leaves,
// so that its death before the end of the hand-over loses nothing that a caller
// has seen.
type shadower struct {
	node *Node

	mu     sync.Mutex
	placed map[qf.RequestID]*placement
	// failed holds peers that didn't answer; they get no further copies.
	failed map[qf.NodeID]bool
}

// placement says where a request's shadow is.
type placement struct {
	record *qfrequest.Record
	peer   qf.Node
	// held is the number of tokens that the peer confirmed.
	held int
	// whole is true until the peer holds the record itself; final is true once it
	// knows that the answer ended.
	whole, final bool
}

func newShadower(n *Node) *shadower {
	return &shadower{node: n, placed: map[qf.RequestID]*placement{}, failed: map[qf.NodeID]bool{}}
}

// run copies until the context ends.
func (s *shadower) run(ctx context.Context) {
	ticks := s.node.platform.Clock.Every(shadowEvery)
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

// step places new requests and sends each peer what it lacks.
func (s *shadower) step(ctx context.Context) {
	records := s.node.records.ListForShadowing()
	s.place(records, s.peers())
	var sends sync.WaitGroup
	for peer, placements := range s.pending(records) {
		sends.Go(func() { s.send(ctx, peer, placements) })
	}
	sends.Wait()
}

func (s *shadower) peers() []qf.Node {
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

// place finds a peer for each record that has none. Without any peer, callers get
// their tokens as they come.
func (s *shadower) place(records []*qfrequest.Record, peers []qf.Node) {
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
			s.placed[id] = &placement{record: byID[id], peer: b.Peer, whole: true}
		}
	}
}

// pending groups by peer the placements that the peer lacks something of.
func (s *shadower) pending(records []*qfrequest.Record) map[qf.NodeID][]*placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	byPeer := map[qf.NodeID][]*placement{}
	for _, r := range records {
		p := s.placed[r.Request.ID]
		if p == nil {
			continue
		}
		all := r.FullProgress()
		if p.whole || len(all.Text) > p.held || all.Outcome != "" && !p.final {
			byPeer[p.peer.ID] = append(byPeer[p.peer.ID], p)
		}
	}
	return byPeer
}

// send copies to one peer, in batches. A peer that doesn't answer gets no more;
// the next step places its records elsewhere.
func (s *shadower) send(ctx context.Context, peer qf.NodeID, placements []*placement) {
	now := s.node.now()
	self := qf.NodeID(s.node.settings.Node.ID)
	for len(placements) > 0 {
		batch := placements[:min(qfhandover.MaxBatch, len(placements))]
		placements = placements[len(batch):]
		copies := make([]qf.RequestRecord, 0, len(batch))
		for _, p := range batch {
			copies = append(copies, p.record.Shadow(now, self, p.held, p.whole))
		}
		kept, err := s.node.platform.Peer.ReplicateRecords(ctx, batch[0].peer.PeerAddress, copies)
		if err != nil {
			s.fail(peer, err)
			return
		}
		s.confirm(batch, copies, kept)
	}
}

func (s *shadower) fail(peer qf.NodeID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[peer] = true
	qfevent.ShadowFailed.Log(&s.node.platform.Logger, peer, err)
}

// confirm notes what the peer holds now. What it didn't keep is sent whole again.
func (s *shadower) confirm(batch []*placement, copies []qf.RequestRecord, kept []qf.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isKept := map[qf.RequestID]bool{}
	for _, id := range kept {
		isKept[id] = true
	}
	for i, p := range batch {
		if !isKept[copies[i].Request.ID] {
			p.whole, p.held = true, 0
			continue
		}
		p.held = copies[i].TextFrom + len(copies[i].Text)
		p.whole = false
		p.final = copies[i].Final
		p.record.ConfirmShadow(p.held)
	}
}

// holder returns the peer that holds a request's shadow, or "".
func (s *shadower) holder(id qf.RequestID) qf.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.placed[id]; p != nil && !p.whole {
		return p.peer.ID
	}
	return ""
}
