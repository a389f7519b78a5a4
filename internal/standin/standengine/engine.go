// Package standengine is a small stand-in for a model engine. Each token is a
// function of the prompt and of the text before it, so that a test can check a
// response byte for byte and detect a wrong resumption.
package standengine

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// Behaviour configures the engine's speed and its injected faults. Where a field
// makes every nth attempt misbehave, 0 means none.
type Behaviour struct {
	// Slots is the number of requests that run at once. It is fixed when the
	// engine is created.
	Slots int
	// PrefillPerToken is the prefill time of one prompt token, and TokenInterval
	// the delay before each token of a response.
	PrefillPerToken time.Duration
	TokenInterval   time.Duration
	// CacheTokens is the capacity of the prefix cache. It is fixed when the
	// engine is created.
	CacheTokens int
	// FailEvery makes every nth attempt fail with status 500.
	FailEvery int
	// SlowFactor multiplies all times; 0 stands for 1.
	SlowFactor float64
	// WrongText makes the responses differ from ExpectedTokens.
	WrongText bool
	// Varies makes the tokens differ between attempts, as in an engine that samples.
	Varies bool
	// KVBytesPerSecond is the bandwidth of KV cache exports; 0 means unlimited.
	KVBytesPerSecond uint64
	// FailExports and FailImports make exports and imports of KV cache fail.
	FailExports, FailImports bool
	// CutEvery ends every nth response halfway, without its end marker.
	CutEvery int
	// GapEvery omits a token in the middle of every nth response.
	GapEvery int
	// CrossEvery echoes another attempt's identifier in every nth response.
	CrossEvery int
	// SilentAfter is the number of tokens after which a stream stalls; 0 means never.
	SilentAfter int
	// IgnoresFencing makes the engine accept orders with stale fencing numbers.
	IgnoresFencing bool
}

// DefaultBehaviour returns the behaviour of a fast engine without faults.
func DefaultBehaviour() Behaviour {
	return Behaviour{
		Slots:           16,
		PrefillPerToken: 20 * time.Microsecond,
		TokenInterval:   2 * time.Millisecond,
		CacheTokens:     20000,
	}
}

// CrashMarker in a prompt makes the engine crash.
const CrashMarker = "[crash]"

// Engine is one model engine.
type Engine struct {
	clock qf.Clock
	self  qf.Endpoint
	// onCrash, unless nil, is called when a prompt contains CrashMarker.
	onCrash func()

	mu        sync.Mutex
	behaviour Behaviour
	attempts  int
	running   int
	queued    int
	sequence  uint64
	leaving   bool
	// leavingSince is the time at which Leave was called, and latestArrival the
	// longest time after it at which an attempt was received.
	leavingSince  time.Time
	latestArrival time.Duration
	fencing       qf.FencingNumber
	// order is the latest accepted order.
	order qf.Order
	cache *prefixCache
	slots chan struct{}
	// computed counts the prompt tokens that were not cached.
	computed int
	// kvTokens holds the number of tokens in the KV cache of each attempt, by its
	// handle.
	kvTokens map[string]int
}

// New returns an engine for the endpoint. onCrash may be nil.
func New(clock qf.Clock, self qf.Endpoint, behaviour Behaviour, onCrash func()) *Engine {
	return &Engine{
		clock: clock, self: self, behaviour: behaviour, onCrash: onCrash,
		order:    qf.Order{Entry: self.Entry, Version: self.Version, Role: qf.EngineMixed},
		cache:    newPrefixCache(behaviour.CacheTokens),
		slots:    make(chan struct{}, max(behaviour.Slots, 1)),
		kvTokens: map[string]int{},
	}
}

// SetBehaviour replaces the behaviour for later calls.
func (e *Engine) SetBehaviour(behaviour Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = behaviour
}

// Version returns the version with which the engine was created.
func (e *Engine) Version() qf.Version { return e.self.Version }

// ExpectedTokens returns the tokens of the correct response.
func ExpectedTokens(messages []qf.Message, maxTokens int) []string {
	tokens := make([]string, 0, maxTokens)
	hash := promptHash(messages)
	for range maxTokens {
		token := nextToken(hash)
		hash = extendHash(hash, token)
		tokens = append(tokens, token)
	}
	return tokens
}

// promptHash returns the hash from which the first token is derived.
func promptHash(messages []qf.Message) uint64 {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte(0)
		b.WriteString(m.Content)
		b.WriteByte(0)
	}
	return xxhash.Sum64String(b.String())
}

// nextToken returns the token that follows the text with the hash.
func nextToken(hash uint64) string { return fmt.Sprintf("w%03x ", hash%4096) }

// extendHash returns the hash of a text that is extended by a token.
func extendHash(hash uint64, token string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%016x%s", hash, token))
}

// Load returns a new load report of the engine.
func (e *Engine) Load() qf.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return qf.LoadReport{
		Endpoint: e.self.ID, Sequence: e.sequence, At: e.clock.Now(),
		Running: e.running, Queued: e.queued, FreeKVTokens: e.cache.freeTokens(),
		Entry: e.order.Entry, Version: e.order.Version, Adapters: e.order.Adapters,
		Role: e.order.Role, Leaving: e.leaving,
	}
}

// ApplyOrder applies an order. It fails if the fencing number is stale, unless the
// engine ignores fencing.
func (e *Engine) ApplyOrder(order qf.Order) (qf.LoadReport, error) {
	e.mu.Lock()
	stale := order.Fencing < e.fencing && !e.behaviour.IgnoresFencing
	if !stale {
		e.fencing = max(e.fencing, order.Fencing)
		e.order = order
		e.leaving = e.leaving || order.Leave
	}
	e.mu.Unlock()
	if stale {
		return qf.LoadReport{}, qf.NewError(qf.CodeStaleFencing, qf.StepOrder, string(e.self.ID), "the fencing number is old")
	}
	return e.Load(), nil
}

// Leave makes the engine refuse new attempts.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leaving {
		e.leavingSince = e.clock.Now()
	}
	e.leaving = true
}

// LatestArrivalWhileLeaving returns the longest time after the call of Leave at
// which the engine received an attempt.
func (e *Engine) LatestArrivalWhileLeaving() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latestArrival
}

// attempt is one generation in progress.
type attempt struct {
	request   qf.GenerateRequest
	behaviour Behaviour
	number    int
	cached    int
	computed  int
}

// admit queues an attempt, or refuses it as not run if the engine is leaving.
func (e *Engine) admit(request qf.GenerateRequest) (*attempt, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.latestArrival = max(e.latestArrival, e.clock.Now().Sub(e.leavingSince))
		err := qf.NewError(qf.CodeLeaving, qf.StepAttempt, string(e.self.ID), "the engine takes no new work")
		err.Ran = qf.RanNo
		return nil, err
	}
	e.attempts++
	a := &attempt{request: request, behaviour: e.behaviour, number: e.attempts}
	total := qfprefix.EstimateTokens(request.Messages) + request.ResumeTokens
	a.cached = min(e.cache.countCachedTokens(request.Messages), total)
	if tokens, ok := e.kvTokens[request.KVHandle]; ok {
		a.cached = min(total, tokens)
	}
	a.computed = total - a.cached
	e.computed += a.computed
	e.cache.store(request.Messages)
	e.queued++
	return a, nil
}

// waitForSlot blocks until a slot is free and the prompt is prefilled. It moves the
// attempt from queued to running.
func (e *Engine) waitForSlot(ctx context.Context, a *attempt) error {
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		e.adjustCounts(-1, 0)
		return ctx.Err()
	}
	e.adjustCounts(-1, 1)
	prefill := time.Duration(a.computed) * a.behaviour.PrefillPerToken
	return e.pause(ctx, a.behaviour.scaled(prefill))
}

// releaseSlot ends a running attempt.
func (e *Engine) releaseSlot() {
	<-e.slots
	e.adjustCounts(0, -1)
}

// adjustCounts adds to the numbers of queued and running attempts.
func (e *Engine) adjustCounts(queued, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.running += running
}

// pause waits for the time d or until the context is done.
func (e *Engine) pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	s := e.clock.After(d)
	defer s.Stop()
	select {
	case <-s.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// scaled applies SlowFactor to a time.
func (b *Behaviour) scaled(d time.Duration) time.Duration {
	if b.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * b.SlowFactor)
}

// isNth reports whether a number is a multiple of every. It is false if every is 0.
func isNth(number, every int) bool { return every > 0 && number%every == 0 }
