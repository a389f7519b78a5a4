package entry

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// beliefsEvery is the time between two looks at what changed.
const beliefsEvery = 200 * time.Millisecond

// beliefs logs what the node takes its endpoints and peers for, when that changes.
type beliefs struct {
	entry *Entry
	// heard holds the peers that were heard at the last look.
	heard map[qf.NodeID]bool
}

func newBeliefs(e *Entry) *beliefs { return &beliefs{entry: e, heard: map[qf.NodeID]bool{}} }

func (b *beliefs) step(context.Context) {
	b.logHealth()
	b.logPeers()
}

// logHealth logs the endpoints that were taken out of use or came back.
func (b *beliefs) logHealth() {
	logger := &b.entry.platform.Logger
	for _, change := range b.entry.placer.healthChanges() {
		switch change.State {
		case qf.HealthEjected:
			qfevent.EndpointEjected.Log(logger, change.Endpoint, change.Cause)
		case qf.HealthHalfOpen:
			qfevent.EndpointTrial.Log(logger, change.Endpoint)
		default:
			qfevent.EndpointReturned.Log(logger, change.Endpoint)
		}
	}
}

// logPeers logs the peers that fell silent, were lost or are heard again. Those that leave
// say so themselves.
func (b *beliefs) logPeers() {
	e := b.entry
	now := e.now()
	e.mu.Lock()
	peers := e.membership.Peers(now)
	ages := map[qf.NodeID]time.Duration{}
	for id := range b.heard {
		ages[id] = e.membership.HeartbeatAge(now, id)
	}
	e.mu.Unlock()
	present := make(map[qf.NodeID]bool, len(peers))
	for i := range peers {
		peer := &peers[i]
		present[peer.ID] = peer.State != qf.NodeSuspect
		switch {
		case peer.State == qf.NodeLeaving:
			delete(b.heard, peer.ID) // Its silence is expected.
		case peer.State == qf.NodeLive && !b.heard[peer.ID]:
			b.heard[peer.ID] = true
			qfevent.PeerRegained.Log(&e.platform.Logger, peer.ID, peer.PeerAddress)
		}
	}
	for id := range b.heard {
		if !present[id] {
			delete(b.heard, id)
			qfevent.PeerLost.Log(&e.platform.Logger, id, ages[id].String())
		}
	}
}
