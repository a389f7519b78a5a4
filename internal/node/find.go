package node

import (
	"context"
	"sync"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfhandover"
	"quetzalfront/internal/qf/protocol/qfrequest"
)

// lookupBatch is how many peers are asked for a request at once.
const lookupBatch = 16

// Find returns a request that any node accepted: the node's own record, one that
// it adopts because the owner is gone, or one that says where the request is. It
// returns an error with CodeNotFound if no node that answers knows the request.
func (n *Node) Find(ctx context.Context, id qf.RequestID) (*qfrequest.Record, error) {
	if record := n.records.Get(id); record != nil {
		return record, nil
	}
	if record := n.resolveShadow(ctx, id); record != nil {
		return record, nil
	}
	if record := n.search(ctx, id); record != nil {
		return record, nil
	}
	return nil, qf.NewError(qf.CodeNotFound, qf.StepResume, n.settings.Node.ID, "the request isn't known at any node that answers")
}

// resolveShadow returns the record of a request of which this node holds the
// shadow: the owner's if the owner still stands by it, else the node adopts it.
func (n *Node) resolveShadow(ctx context.Context, id qf.RequestID) *qfrequest.Record {
	n.mu.Lock()
	shadow, ok := n.shadows.Get(n.now(), id, n.settings.Request.RetainFor.Value())
	n.mu.Unlock()
	if !ok {
		return nil
	}
	if owner, alive := n.peer(shadow.Owner); alive {
		found, err := n.platform.Peer.FetchRecord(ctx, owner.PeerAddress, id)
		if err == nil && !found.Copy && !shadow.Supersedes(found.Generation, found.Owner) {
			return qfrequest.NewMoved(n.now(), &found.Request, owner)
		}
	}
	if n.Phase() != PhaseServing {
		return nil
	}
	return n.adopt(&shadow)
}

// search asks the peers for a request, those first that would have taken it over.
func (n *Node) search(ctx context.Context, id qf.RequestID) *qfrequest.Record {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Peer.Timeout.Value())
	defer cancel()
	peers := qfhandover.RankPeers(id, n.answering())
	for len(peers) > 0 && ctx.Err() == nil {
		batch := peers[:min(lookupBatch, len(peers))]
		peers = peers[len(batch):]
		if peer, found, ok := best(n.lookup(ctx, id, batch)); ok {
			return qfrequest.NewMoved(n.now(), &found.Request, peer)
		}
	}
	return nil
}

// answering returns the peers from which an answer can be expected.
func (n *Node) answering() []qf.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var peers []qf.Node
	for _, p := range n.membership.Peers(n.now()) {
		if p.CallerAddress.IsValid() && (p.State == qf.NodeLive || p.State == qf.NodeLeaving) {
			peers = append(peers, p)
		}
	}
	return peers
}

// lookupAnswer is one peer's answer of a lookup.
type lookupAnswer struct {
	peer   qf.Node
	record qf.RequestRecord
	err    error
}

func (n *Node) lookup(ctx context.Context, id qf.RequestID, peers []qf.Node) []lookupAnswer {
	answers := make([]lookupAnswer, len(peers))
	var asked sync.WaitGroup
	for i, peer := range peers {
		asked.Go(func() {
			record, err := n.platform.Peer.FetchRecord(ctx, peer.PeerAddress, id)
			answers[i] = lookupAnswer{peer: peer, record: record, err: err}
		})
	}
	asked.Wait()
	return answers
}

// best picks the newest owner, or else the holder of the newest shadow.
func best(answers []lookupAnswer) (qf.Node, qf.RequestRecord, bool) {
	var chosen *lookupAnswer
	for i := range answers {
		a := &answers[i]
		switch {
		case a.err != nil:
		case chosen == nil || chosen.record.Copy && !a.record.Copy:
			chosen = a
		case chosen.record.Copy == a.record.Copy && a.record.Supersedes(chosen.record.Generation, chosen.record.Owner):
			chosen = a
		}
	}
	if chosen == nil {
		return qf.Node{}, qf.RequestRecord{}, false
	}
	return chosen.peer, chosen.record, true
}

// likelyOwners is how many peers, besides the caller's previous node, are asked
// whether they work on a request that a caller resumed with its own text.
const likelyOwners = 3

// stopPrevious stops the work of other nodes on a request that this node resumed
// from the caller's text. It runs in the background: both may work on it for a
// moment, and only this node's answer reaches the caller.
func (n *Node) stopPrevious(record *qfrequest.Record) {
	record.MarkWatched()
	previous := record.Request.PreviousNode
	n.workers.Go(func() {
		var asked []qf.Node
		for i, p := range qfhandover.RankPeers(record.Request.ID, n.answering()) {
			if i < likelyOwners || p.CallerAddress == previous {
				asked = append(asked, p)
			}
		}
		for _, a := range n.lookup(n.ctx, record.Request.ID, asked) {
			if a.err != nil || a.record.Copy || a.record.Final {
				continue
			}
			record.RaiseGeneration(a.record.Generation + 1)
			n.tellOwner(record, a.peer.ID)
		}
	})
}
