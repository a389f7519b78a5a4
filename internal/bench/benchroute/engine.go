package benchroute

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

const (
	slots           = 32
	prefillPerToken = 100 * time.Microsecond
	// tokenInterval is the time between two tokens in an engine with one request;
	// each further request adds to it.
	tokenInterval     = 15 * time.Millisecond
	intervalPerSlot   = 400 * time.Microsecond
	cacheTokens       = 48 << 10
	blocksInCache     = cacheTokens / qfprefix.BlockTokens
	serviceTime       = 40 * time.Millisecond
	serviceConcurrent = 4
)

// engine is a fake endpoint: it prefills one request after the other, decodes
// what has a slot, and keeps the prefixes that were used last.
type engine struct {
	qf.Endpoint
	// price is in thousandths of the currency unit per second.
	price    float64
	blocks   *simplelru.LRU[uint64, struct{}]
	waiting  []*job
	running  int
	tokens   int
	busy     bool
	gone     bool
	sequence uint64
	events   []qf.CacheEvent
	stored   uint64
}

func newEngine(e qf.Endpoint, pricePerHour float64) *engine {
	en := &engine{Endpoint: e, price: pricePerHour / time.Hour.Seconds()}
	// The constructor fails only for a capacity below 1.
	en.blocks, _ = simplelru.NewLRU(blocksInCache, func(prefix uint64, _ struct{}) {
		en.event(qf.CacheEvicted, prefix)
	})
	return en
}

func (e *engine) event(kind qf.CacheEventKind, prefix uint64) {
	e.stored++
	e.events = append(e.events, qf.CacheEvent{Endpoint: e.ID, Sequence: e.stored, Kind: kind, Prefix: prefix})
}

// cachedBlocks counts the leading blocks of a prompt that are cached.
func (e *engine) cachedBlocks(prefixes []uint64) int {
	cached := 0
	for cached < len(prefixes) && e.blocks.Contains(prefixes[cached]) {
		cached++
	}
	return cached
}

// use counts the cached tokens of a prompt and stores the rest. The last block is
// touched first, so that a prefix is evicted from its end.
func (e *engine) use(prefixes []uint64) int {
	cached := e.cachedBlocks(prefixes)
	for i := len(prefixes) - 1; i >= 0; i-- {
		if !e.blocks.Contains(prefixes[i]) {
			e.event(qf.CacheStored, prefixes[i])
		}
		e.blocks.Add(prefixes[i], struct{}{})
	}
	return cached * qfprefix.BlockTokens
}

// add queues a job on its arrival.
func (e *engine) add(j *job) {
	j.queued = max(j.query.PromptTokens-e.cachedBlocks(j.query.Prefixes)*qfprefix.BlockTokens, 0)
	e.tokens += j.queued
	e.waiting = append(e.waiting, j)
}

func (e *engine) report(now time.Time) qf.LoadReport {
	e.sequence++
	return qf.LoadReport{
		Endpoint: e.ID, Sequence: e.sequence, At: now, Running: e.running, Queued: len(e.waiting),
		QueuedTokens: e.tokens, Entry: e.Entry, Version: e.Version, Role: qf.EngineMixed,
	}
}

// interval is the time between tokens at the present load.
func (e *engine) interval() time.Duration {
	return tokenInterval + time.Duration(e.running)*intervalPerSlot
}

// step begins the next prefill if there is one and a free slot.
func (e *engine) step(w *world) {
	if e.busy || e.running >= slots || len(e.waiting) == 0 || e.gone {
		return
	}
	j := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.busy = true
	e.running++
	cached := min(e.use(j.query.Prefixes), j.query.PromptTokens)
	j.computed = j.query.PromptTokens - cached
	j.prefill = time.Duration(j.computed) * prefillPerToken
	w.after(j.prefill, func() {
		e.busy = false
		e.tokens -= j.queued
		if !e.gone {
			w.firstToken(e, j)
			j.decode = time.Duration(j.query.Request.MaxTokens) * e.interval()
			w.after(j.decode, func() {
				e.running--
				if !e.gone {
					w.ended(e, j)
				}
				e.step(w)
			})
		}
		e.step(w)
	})
}
