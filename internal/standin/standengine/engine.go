// Package standengine is a small stand-in for a model engine. Its tokens are a
// function of the prompt and of the text so far, so that a test can check an
// answer byte for byte and a wrong resumption shows.
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

// Behaviour says how fast and how well the engine works.
type Behaviour struct {
	// Slots is the number of requests that run at once.
	Slots int
	// PrefillPerToken and TokenInterval are the times for one prompt token and
	// between two tokens of an answer.
	PrefillPerToken time.Duration
	TokenInterval   time.Duration
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// FailEvery makes every so-many-th attempt fail; 0 means none.
	FailEvery int
	// SlowFactor multiplies all times; 0 stands for 1.
	SlowFactor float64
	// WrongText makes the answers differ from the reference.
	WrongText bool
	// Varies makes each attempt draw its tokens anew, as an engine that samples.
	Varies bool
	// KVBytesPerSecond bounds exports of KV cache; 0 means that they take no time.
	KVBytesPerSecond uint64
	// FailExports and FailImports refuse exports and imports.
	FailExports, FailImports bool
	// CutEvery ends every so-many-th answer without its end mark.
	CutEvery int
	// GapEvery leaves out a token in the middle of every so-many-th answer.
	GapEvery int
	// CrossEvery echoes another attempt's identifier on every so-many-th answer.
	CrossEvery int
	// SilentAfter makes streams go silent after so many tokens; 0 means never.
	SilentAfter int
	// IgnoresFencing makes the engine take orders with old numbers.
	IgnoresFencing bool
}

// DefaultBehaviour is a healthy, fast engine.
func DefaultBehaviour() Behaviour {
	return Behaviour{
		Slots:           16,
		PrefillPerToken: 20 * time.Microsecond,
		TokenInterval:   2 * time.Millisecond,
		CacheTokens:     20000,
	}
}

// CrashMarker in a prompt makes the engine die.
const CrashMarker = "[crash]"

// Engine is one model engine.
type Engine struct {
	clock qf.Clock
	self  qf.Endpoint
	// onCrash is called when a marked request kills the engine.
	onCrash func()

	mu        sync.Mutex
	behaviour Behaviour
	attempts  int
	running   int
	queued    int
	sequence  uint64
	leaving   bool
	// leavingSince is when the engine heard that it leaves; latest is the longest
	// time after that at which an attempt still arrived.
	leavingSince time.Time
	latest       time.Duration
	fencing      qf.FencingNumber
	state        qf.Order
	cache        *prefixCache
	slots        chan struct{}
	// computed counts the prompt tokens that were not found in the cache.
	computed int
	kv       map[string]int
}

// New returns an engine for the endpoint. onCrash may be nil.
func New(clock qf.Clock, self qf.Endpoint, behaviour Behaviour, onCrash func()) *Engine {
	return &Engine{
		clock: clock, self: self, behaviour: behaviour, onCrash: onCrash,
		state: qf.Order{Entry: self.Entry, Version: self.Version, Role: qf.EngineMixed},
		cache: newPrefixCache(behaviour.CacheTokens),
		slots: make(chan struct{}, max(behaviour.Slots, 1)),
		kv:    map[string]int{},
	}
}

// SetBehaviour replaces the behaviour.
func (e *Engine) SetBehaviour(behaviour Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = behaviour
}

// Version returns the version that the engine was started with.
func (e *Engine) Version() qf.Version { return e.self.Version }

// ExpectedTokens returns the tokens of the right answer.
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

func nextToken(hash uint64) string { return fmt.Sprintf("w%03x ", hash%4096) }

func extendHash(hash uint64, token string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%016x%s", hash, token))
}

// Load returns the engine's load report.
func (e *Engine) Load() qf.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return qf.LoadReport{
		Endpoint: e.self.ID, Sequence: e.sequence, At: e.clock.Now(),
		Running: e.running, Queued: e.queued, FreeKVTokens: e.cache.free(),
		Entry: e.state.Entry, Version: e.state.Version, Adapters: e.state.Adapters,
		Role: e.state.Role, Leaving: e.leaving,
	}
}

// ApplyOrder takes an order, unless its fencing number is old and the engine checks.
func (e *Engine) ApplyOrder(order qf.Order) (qf.LoadReport, error) {
	e.mu.Lock()
	stale := order.Fencing < e.fencing && !e.behaviour.IgnoresFencing
	if !stale {
		e.fencing = max(e.fencing, order.Fencing)
		e.state = order
		e.leaving = e.leaving || order.Leave
	}
	e.mu.Unlock()
	if stale {
		return qf.LoadReport{}, qf.NewError(qf.CodeStaleFencing, qf.StepOrder, string(e.self.ID), "the fencing number is old")
	}
	return e.Load(), nil
}

// Leave makes the engine refuse new work.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leaving {
		e.leavingSince = e.clock.Now()
	}
	e.leaving = true
}

// LatestArrivalWhileLeaving returns how long after it heard that it leaves the engine was
// still sent work.
func (e *Engine) LatestArrivalWhileLeaving() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest
}

// attempt is one generation in progress.
type attempt struct {
	request   qf.GenerateRequest
	behaviour Behaviour
	number    int
	cached    int
	computed  int
}

// admit starts an attempt or refuses it as not run.
func (e *Engine) admit(request qf.GenerateRequest) (*attempt, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.latest = max(e.latest, e.clock.Now().Sub(e.leavingSince))
		err := qf.NewError(qf.CodeLeaving, qf.StepAttempt, string(e.self.ID), "the engine takes no new work")
		err.Ran = qf.RanNo
		return nil, err
	}
	e.attempts++
	a := &attempt{request: request, behaviour: e.behaviour, number: e.attempts}
	total := qfprefix.EstimateTokens(request.Messages) + request.ResumeTokens
	a.cached = min(e.cache.lookup(request.Messages), total)
	if kv, ok := e.kv[request.KVHandle]; ok {
		a.cached = min(total, kv)
	}
	a.computed = total - a.cached
	e.computed += a.computed
	e.cache.store(request.Messages)
	e.queued++
	return a, nil
}

// wait blocks until a slot is free and the prompt is prefilled.
func (e *Engine) wait(ctx context.Context, a *attempt) error {
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		e.count(-1, 0)
		return ctx.Err()
	}
	e.count(-1, 1)
	prefill := time.Duration(a.computed) * a.behaviour.PrefillPerToken
	return e.pause(ctx, a.behaviour.scaled(prefill))
}

func (e *Engine) finish() {
	<-e.slots
	e.count(0, -1)
}

func (e *Engine) count(queued, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.running += running
}

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

func (b *Behaviour) scaled(d time.Duration) time.Duration {
	if b.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * b.SlowFactor)
}

func isEvery(number, every int) bool { return every > 0 && number%every == 0 }
