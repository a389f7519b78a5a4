package entry

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
)

// statusLogInterval is the time between two checks for changes.
const statusLogInterval = 200 * time.Millisecond

// statusLogger logs changes of the observed state of endpoints and peers.
type statusLogger struct {
	entry *Entry
	// livePeers holds the peers that were live at the last check.
	livePeers map[qf.NodeID]bool
}

func newStatusLogger(e *Entry) *statusLogger {
	return &statusLogger{entry: e, livePeers: map[qf.NodeID]bool{}}
}

func (l *statusLogger) step(context.Context) {
	l.logEndpointHealth()
	l.logPeerChanges()
}

// logEndpointHealth logs the endpoints that were ejected, are on trial or returned.
func (l *statusLogger) logEndpointHealth() {
	logger := &l.entry.platform.Logger
	for _, change := range l.entry.picker.takeHealthChanges() {
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

// logPeerChanges logs the peers that became suspect or dead, or live again. Peers that leave
// log that themselves.
func (l *statusLogger) logPeerChanges() {
	e := l.entry
	now := e.now()
	e.mu.Lock()
	peers := e.membership.Peers(now)
	ages := map[qf.NodeID]time.Duration{}
	for id := range l.livePeers {
		ages[id] = e.membership.HeartbeatAge(now, id)
	}
	e.mu.Unlock()
	present := make(map[qf.NodeID]bool, len(peers))
	for i := range peers {
		peer := &peers[i]
		present[peer.ID] = peer.State != qf.NodeSuspect
		switch {
		case peer.State == qf.NodeLeaving:
			delete(l.livePeers, peer.ID) // Its silence is expected.
		case peer.State == qf.NodeLive && !l.livePeers[peer.ID]:
			l.livePeers[peer.ID] = true
			qfevent.PeerRegained.Log(&e.platform.Logger, peer.ID, peer.PeerAddress)
		}
	}
	for id := range l.livePeers {
		if !present[id] {
			delete(l.livePeers, id)
			qfevent.PeerLost.Log(&e.platform.Logger, id, ages[id].String())
		}
	}
}
