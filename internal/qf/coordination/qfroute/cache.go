package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// cacheFeed is the position in the cache events of one endpoint.
type cacheFeed struct {
	// last is the sequence number of the last event.
	last uint64
	// trustedSince is set after a gap in the sequence. Prefixes last seen before it are
	// ignored, because the lost events may have evicted them.
	trustedSince time.Time
}

// gapMargin is how long before the detection of a gap the index is still trusted.
const gapMargin = 30 * time.Second

// ApplyCacheEvent implements qf.Router.
func (p *Predictive) ApplyCacheEvent(event qf.CacheEvent) {
	e := p.endpoints[event.Endpoint]
	if e == nil || event.Sequence <= e.cache.last {
		return
	}
	if e.cache.last != 0 && event.Sequence > e.cache.last+1 {
		e.cache.trustedSince = p.now.Add(-gapMargin)
	}
	e.cache.last = event.Sequence
	switch event.Kind {
	case qf.CacheStored:
		p.index.Store(p.now, event.Prefix, e.number)
	case qf.CacheEvicted:
		p.index.Evict(event.Prefix, e.number)
	case qf.CacheCleared:
		p.resetNumber(e)
	}
}

// resetNumber gives an endpoint a new number in the index, which invalidates all that
// the index holds for it.
func (p *Predictive) resetNumber(e *endpoint) {
	delete(p.byNumber, e.number)
	p.lastNumber++
	e.number = p.lastNumber
	p.byNumber[e.number] = e
}

// CacheSequence returns the sequence number of the last cache event that was received
// from an endpoint. Polling resumes after it.
func (p *Predictive) CacheSequence(id qf.EndpointID) uint64 {
	if e := p.endpoints[id]; e != nil {
		return e.cache.last
	}
	return 0
}
