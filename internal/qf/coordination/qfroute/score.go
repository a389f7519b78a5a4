package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// factors holds the inputs of scoring that are the same for all candidates.
type factors struct {
	// tokens is the number of tokens of the prompt and of the answer so far.
	tokens float64
	// answerSeconds is the engine time spent on the answer.
	answerSeconds float64
	// trafficCost is the cost of the request's traffic between regions.
	trafficCost float64
	// preferred is the endpoint assumed to have affinityTokens cached, or nil.
	preferred      *endpoint
	affinityTokens float64
	// uncachedTokenPrice is the price of computing a token that isn't cached.
	uncachedTokenPrice float64
	// secondsPerCost converts cost to seconds.
	secondsPerCost float64
}

func (p *Predictive) newFactors(query *qf.RouteQuery, pool *pool) factors {
	answer := query.Request.MaxTokens
	return factors{
		tokens:             float64(query.PromptTokens + query.ResumeTokens),
		answerSeconds:      float64(answer) * pool.betweenToken.Seconds() / decodeBatch,
		trafficCost:        float64((query.PromptTokens+answer)*bytesPerToken) / gibibyte * p.config.TrafficPrice,
		uncachedTokenPrice: p.config.UncachedTokenPrice,
		secondsPerCost:     1 / latencyPrice(query.Request.Class),
	}
}

// cost returns the cost of a request at an endpoint, in thousandths of the currency unit.
func (f *factors) cost(e *endpoint, prefill float64) float64 {
	cost := (prefill + f.answerSeconds) * e.price
	if e.isOtherRegion {
		cost += f.trafficCost
	}
	return cost
}

// score returns the predicted time to first token, in seconds, plus the cost converted to
// seconds. Lower is better.
func (p *Predictive) score(e *endpoint, f *factors) float64 {
	perToken := e.pool.perTokenSeconds * e.timeFactor()
	uncached := p.uncached(e, f)
	prefill := uncached*perToken + e.serviceTime().Seconds()
	cost := f.cost(e, prefill) + uncached*f.uncachedTokenPrice
	return e.crowding() + e.fixedSeconds + e.load.tokens*perToken + prefill + cost*f.secondsPerCost
}

// uncached returns the number of tokens that the endpoint has to compute. The preferred
// endpoint is assumed to have the shared part of the prompt cached.
func (p *Predictive) uncached(e *endpoint, f *factors) float64 {
	cached := 0.0
	if e.cachedDecision == p.decision {
		cached = e.cachedTokens
	}
	if e == f.preferred {
		cached = max(cached, f.affinityTokens)
	}
	return max(f.tokens-cached, 0)
}

// affinityEndpoint returns the endpoint to which all nodes of a zone send prompts with the
// same shared part: the one with the highest rendezvous hash in the zone, or of all
// endpoints if the zone has none. It returns nil if nothing is shared.
func affinityEndpoint(list []*endpoint, query *qf.RouteQuery) *endpoint {
	if query.Affinity == 0 {
		return nil
	}
	var best *endpoint
	var highest uint64
	isBestNear := false
	for _, e := range list {
		h := rendezvousHash(query.Affinity, e.ID)
		isNear := e.AvailabilityZone == query.FromZone
		if best == nil || isNear && !isBestNear || isNear == isBestNear && h > highest {
			best, highest, isBestNear = e, h, isNear
		}
	}
	return best
}

// markCached sets the number of prompt tokens that each matching endpoint has cached, for
// one decision.
func (p *Predictive) markCached(matches *qfprefix.Matches) {
	p.decision++
	for i := range matches.Count {
		m := &matches.List[i]
		e := p.byNumber[m.Number]
		if e != nil && !m.Seen.Before(e.cache.trustedSince) {
			e.cachedDecision, e.cachedTokens = p.decision, float64(m.Tokens)
		}
	}
}

// setLocation computes the links from the node's location, if it or the endpoints have
// changed.
func (p *Predictive) setLocation(query *qf.RouteQuery) {
	if p.hasLocation && p.zone == query.FromZone && p.region == query.FromRegion {
		return
	}
	p.hasLocation, p.zone, p.region = true, query.FromZone, query.FromRegion
	for _, e := range p.endpoints {
		e.isOtherRegion = e.Region != p.region
		e.link = p.delay(e)
		e.refresh(p.now)
	}
}

// delay returns the one-way network delay from the node to an endpoint.
func (p *Predictive) delay(e *endpoint) time.Duration {
	switch {
	case e.isOtherRegion:
		return p.config.RegionDelay
	case e.AvailabilityZone == p.zone:
		return 0
	default:
		return p.config.ZoneDelay
	}
}
