package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
)

// TakeOver implements qfrpc.Handler. It returns the requests that this node owns
// from now on.
func (n *Node) TakeOver(records []qf.RequestRecord) []qf.RequestID {
	var taken []qf.RequestID
	if n.Phase() != PhaseServing {
		return taken // A node that leaves itself would only move them again.
	}
	for i := range records {
		if n.take(&records[i]) {
			taken = append(taken, records[i].Request.ID)
		}
	}
	qfevent.RequestTaken.Log(&n.platform.Logger, len(taken))
	return taken
}

// take makes the node the owner of one request. An offer that comes twice is
// taken once.
func (n *Node) take(from *qf.RequestRecord) bool {
	id := from.Request.ID
	if known := n.records.Get(id); known != nil && known.IsOwned() && known.Generation() == from.Generation {
		return true
	}
	n.mu.Lock()
	isStale := n.shadows.IsStale(from)
	n.mu.Unlock()
	record := qfrequest.NewResumed(from, n.now(), n.settings.Request.MaxAttempts)
	if to, ok := n.endpoint(from.Endpoint); ok {
		record.PreferEndpoint(to, from.Attempt)
	}
	if isStale || n.startTaken(record) != nil {
		return false
	}
	n.mu.Lock()
	n.shadows.Delete(id)
	n.mu.Unlock()
	for _, other := range from.Offered {
		n.tellOwner(record, other)
	}
	return true
}

// endpoint returns an endpoint that isn't under notice.
func (n *Node) endpoint(id qf.EndpointID) (qf.Endpoint, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.endpoints {
		if e := &n.endpoints[i]; e.ID == id {
			return *e, !n.membership.IsDeparting(e.VM, e.Incarnation)
		}
	}
	return qf.Endpoint{}, false
}

// startTaken runs a request that was accepted by another node. It counts against
// the limits where they have room, but is never refused because of them.
func (n *Node) startTaken(record *qfrequest.Record) error {
	n.mu.Lock()
	admission := n.limiter.AdmitRequest(qf.AdmitQuery{Now: n.now(), Request: record.Request, InProgress: n.records.InProgress()})
	n.mu.Unlock()
	err := n.records.Add(record)
	if err != nil {
		if admission.Admitted {
			n.release(record.Request, 0)
		}
		return err
	}
	n.run(record, admission.Admitted)
	return nil
}

// adopt makes this node the owner of a request of which it holds the shadow,
// because its owner doesn't answer for it.
func (n *Node) adopt(shadow *qf.RequestRecord) *qfrequest.Record {
	previous := shadow.Owner
	n.mu.Lock()
	shadow.Generation = n.shadows.NewestGeneration(shadow.Request.ID) + 1
	n.mu.Unlock()
	shadow.Owner = qf.NodeID(n.settings.Node.ID)
	if shadow.TimeLeft <= 0 && !shadow.Final || !n.take(shadow) {
		return nil
	}
	record := n.records.Get(shadow.Request.ID)
	qfevent.ShadowAdopted.Log(&n.platform.Logger, shadow.Request.ID, previous, len(shadow.Text))
	if record != nil {
		record.MarkWatched()
		n.tellOwner(record, previous)
	}
	return record
}

// noticeTries bounds how often a stale owner is told; it is told again after
// noticeEvery.
const (
	noticeTries = 10
	noticeEvery = time.Second
)

// tellOwner tells a node in the background that this one owns a request, until
// the node has heard it, is dead, or the request has ended.
func (n *Node) tellOwner(record *qfrequest.Record, other qf.NodeID) {
	if other == "" || other == qf.NodeID(n.settings.Node.ID) {
		return
	}
	n.workers.Go(func() {
		for range noticeTries {
			peer, ok := n.peer(other)
			if !ok || n.notify(n.ctx, record, peer) || !record.IsOwned() {
				return
			}
			if n.pause(noticeEvery); n.ctx.Err() != nil {
				return
			}
		}
	})
}

// notify sends one notice of ownership and reports whether it arrived.
func (n *Node) notify(ctx context.Context, record *qfrequest.Record, peer qf.Node) bool {
	notice := record.OwnershipRecord(n.now(), qf.NodeID(n.settings.Node.ID))
	notice.Notice = true
	_, err := n.platform.Peer.ReplicateRecords(ctx, peer.PeerAddress, []qf.RequestRecord{notice})
	return err == nil
}

// peer returns a node that isn't dead.
func (n *Node) peer(id qf.NodeID) (qf.Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.membership.Peers(n.now()) {
		if p.ID == id {
			return p, true
		}
	}
	return qf.Node{}, false
}

// KeepShadows implements qfrpc.Handler.
func (n *Node) KeepShadows(records []qf.RequestRecord) []qf.RequestID {
	var kept []qf.RequestID
	for i := range records {
		if n.keepShadow(&records[i]) {
			kept = append(kept, records[i].Request.ID)
		}
	}
	return kept
}

// keepShadow keeps one copy. If this node owns the request, the copy's generation
// decides which of the two owners goes on.
func (n *Node) keepShadow(shadow *qf.RequestRecord) bool {
	own := n.records.Get(shadow.Request.ID)
	if own != nil && own.IsOwned() {
		return n.compareOwners(own, shadow)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if shadow.Notice {
		n.shadows.RecordOwner(n.now(), shadow, n.settings.Request.RetainFor.Value())
		return true
	}
	return n.shadows.Store(n.now(), shadow, n.settings.Request.RetainFor.Value())
}

// compareOwners stops this node's work on a request if the other owner's claim is
// newer. An owner whose answer no caller has read gives way to one whose answer
// was read, because the two texts may differ; this node then takes a generation
// above the other's.
func (n *Node) compareOwners(own *qfrequest.Record, other *qf.RequestRecord) bool {
	if !other.Supersedes(own.Generation(), qf.NodeID(n.settings.Node.ID)) {
		return false
	}
	if own.IsWatched() && !other.Watched {
		own.RaiseGeneration(other.Generation + 1)
		n.tellOwner(own, other.Owner)
		return false
	}
	owner, ok := n.peer(other.Owner)
	if !ok {
		return false
	}
	own.Supersede(n.now(), owner, other.Generation)
	qfevent.OwnershipLost.Log(&n.platform.Logger, other.Request.ID, other.Owner)
	return true
}

// Lookup implements qfrpc.Handler.
func (n *Node) Lookup(id qf.RequestID) (qf.RequestRecord, error) {
	now := n.now()
	if record := n.records.Get(id); record != nil && record.FullProgress().Moved == nil {
		return record.OwnershipRecord(now, qf.NodeID(n.settings.Node.ID)), nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	shadow, ok := n.shadows.Get(now, id, n.settings.Request.RetainFor.Value())
	if !ok {
		return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepPeer, n.settings.Node.ID, "the request isn't known here")
	}
	shadow.Text = nil
	shadow.Request.Messages = nil
	shadow.Copy = true
	return shadow, nil
}
