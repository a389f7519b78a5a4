package qfroute

import (
	"slices"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// ChooseEndpoint implements qf.Router.
func (p *Predictive) ChooseEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	e, choice, err := p.decide(&query)
	if err != nil {
		return choice, err
	}
	for _, prefix := range query.Prefixes {
		p.index.Store(query.Now, prefix, e.number)
	}
	p.pools[poolKey{entry: query.Request.Entry, version: query.Version}].count(query.Now, choice.Prediction.Prefill)
	return choice, nil
}

// PredictEndpoint implements qf.Router.
func (p *Predictive) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	_, choice, err := p.decide(&query)
	return choice, err
}

func (p *Predictive) decide(query *qf.RouteQuery) (*endpoint, qf.RouteChoice, error) {
	p.tick(query.Now)
	pool := p.pools[poolKey{entry: query.Request.Entry, version: query.Version}]
	if pool == nil {
		return nil, qf.RouteChoice{}, errNoEndpoint()
	}
	p.place(query)
	matches := p.index.Lookup(query.Now, query.Prefixes)
	p.mark(&matches)
	list, rule := p.eligible(pool, query, &matches)
	if len(list) == 0 {
		return nil, qf.RouteChoice{}, errNoEndpoint()
	}
	f := p.factorsOf(query, pool)
	f.preferred, f.affinityTokens = preferred(list, query), float64(query.AffinityTokens)
	for i, e := range list {
		p.scores[i] = p.score(e, &f)
	}
	e := list[p.draw(list, p.unseenWork(pool, len(list), query.Now))]
	return e, p.choice(e, &f, len(list), rule), nil
}

func (p *Predictive) choice(e *endpoint, f *factors, candidates int, rule string) qf.RouteChoice {
	tokens := p.uncached(e, f)
	t := e.times(tokens)
	return qf.RouteChoice{
		Endpoint: e.Endpoint, FirstToken: t.firstToken(),
		Prediction: qf.Prediction{
			Queue: t.queue, Prefill: t.prefill, Link: t.link, BetweenToken: e.pool.betweenToken,
			PrefillTokens: int(tokens), Cost: f.cost(e, t.prefill.Seconds()), Candidates: candidates,
		},
		Reason: qf.Reason{Rule: rule},
	}
}

// The rules of a choice.
const (
	rulePredicted = "LeastPredictedTimeAndCost"
	ruleEjected   = "OnlyEjectedLeft"
)

// eligible lists the endpoints that may be chosen. If all are ejected, those are
// taken rather than none.
func (p *Predictive) eligible(pool *pool, query *qf.RouteQuery, matches *qfprefix.Matches) ([]*endpoint, string) {
	list := pool.sample(p.candidates[:0], query, p.random)
	if len(pool.members) > scanAtMost {
		list = p.addMatches(list, query, matches)
	}
	kept := list[:0]
	for _, e := range list {
		if e.mayServe(query) && e.health.takesWork() {
			kept = append(kept, e)
		}
	}
	if len(kept) > 0 {
		return kept, rulePredicted
	}
	return p.anyLeft(pool, query)
}

// anyLeft looks through a whole pool, at healthy endpoints before others.
func (p *Predictive) anyLeft(pool *pool, query *qf.RouteQuery) ([]*endpoint, string) {
	list, ejected := p.candidates[:0], 0
	for _, e := range pool.members {
		if !e.mayServe(query) || len(list) == maxCandidates {
			continue
		}
		if e.health.takesWork() {
			if ejected > 0 {
				list, ejected = list[:0], 0
			}
			list = append(list, e)
		} else if len(list) == ejected {
			list = append(list, e)
			ejected++
		}
	}
	if ejected > 0 {
		return list, ruleEjected
	}
	return list, rulePredicted
}

func (p *Predictive) addMatches(list []*endpoint, query *qf.RouteQuery, matches *qfprefix.Matches) []*endpoint {
	for i := range matches.Count {
		e := p.numbers[matches.List[i].Number]
		if e != nil && e.pool.serves(query) && len(list) < maxCandidates {
			list = append(list, e)
		}
	}
	return list
}

func (e *endpoint) mayServe(query *qf.RouteQuery) bool {
	return !e.departing && (len(query.Excluded) == 0 || !slices.Contains(query.Excluded, e.ID))
}
