package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
)

// TakeOver implements qfrpc.Handler. It returns the requests that this node now
// owns.
func (n *Node) TakeOver(records []qf.RequestRecord) []qf.RequestID {
	var taken []qf.RequestID
	if n.Phase() != PhaseServing {
		return taken // A leaving node would have to hand them over again.
	}
	for i := range records {
		if n.takeRequest(&records[i]) {
			taken = append(taken, records[i].Request.ID)
		}
	}
	qfevent.RequestTaken.Log(&n.platform.Logger, len(taken))
	return taken
}

// takeRequest makes this node the owner of one request. A repeated offer has no further
// effect.
func (n *Node) takeRequest(from *qf.RequestRecord) bool {
	id := from.Request.ID
	if known := n.records.Get(id); known != nil && known.IsOwned() && known.Generation() == from.Generation {
		return true
	}
	n.mu.Lock()
	isStale := n.shadowStore.IsStale(from)
	n.mu.Unlock()
	record := qfrequest.NewResumed(from, n.now(), n.settings.Request.MaxAttempts)
	if to, ok := n.findEndpoint(from.Endpoint); ok {
		record.PreferEndpoint(to, from.Attempt)
	}
	if isStale || n.startTakenOver(record) != nil {
		return false
	}
	n.mu.Lock()
	n.shadowStore.Delete(id)
	n.mu.Unlock()
	for _, other := range from.Offered {
		n.announceOwnership(record, other)
	}
	return true
}

// findEndpoint returns the endpoint with the given identifier, and whether it is listed
// and not leaving.
func (n *Node) findEndpoint(id qf.EndpointID) (qf.Endpoint, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.endpoints {
		if e := &n.endpoints[i]; e.ID == id {
			return *e, !n.membership.IsDeparting(e.VM, e.Incarnation)
		}
	}
	return qf.Endpoint{}, false
}

// startTakenOver runs a request that another node accepted. It counts against the limits
// if they permit it, but is never refused because of them.
func (n *Node) startTakenOver(record *qfrequest.Record) error {
	n.mu.Lock()
	admission := n.limiter.AdmitRequest(qf.AdmitQuery{Now: n.now(), Request: record.Request, InProgress: n.records.InProgress()})
	n.mu.Unlock()
	err := n.records.Add(record)
	if err != nil {
		if admission.Admitted {
			n.releaseRequest(record.Request, 0)
		}
		return err
	}
	n.runRecord(record, admission.Admitted)
	return nil
}

// adoptShadow makes this node the owner of a request of which it holds the shadow, because
// the owner no longer confirms its ownership. It returns nil if the request can't be
// adopted.
func (n *Node) adoptShadow(shadow *qf.RequestRecord) *qfrequest.Record {
	previous := shadow.Owner
	n.mu.Lock()
	shadow.Generation = n.shadowStore.NewestGeneration(shadow.Request.ID) + 1
	n.mu.Unlock()
	shadow.Owner = qf.NodeID(n.settings.Node.ID)
	if shadow.TimeLeft <= 0 && !shadow.Final || !n.takeRequest(shadow) {
		return nil
	}
	record := n.records.Get(shadow.Request.ID)
	qfevent.ShadowAdopted.Log(&n.platform.Logger, shadow.Request.ID, previous, len(shadow.Text))
	if record != nil {
		record.MarkWatched()
		n.announceOwnership(record, previous)
	}
	return record
}

// maxOwnershipNotices limits the notices that are sent to a stale owner, and
// ownershipNoticeInterval is the time between two of them.
const (
	maxOwnershipNotices     = 10
	ownershipNoticeInterval = time.Second
)

// announceOwnership notifies another node in the background that this node owns a request.
// It repeats the notice, up to maxOwnershipNotices times, until the other node has received
// it or is dead, or until this node no longer owns the request.
func (n *Node) announceOwnership(record *qfrequest.Record, other qf.NodeID) {
	if other == "" || other == qf.NodeID(n.settings.Node.ID) {
		return
	}
	n.workers.Go(func() {
		for range maxOwnershipNotices {
			peer, ok := n.findPeer(other)
			if !ok || n.sendOwnershipNotice(n.ctx, record, peer) || !record.IsOwned() {
				return
			}
			if n.sleep(ownershipNoticeInterval); n.ctx.Err() != nil {
				return
			}
		}
	})
}

// sendOwnershipNotice sends one notice of ownership and reports whether it was received.
func (n *Node) sendOwnershipNotice(ctx context.Context, record *qfrequest.Record, peer qf.Node) bool {
	notice := record.OwnershipRecord(n.now(), qf.NodeID(n.settings.Node.ID))
	notice.Notice = true
	_, err := n.platform.Peer.ReplicateRecords(ctx, peer.PeerAddress, []qf.RequestRecord{notice})
	return err == nil
}

// findPeer returns the peer with the given identifier if it isn't dead.
func (n *Node) findPeer(id qf.NodeID) (qf.Node, bool) {
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
		if n.storeShadow(&records[i]) {
			kept = append(kept, records[i].Request.ID)
		}
	}
	return kept
}

// storeShadow stores a shadow and reports whether it was stored. If this node owns the
// request, the generations decide which of the two owners continues it.
func (n *Node) storeShadow(shadow *qf.RequestRecord) bool {
	own := n.records.Get(shadow.Request.ID)
	if own != nil && own.IsOwned() {
		return n.resolveOwnership(own, shadow)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if shadow.Notice {
		n.shadowStore.RecordOwner(n.now(), shadow, n.settings.Request.RetainFor.Value())
		return true
	}
	return n.shadowStore.Store(n.now(), shadow, n.settings.Request.RetainFor.Value())
}

// resolveOwnership stops this node's attempt for a request if the other owner's claim is
// newer. If a caller has read this node's answer but not the other's, this node keeps the
// request under a generation above the other's, because the two texts may differ. It
// reports whether the other node is the owner.
func (n *Node) resolveOwnership(own *qfrequest.Record, other *qf.RequestRecord) bool {
	if !other.Supersedes(own.Generation(), qf.NodeID(n.settings.Node.ID)) {
		return false
	}
	if own.IsWatched() && !other.Watched {
		own.RaiseGeneration(other.Generation + 1)
		n.announceOwnership(own, other.Owner)
		return false
	}
	owner, ok := n.findPeer(other.Owner)
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
	shadow, ok := n.shadowStore.Get(now, id, n.settings.Request.RetainFor.Value())
	if !ok {
		return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepPeer, n.settings.Node.ID, "the node has no record of the request")
	}
	shadow.Text = nil
	shadow.Request.Messages = nil
	shadow.Copy = true
	return shadow, nil
}
