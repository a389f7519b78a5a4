package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// cacheFeed follows the cache events of one endpoint.
type cacheFeed struct {
	// last is the sequence number of the last event.
	last uint64
	// trustFrom is set after a gap: what was seen before may be evicted.
	trustFrom time.Time
}

// gapTrust is how long before a gap the index is still trusted.
const gapTrust = 30 * time.Second

// ApplyCacheEvent implements qf.Router.
func (p *Predictive) ApplyCacheEvent(event qf.CacheEvent) {
	e := p.endpoints[event.Endpoint]
	if e == nil || event.Sequence <= e.cache.last {
		return
	}
	if e.cache.last != 0 && event.Sequence > e.cache.last+1 {
		e.cache.trustFrom = p.now.Add(-gapTrust)
	}
	e.cache.last = event.Sequence
	switch event.Kind {
	case qf.CacheStored:
		p.index.Store(p.now, event.Prefix, e.number)
	case qf.CacheEvicted:
		p.index.Evict(event.Prefix, e.number)
	case qf.CacheCleared:
		p.renumber(e)
	}
}

// renumber forgets what the index holds of an endpoint.
func (p *Predictive) renumber(e *endpoint) {
	delete(p.numbers, e.number)
	p.lastNumber++
	e.number = p.lastNumber
	p.numbers[e.number] = e
}

// CacheSequence returns the number of the last cache event of an endpoint, from
// which a feed goes on.
func (p *Predictive) CacheSequence(id qf.EndpointID) uint64 {
	if e := p.endpoints[id]; e != nil {
		return e.cache.last
	}
	return 0
}
