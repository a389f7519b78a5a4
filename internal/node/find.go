package node

import (
	"context"
	"sync"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfhandover"
	"quetzalfront/internal/qf/protocol/qfrequest"
)

// lookupBatchSize is the number of peers that are queried for a request at once.
const lookupBatchSize = 16

// Find returns the record of a request that any node accepted: the node's own, one that
// it adopts because the owner is gone, or one that redirects to the owner. It returns an
// error with CodeNotFound if no responding node has the request.
func (n *Node) Find(ctx context.Context, id qf.RequestID) (*qfrequest.Record, error) {
	if record := n.records.Get(id); record != nil {
		return record, nil
	}
	if record := n.resolveShadow(ctx, id); record != nil {
		return record, nil
	}
	if record := n.searchPeers(ctx, id); record != nil {
		return record, nil
	}
	return nil, qf.NewError(qf.CodeNotFound, qf.StepResume, n.settings.Node.ID, "no node that answered has a record of the request")
}

// resolveShadow returns the record of a request of which this node holds the shadow. If
// the owner confirms that it still owns the request, the record redirects to it; otherwise
// this node adopts the request. It returns nil if the node can do neither.
func (n *Node) resolveShadow(ctx context.Context, id qf.RequestID) *qfrequest.Record {
	n.mu.Lock()
	shadow, ok := n.shadowStore.Get(n.now(), id, n.settings.Request.RetainFor.Value())
	n.mu.Unlock()
	if !ok {
		return nil
	}
	if owner, isAlive := n.findPeer(shadow.Owner); isAlive {
		found, err := n.platform.Peer.FetchRecord(ctx, owner.PeerAddress, id)
		if err == nil && !found.Copy && !shadow.Supersedes(found.Generation, found.Owner) {
			return qfrequest.NewMoved(n.now(), &found.Request, owner)
		}
	}
	if n.Phase() != PhaseServing {
		return nil
	}
	return n.adoptShadow(&shadow)
}

// searchPeers queries the peers for a request, in the order in which they are chosen for
// hand-overs. It returns nil if none has it.
func (n *Node) searchPeers(ctx context.Context, id qf.RequestID) *qfrequest.Record {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Peer.Timeout.Value())
	defer cancel()
	peers := qfhandover.RankPeers(id, n.responsivePeers())
	for len(peers) > 0 && ctx.Err() == nil {
		batch := peers[:min(lookupBatchSize, len(peers))]
		peers = peers[len(batch):]
		if peer, found, ok := newestAnswer(n.fetchRecords(ctx, id, batch)); ok {
			return qfrequest.NewMoved(n.now(), &found.Request, peer)
		}
	}
	return nil
}

// responsivePeers returns the peers that are expected to answer: those that are live or
// leaving.
func (n *Node) responsivePeers() []qf.Node {
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

// lookupAnswer is one peer's answer to a lookup.
type lookupAnswer struct {
	peer   qf.Node
	record qf.RequestRecord
	err    error
}

// fetchRecords queries the given peers for a request concurrently.
func (n *Node) fetchRecords(ctx context.Context, id qf.RequestID, peers []qf.Node) []lookupAnswer {
	answers := make([]lookupAnswer, len(peers))
	var fetches sync.WaitGroup
	for i, peer := range peers {
		fetches.Go(func() {
			record, err := n.platform.Peer.FetchRecord(ctx, peer.PeerAddress, id)
			answers[i] = lookupAnswer{peer: peer, record: record, err: err}
		})
	}
	fetches.Wait()
	return answers
}

// newestAnswer returns the newest owner and its record, or the holder of the newest shadow
// if no owner answered.
func newestAnswer(answers []lookupAnswer) (qf.Node, qf.RequestRecord, bool) {
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

// maxLikelyOwners is the number of peers, besides the caller's previous node, that are
// queried whether they run a request that a caller resumed with its own text.
const maxLikelyOwners = 3

// stopPreviousOwners stops other nodes' attempts for a request that this node resumed
// from the caller's text. It runs in the background. Until it is done, both nodes may run
// the request, but only this node's answer reaches the caller.
func (n *Node) stopPreviousOwners(record *qfrequest.Record) {
	record.MarkWatched()
	previous := record.Request.PreviousNode
	n.workers.Go(func() {
		var likely []qf.Node
		for i, p := range qfhandover.RankPeers(record.Request.ID, n.responsivePeers()) {
			if i < maxLikelyOwners || p.CallerAddress == previous {
				likely = append(likely, p)
			}
		}
		for _, a := range n.fetchRecords(n.ctx, record.Request.ID, likely) {
			if a.err != nil || a.record.Copy || a.record.Final {
				continue
			}
			record.RaiseGeneration(a.record.Generation + 1)
			n.announceOwnership(record, a.peer.ID)
		}
	})
}
