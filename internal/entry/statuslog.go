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
	// livePeers holds the peers that were live, with the number of the last check at which they
	// weren't suspect or dead.
	livePeers map[qf.NodeID]uint64
	// checks is the number of checks.
	checks uint64
}

func newStatusLogger(e *Entry) *statusLogger {
	return &statusLogger{entry: e, livePeers: map[qf.NodeID]uint64{}}
}

func (l *statusLogger) step(context.Context) {
	l.logEndpointHealth()
	l.logPeerChanges()
	l.entry.logShortages()
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
	l.checks++
	var regained []qf.Node
	lost := map[qf.NodeID]time.Duration{}
	e.mu.Lock()
	e.membership.VisitPeers(now, func(peer *qf.Node, state qf.NodeState) {
		_, wasLive := l.livePeers[peer.ID]
		switch state {
		case qf.NodeLeaving:
			delete(l.livePeers, peer.ID) // Its silence is expected.
		case qf.NodeLive:
			l.livePeers[peer.ID] = l.checks
			if !wasLive {
				regained = append(regained, *peer)
			}
		}
	})
	for id, check := range l.livePeers {
		if check != l.checks {
			delete(l.livePeers, id)
			lost[id] = e.membership.HeartbeatAge(now, id)
		}
	}
	e.mu.Unlock()
	for i := range regained {
		qfevent.PeerRegained.Log(&e.platform.Logger, regained[i].ID, regained[i].PeerAddress)
	}
	for id, age := range lost {
		qfevent.PeerLost.Log(&e.platform.Logger, id, age.String())
	}
}
