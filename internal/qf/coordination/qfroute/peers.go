package qfroute

import (
	"sort"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// maxSent bounds the endpoints in the news for peers.
	maxSent = 64
	// answeredFor is how long an answer proves that an endpoint is up.
	answeredFor = 5 * time.Second
)

// RecordPeerLoad implements qf.Router.
func (p *Predictive) RecordPeerLoad(sent qf.InFlightLoad) {
	p.news.heard(sent.Node, p.now)
	e := p.endpoints[sent.Endpoint]
	if e == nil {
		return
	}
	e.peerSent(p.now, &sent)
	if sent.Failing {
		p.judgePeers(e)
	}
}

func (n *peerNews) heard(node qf.NodeID, at time.Time) {
	if n.peers == nil {
		n.peers = map[qf.NodeID]time.Time{}
	}
	n.peers[node] = at
}

// ReportInFlight implements qf.Router. An endpoint at which nothing runs any more is told
// for a while longer, so that peers learn of it.
func (p *Predictive) ReportInFlight(now time.Time) []qf.InFlightLoad {
	p.tick(now)
	p.sequence++
	var list []qf.InFlightLoad
	for _, e := range p.endpoints {
		failing := e.health.fails()
		if e.own.requests > 0 || failing {
			e.toldUntil = now.Add(peerNewsFor)
		}
		if now.Before(e.toldUntil) {
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
	return list[:min(len(list), maxSent)]
}
