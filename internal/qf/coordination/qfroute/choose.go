package qfroute

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// ChooseEndpoint implements qf.Router.
func (p *Predictive) ChooseEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	e, choice, err := p.selectEndpoint(&query)
	if err != nil {
		return choice, err
	}
	for _, prefix := range query.Prefixes {
		p.index.Store(query.Now, prefix, e.number)
	}
	p.pools[poolKey{entry: query.Request.Entry, version: query.Version}].recordRequest(query.Now, choice.Prediction.Prefill-e.sharedTime())
	return choice, nil
}

// PredictEndpoint implements qf.Router.
func (p *Predictive) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	_, choice, err := p.selectEndpoint(&query)
	return choice, err
}

// selectEndpoint scores the eligible endpoints and draws one of them.
func (p *Predictive) selectEndpoint(query *qf.RouteQuery) (*endpoint, qf.RouteChoice, error) {
	p.tick(query.Now)
	pool := p.pools[poolKey{entry: query.Request.Entry, version: query.Version}]
	if pool == nil {
		return nil, qf.RouteChoice{}, errNoEndpoint()
	}
	p.setLocation(query)
	matches := p.index.Lookup(query.Now, query.Prefixes)
	p.markCached(&matches)
	list, rule := p.listEligible(pool, query, &matches)
	if len(list) == 0 {
		return nil, qf.RouteChoice{}, errNoEndpoint()
	}
	for _, e := range list {
		e.isCold = query.IsCold != nil && query.IsCold(e.ID)
	}
	updateTimes(list, query.Now)
	list = withinQueue(list, query.MaxQueue)
	f := p.newFactors(query, pool)
	f.preferred, f.affinityTokens = affinityEndpoint(list, query), float64(query.AffinityTokens)
	for i, e := range list {
		p.scores[i] = p.score(e, &f)
	}
	work := p.unreportedWork(pool, len(list), query.Now)
	draw := p.drawCandidate
	if pool.isUneven {
		draw = p.drawByFactor
	}
	e := list[draw(list, work)]
	return e, p.buildChoice(e, &f, len(list), rule), nil
}

// withinQueue returns the endpoints whose predicted queue is within a bound, or all of them
// if none is or there is no bound. It reuses the list.
func withinQueue(list []*endpoint, bound time.Duration) []*endpoint {
	if bound <= 0 || !slices.ContainsFunc(list, func(e *endpoint) bool { return e.queue() <= bound }) {
		return list
	}
	return slices.DeleteFunc(list, func(e *endpoint) bool { return e.queue() > bound })
}

// buildChoice returns the choice of an endpoint with its prediction.
func (p *Predictive) buildChoice(e *endpoint, f *factors, candidates int, rule string) qf.RouteChoice {
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

// Rules, as reported in the reason of a choice.
const (
	rulePredicted = "LeastPredictedTimeAndCost"
	ruleEjected   = "OnlyEjectedLeft"
)

// listEligible returns the endpoints that may be chosen, and the rule that applies. If
// all are ejected, it returns ejected ones rather than none.
func (p *Predictive) listEligible(pool *pool, query *qf.RouteQuery, matches *qfprefix.Matches) ([]*endpoint, string) {
	list := pool.sample(p.candidates[:0], query, p.random)
	if len(pool.members) > fullScanLimit {
		list = p.addCached(list, query, matches)
	}
	kept := list[:0]
	for _, e := range list {
		if e.mayServe(query) && e.health.isAvailable() {
			kept = append(kept, e)
		}
	}
	if len(kept) > 0 {
		return kept, rulePredicted
	}
	return p.scanPool(pool, query)
}

// scanPool scans a whole pool and returns its available endpoints, or ejected ones if
// none is available.
func (p *Predictive) scanPool(pool *pool, query *qf.RouteQuery) ([]*endpoint, string) {
	list, ejected := p.candidates[:0], 0
	for _, e := range pool.members {
		if !e.mayServe(query) || len(list) == maxCandidates {
			continue
		}
		if e.health.isAvailable() {
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

// addCached appends the endpoints that have the longest prefixes of the prompt cached,
// since the sample of a large pool may miss them.
func (p *Predictive) addCached(list []*endpoint, query *qf.RouteQuery, matches *qfprefix.Matches) []*endpoint {
	for i := range matches.Count {
		e := p.byNumber[matches.List[i].Number]
		if e != nil && e.pool.serves(query) && len(list) < maxCandidates {
			list = append(list, e)
		}
	}
	return list
}

// mayServe reports whether the endpoint is neither departing nor excluded, and takes the request.
func (e *endpoint) mayServe(query *qf.RouteQuery) bool {
	return !e.departing && (len(query.Excluded) == 0 || !slices.Contains(query.Excluded, e.ID)) &&
		(query.MayUse == nil || query.MayUse(e.ID))
}
