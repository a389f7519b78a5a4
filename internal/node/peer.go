package node

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
)

// digest returns the news for peers. It is called with the lock held.
func (n *Node) digest(now time.Time) qf.Digest {
	return qf.Digest{
		From:         n.membership.Self(),
		Nodes:        n.membership.Peers(now),
		Departures:   n.membership.Departures(now),
		RolloutStops: n.versions.Stops(),
		LimitUses:    n.limiter.Uses(now),
		SentLoads:    n.sentLoads(now),
	}
}

// learn takes a peer's news.
func (n *Node) learn(digest qf.Digest) {
	now := n.now()
	n.mu.Lock()
	n.membership.Learn(now, digest.From)
	for _, node := range digest.Nodes {
		n.membership.Learn(now, node)
	}
	for _, stop := range digest.RolloutStops {
		n.versions.Stop(stop)
	}
	n.limiter.PeerUses(now, digest.LimitUses)
	for _, sent := range digest.SentLoads {
		n.router.PeerSent(sent)
	}
	n.mu.Unlock()
	for _, departure := range digest.Departures {
		n.learnDeparture(now, departure)
	}
}

// Exchange implements qfrpc.Handler.
func (n *Node) Exchange(digest qf.Digest) qf.Digest {
	n.learn(digest)
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.digest(now)
}

// TakeOver implements qfrpc.Handler. It returns the requests that this node owns
// from now on.
func (n *Node) TakeOver(records []qf.RequestRecord) []qf.RequestID {
	var taken []qf.RequestID
	if n.Phase() == PhaseDraining {
		return taken
	}
	for i := range records {
		record := qfrequest.Resumed(&records[i], n.now(), n.settings.Request.MaxAttempts)
		if n.start(record) == nil {
			taken = append(taken, record.Request.ID)
		}
	}
	qfevent.RequestTaken.Log(&n.platform.Logger, len(taken))
	return taken
}

// KeepShadows implements qfrpc.Handler.
func (n *Node) KeepShadows([]qf.RequestRecord) {}

// Lookup implements qfrpc.Handler.
func (n *Node) Lookup(id qf.RequestID) (qf.RequestRecord, error) {
	record := n.records.Get(id)
	if record == nil {
		return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepPeer, n.settings.Node.ID, "the request isn't known here")
	}
	progress := record.Progress(0)
	return qf.RequestRecord{
		Request: *record.Request, Owner: qf.NodeID(n.settings.Node.ID), Text: progress.Text,
		Answer: progress.Answer, Final: progress.Ended(), TimeLeft: record.Request.Deadline.Sub(n.now()),
	}, nil
}

// CatalogueNewerThan implements qfrpc.Handler.
func (n *Node) CatalogueNewerThan(revision qf.Revision) ([]byte, qf.Revision) {
	snapshot := n.catalogue.Get()
	if snapshot.Revision <= revision {
		return nil, snapshot.Revision
	}
	encoded, err := snapshot.Encode()
	if err != nil {
		return nil, snapshot.Revision
	}
	return encoded, snapshot.Revision
}
