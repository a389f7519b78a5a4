package qfroute

import (
	"sort"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// maxReportedLoads bounds the endpoints in one report to peers.
	maxReportedLoads = 64
	// answeredFor is how long an endpoint counts as up after an answer.
	answeredFor = 5 * time.Second
)

// RecordPeerLoad implements qf.Router.
func (p *Predictive) RecordPeerLoad(sent qf.InFlightLoad) {
	p.peers.recordReport(sent.Node, p.now)
	e := p.endpoints[sent.Endpoint]
	if e == nil {
		return
	}
	e.recordPeerLoad(p.now, &sent)
	if sent.Failing {
		p.checkPeerFailures(e)
	}
}

// recordReport records that a peer sent a load update.
func (n *peerTracker) recordReport(node qf.NodeID, at time.Time) {
	if n.lastReport == nil {
		n.lastReport = map[qf.NodeID]time.Time{}
	}
	n.lastReport[node] = at
}

// ReportInFlight implements qf.Router. After the last attempt at an endpoint ends, the
// endpoint is reported for a while longer, so that peers receive the empty load.
func (p *Predictive) ReportInFlight(now time.Time) []qf.InFlightLoad {
	p.tick(now)
	p.sequence++
	var list []qf.InFlightLoad
	for _, e := range p.endpoints {
		failing := e.health.isFailing()
		if e.own.requests > 0 || failing {
			e.reportedUntil = now.Add(peerLoadMaxAge)
		}
		if now.Before(e.reportedUntil) {
			list = append(list, qf.InFlightLoad{
				Endpoint: e.ID, Running: int(e.own.requests), Tokens: int(e.own.tokens), Sequence: p.sequence,
				Answered: !e.answeredAt.IsZero() && now.Sub(e.answeredAt) < answeredFor, Failing: failing,
			})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Running != list[j].Running {
			return list[i].Running > list[j].Running
		}
		return list[i].Endpoint < list[j].Endpoint
	})
	return list[:min(len(list), maxReportedLoads)]
}
