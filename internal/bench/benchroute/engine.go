package benchroute

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

const (
	// slots is the number of requests that an engine serves at once.
	slots           = 32
	prefillPerToken = 100 * time.Microsecond
	// tokenInterval is the time between two tokens of an idle engine; each running
	// request adds intervalPerRequest.
	tokenInterval      = 15 * time.Millisecond
	intervalPerRequest = 400 * time.Microsecond
	cacheTokens        = 48 << 10
	blocksInCache      = cacheTokens / qfprefix.BlockTokens
	serviceTime        = 40 * time.Millisecond
	serviceConcurrent  = 4
)

// engine is a simulated endpoint. It prefills one request at a time, decodes all
// requests that hold a slot, and has a prefix cache with LRU eviction.
type engine struct {
	qf.Endpoint
	// price is in thousandths of the currency unit per second.
	price          float64
	blocks         *simplelru.LRU[uint64, struct{}]
	queue          []*job
	running        int
	queuedTokens   int
	busy           bool
	isLost         bool
	reportSequence uint64
	events         []qf.CacheEvent
	eventSequence  uint64
}

func newEngine(e qf.Endpoint, pricePerHour float64) *engine {
	en := &engine{Endpoint: e, price: pricePerHour / time.Hour.Seconds()}
	// The constructor fails only for a capacity below 1.
	en.blocks, _ = simplelru.NewLRU(blocksInCache, func(prefix uint64, _ struct{}) {
		en.recordEvent(qf.CacheEvicted, prefix)
	})
	return en
}

// recordEvent adds a cache event to those that the next load report carries.
func (e *engine) recordEvent(kind qf.CacheEventKind, prefix uint64) {
	e.eventSequence++
	e.events = append(e.events, qf.CacheEvent{Endpoint: e.ID, Sequence: e.eventSequence, Kind: kind, Prefix: prefix})
}

// cachedBlocks counts the leading blocks of a prompt that are cached.
func (e *engine) cachedBlocks(prefixes []uint64) int {
	cached := 0
	for cached < len(prefixes) && e.blocks.Contains(prefixes[cached]) {
		cached++
	}
	return cached
}

// cachePrompt stores a prompt's blocks and returns the number of tokens that were
// cached before. The last block is touched first, so that a prefix is evicted from its
// end.
func (e *engine) cachePrompt(prefixes []uint64) int {
	cached := e.cachedBlocks(prefixes)
	for i := len(prefixes) - 1; i >= 0; i-- {
		if !e.blocks.Contains(prefixes[i]) {
			e.recordEvent(qf.CacheStored, prefixes[i])
		}
		e.blocks.Add(prefixes[i], struct{}{})
	}
	return cached * qfprefix.BlockTokens
}

// enqueue adds a job to the queue when it arrives.
func (e *engine) enqueue(j *job) {
	j.queuedTokens = max(j.query.PromptTokens-e.cachedBlocks(j.query.Prefixes)*qfprefix.BlockTokens, 0)
	e.queuedTokens += j.queuedTokens
	e.queue = append(e.queue, j)
}

// loadReport returns the engine's load at the given time.
func (e *engine) loadReport(now time.Time) qf.LoadReport {
	e.reportSequence++
	return qf.LoadReport{
		Endpoint: e.ID, Sequence: e.reportSequence, At: now, Running: e.running, Queued: len(e.queue),
		QueuedTokens: e.queuedTokens, Entry: e.Entry, Version: e.Version, Role: qf.EngineMixed,
	}
}

// currentTokenInterval is the time between tokens at the present load.
func (e *engine) currentTokenInterval() time.Duration {
	return tokenInterval + time.Duration(e.running)*intervalPerRequest
}

// startPrefill starts the next prefill if a request is queued and a slot is free.
func (e *engine) startPrefill(s *simulation) {
	if e.busy || e.running >= slots || len(e.queue) == 0 || e.isLost {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.busy = true
	e.running++
	cached := min(e.cachePrompt(j.query.Prefixes), j.query.PromptTokens)
	j.computedTokens = j.query.PromptTokens - cached
	j.prefill = time.Duration(j.computedTokens) * prefillPerToken
	s.after(j.prefill, func() {
		e.busy = false
		e.queuedTokens -= j.queuedTokens
		if !e.isLost {
			s.firstToken(e, j)
			j.decode = time.Duration(j.query.Request.MaxTokens) * e.currentTokenInterval()
			s.after(j.decode, func() {
				e.running--
				if !e.isLost {
					s.complete(e, j)
				}
				e.startPrefill(s)
			})
		}
		e.startPrefill(s)
	})
}
