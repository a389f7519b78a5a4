package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// factors are the parts of a prediction that all candidates share.
type factors struct {
	// tokens are those of the prompt and the answer so far.
	tokens float64
	// answerTime is the engine's time for the answer, in seconds.
	answerTime float64
	// traffic is the price of the request's bytes between regions.
	traffic float64
	// preferred is the endpoint that is taken to have affinityTokens cached, or nil.
	preferred      *endpoint
	affinityTokens float64
	// readPrice is that of a token that isn't cached.
	readPrice float64
	// perCost turns cost into seconds.
	perCost float64
}

func (p *Predictive) factorsOf(query *qf.RouteQuery, pool *pool) factors {
	answer := query.Request.MaxTokens
	return factors{
		tokens:     float64(query.PromptTokens + query.ResumeTokens),
		answerTime: float64(answer) * pool.betweenToken.Seconds() / decodeBatch,
		traffic:    float64((query.PromptTokens+answer)*bytesPerToken) / gibibyte * p.config.TrafficPrice,
		readPrice:  p.config.UncachedTokenPrice,
		perCost:    1 / secondPrice(query.Request.Class),
	}
}

// cost is that of a request at an endpoint, in thousandths of the currency unit.
func (f *factors) cost(e *endpoint, prefill float64) float64 {
	cost := (prefill + f.answerTime) * e.price
	if e.isElsewhere {
		cost += f.traffic
	}
	return cost
}

// score is the predicted time to first token, in seconds, and the cost as the
// time that it is worth.
func (p *Predictive) score(e *endpoint, f *factors) float64 {
	pace := e.pool.perTokenSeconds * e.slow
	uncached := p.uncached(e, f)
	prefill := uncached * pace
	cost := f.cost(e, prefill) + uncached*f.readPrice
	return e.fixedSeconds + e.load.tokens*pace + prefill + cost*f.perCost
}

// uncached counts the tokens that the endpoint has to compute. At the endpoint to which
// all nodes send a shared part, that part is taken to be cached.
func (p *Predictive) uncached(e *endpoint, f *factors) float64 {
	cached := 0.0
	if e.markedIn == p.decision {
		cached = e.marked
	}
	if e == f.preferred {
		cached = max(cached, f.affinityTokens)
	}
	return max(f.tokens-cached, 0)
}

// preferred returns the endpoint to which all nodes of a zone send a shared part: that
// with the highest hash among those of the zone, or of all if it has none.
func preferred(list []*endpoint, query *qf.RouteQuery) *endpoint {
	if query.Affinity == 0 {
		return nil
	}
	var best *endpoint
	var highest uint64
	isBestNear := false
	for _, e := range list {
		h := mix(query.Affinity, e.ID)
		isNear := e.AvailabilityZone == query.FromZone
		if best == nil || isNear && !isBestNear || isNear == isBestNear && h > highest {
			best, highest, isBestNear = e, h, isNear
		}
	}
	return best
}

// mark notes at the endpoints how much of the prompt they have cached. A mark
// counts for one decision only.
func (p *Predictive) mark(matches *qfprefix.Matches) {
	p.decision++
	for i := range matches.Count {
		m := &matches.List[i]
		e := p.numbers[m.Number]
		if e != nil && !m.Seen.Before(e.cache.trustFrom) {
			e.markedIn, e.marked = p.decision, float64(m.Tokens)
		}
	}
}

// place works out the links from where the node stands.
func (p *Predictive) place(query *qf.RouteQuery) {
	if p.isPlaced && p.zone == query.FromZone && p.region == query.FromRegion {
		return
	}
	p.isPlaced, p.zone, p.region = true, query.FromZone, query.FromRegion
	for _, e := range p.endpoints {
		e.isElsewhere = e.Region != p.region
		e.link = p.delay(e)
		e.refresh(p.now)
	}
}

func (p *Predictive) delay(e *endpoint) time.Duration {
	switch {
	case e.isElsewhere:
		return p.config.RegionDelay
	case e.AvailabilityZone == p.zone:
		return 0
	default:
		return p.config.ZoneDelay
	}
}
