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

// PeerSent implements qf.Router.
func (p *Predictive) PeerSent(sent qf.SentLoad) {
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

// Sent implements qf.Router. An endpoint at which nothing runs any more is told
// for a while longer, so that peers learn of it.
func (p *Predictive) Sent(now time.Time) []qf.SentLoad {
	p.tick(now)
	p.sequence++
	var list []qf.SentLoad
	for _, e := range p.endpoints {
		failing := e.health.fails()
		if e.own.requests > 0 || failing {
			e.toldUntil = now.Add(peerNewsFor)
		}
		if now.Before(e.toldUntil) {
			list = append(list, qf.SentLoad{
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
