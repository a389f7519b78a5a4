package qfrequest

import (
	"context"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// RetryBudget decides whether a retry is allowed.
type RetryBudget interface {
	// Retry takes one retry from the budget of the request's organisation and
	// entry if one is left. It draws the random part of the delay itself.
	Retry(query qf.RetryQuery) qf.RetryDecision
}

// Observer records the results of attempts.
type Observer interface {
	// RecordAttemptEnd records an attempt that has ended.
	RecordAttemptEnd(now time.Time, observation qf.Observation)
	// RecordBrokenAttempt records an attempt that broke, before another one starts.
	// The error states whether it may have run.
	RecordBrokenAttempt(now time.Time, request *qf.Request, endpoint qf.Endpoint, err error)
}

// Chooser chooses the version and the endpoint for a request.
type Chooser interface {
	// ChooseEndpoint returns a *PostponedError if the choice must be made later.
	ChooseEndpoint(now time.Time, request *qf.Request, resumeTokens int, avoid []qf.EndpointID) (qf.RouteChoice, error)
	// IsLeaving reports whether an endpoint has announced its departure.
	IsLeaving(endpoint qf.EndpointID) bool
}

// Config holds the dependencies and bounds of a runner. No field may be nil.
type Config struct {
	Clock    qf.Clock
	Engine   qf.EngineClient
	Service  qf.ServiceClient
	Prober   qf.Prober
	Router   qf.Router
	Chooser  Chooser
	Ledger   qf.Ledger
	Budget   RetryBudget
	Observer Observer
	Self     qf.NodeID
	// SilentAfter is how long an attempt may make no progress before it counts as
	// stalled.
	SilentAfter time.Duration
	// MaxIntentAge is how long after its intent was written a once-only attempt may
	// still be sent.
	MaxIntentAge time.Duration
	// IsCurrent reports whether an endpoint still runs with the same incarnation.
	IsCurrent func(endpoint qf.Endpoint) bool
}

// Runner does the I/O that lifecycles require.
type Runner struct {
	config Config
	// calls counts the calls to endpoints and to the ledger. They end after their run, once they notice that it has ended.
	calls sync.WaitGroup
}

// NewRunner returns a runner.
func NewRunner(config Config) *Runner { return &Runner{config: config} }

// Wait blocks until the calls of all runs have ended. The runs must have ended.
func (r *Runner) Wait() { r.calls.Wait() }

// run is one execution of Run.
type run struct {
	*Runner
	ctx    context.Context
	record *Record
	// cancel ends the attempt in progress; it is nil when there is none.
	cancel context.CancelFunc
	choice qf.RouteChoice
	avoid  []qf.EndpointID
	// startedAt, firstAt and lastAt are when the attempt in progress started and had
	// its first and its last token.
	startedAt, firstAt, lastAt time.Time
	tokens                     int
	moves                      int
	attempt                    qf.AttemptID
	// cut is true if the attempt in progress ends for a reason that isn't evidence
	// about its endpoint's version.
	cut bool
	// kvHandle names the KV cache that was imported for the next attempt, if any.
	kvHandle string
	// progressAt is when the attempt last made progress or was checked on.
	progressAt time.Time
	// reconnect is true if the attempt must use a new connection, because the last one
	// stalled.
	reconnect bool
	// retryAt fires when the delayed start is due; it is nil if none is.
	retryAt qf.Subscription
	delayed Action
}

// progressChecks is the number of checks of an attempt's progress per SilentAfter.
const progressChecks = 4

// Run runs a request. It returns when the request has ended or was released, or the
// context ends.
func (r *Runner) Run(ctx context.Context, record *Record) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &run{Runner: r, ctx: ctx, record: record}
	deadline := r.config.Clock.After(record.Request.Deadline.Sub(r.config.Clock.Now()))
	defer deadline.Stop()
	checks := r.config.Clock.Every(r.config.SilentAfter / progressChecks)
	defer checks.Stop()
	defer close(record.idle)
	defer x.endAttempt(false)
	defer x.stopRetry()
	more := x.handle(Event{Kind: EventAccepted})
	for more {
		select {
		case e := <-record.events:
			more = x.handle(e)
		case <-deadline.C():
			more = x.handleQueued() && x.handle(Event{Kind: EventDeadline})
		case <-record.released:
			x.cut = true
			return
		case <-ctx.Done():
			return // The node stops; a peer or the ledger holds the request's state.
		case <-checks.C():
			more = x.handleQueued() && x.checkProgress()
		case <-x.retryDue():
			x.retryAt = nil
			more = x.launch(x.delayed)
		}
	}
}

// handleQueued handles the events that have come. A node that comes late to them comes late to the end of a time too, and what came before it counts.
func (x *run) handleQueued() bool {
	for {
		select {
		case e := <-x.record.events:
			if !x.handle(e) {
				return false
			}
		default:
			return true
		}
	}
}

// checkProgress reports an attempt that has stalled. One periodic check for the whole
// request costs less than a timer for each token.
func (x *run) checkProgress() bool {
	now := x.config.Clock.Now()
	if x.cancel == nil || now.Sub(x.progressAt) < x.config.SilentAfter {
		return true
	}
	x.progressAt = now
	return x.handle(Event{Kind: EventStalled, Attempt: x.attempt})
}

// handle applies an event and does what the lifecycle requires. It returns false if the
// request has ended or was released.
func (x *run) handle(e Event) bool {
	if x.ctx.Err() != nil {
		return false // A failure because the node stops is no evidence about the request.
	}
	if e.Kind == EventIntentReplaced {
		return x.handleReplacedIntent(e)
	}
	e.At = x.config.Clock.Now()
	x.observe(e)
	if e.Kind == EventBroken && e.Attempt == x.attempt && x.cancel != nil {
		x.config.Observer.RecordBrokenAttempt(e.At, x.record.Request, x.choice.Endpoint, e.Err)
	}
	action := x.record.apply(e)
	switch action.Kind {
	case ActionStart:
		return x.start(action)
	case ActionQueryStatus:
		if action.CancelAttempt != "" {
			x.endAttempt(false)
		}
		endpoint, attempt := x.choice.Endpoint, x.attempt
		x.calls.Go(func() { x.queryStatus(endpoint, attempt, action.After) })
		return true
	case ActionProbe:
		endpoint, attempt := x.choice.Endpoint, x.attempt
		x.calls.Go(func() { x.probe(endpoint, attempt) })
		return true
	case ActionFinish:
		x.finish(action)
		return false
	default:
		return x.record.isOwned()
	}
}

func (r *Record) isOwned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifecycle.Phase() != PhaseEnded
}

// observe records the times of the attempt in progress.
func (x *run) observe(e Event) {
	if e.Kind != EventChunk || e.Attempt != x.attempt {
		return
	}
	if x.firstAt.IsZero() {
		x.firstAt = e.At
		x.config.Router.RecordFirstToken(e.At, x.choice.Endpoint.ID, e.At.Sub(x.startedAt))
		x.countRecomputed(e.Chunk.ComputedTokens)
	}
	x.progressAt = e.At
	if !e.Chunk.End { // The end mark isn't a token.
		x.lastAt = e.At
		x.tokens++
	}
}

func (x *run) countRecomputed(computed int) {
	x.record.mu.Lock()
	defer x.record.mu.Unlock()
	if x.record.lifecycle.Attempts()+x.moves > 1 || x.record.generation > 1 {
		x.record.recomputed += computed
	}
}

func (r *Record) attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifecycle.Attempts()
}

func (r *Record) offset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.text)
}

// begin sends an attempt to the chosen endpoint.
func (x *run) begin(now time.Time, choice qf.RouteChoice, attempt qf.AttemptID, cause StartCause) bool {
	x.choice = choice
	x.attempt = attempt
	x.startedAt = now
	x.firstAt, x.lastAt = time.Time{}, now
	x.tokens = 0
	x.cut = false
	x.record.addDecision(Decision{
		At: now, Step: qf.StepRoute, Endpoint: choice.Endpoint.ID, Reason: choice.Reason, Note: string(cause),
	})
	x.record.apply(Event{Kind: EventStarted, At: now, Attempt: x.attempt, Endpoint: choice.Endpoint.ID})
	x.config.Router.RecordStart(now, choice.Endpoint.ID, x.predictedPrefill())
	x.progressAt = now
	ctx, cancel := context.WithCancel(x.ctx)
	x.cancel = cancel
	options := qf.AttemptOptions{TimeLeft: x.record.Request.Deadline.Sub(now), FreshConnection: x.reconnect}
	if x.record.Request.Kind == qf.KindModelEngine {
		text, kvHandle := x.record.snapshotText(), x.takeKVHandle()
		x.calls.Go(func() { x.generate(ctx, choice.Endpoint, attempt, text, kvHandle, options) })
	} else {
		plan := x.record.plan
		x.calls.Go(func() { x.call(ctx, choice.Endpoint, attempt, options, plan) })
	}
	return true
}

func (r *Record) snapshotText() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text[:len(r.text):len(r.text)]
}

// predictedPrefill returns the tokens that the router predicted the endpoint to compute.
func (x *run) predictedPrefill() int { return x.choice.Prediction.PrefillTokens }

// endAttempt cancels the attempt in progress and records its end.
func (x *run) endAttempt(ok bool) {
	if x.cancel == nil {
		return
	}
	x.cancel()
	x.cancel = nil
	now := x.config.Clock.Now()
	x.config.Router.RecordEnd(now, x.choice.Endpoint.ID, x.predictedPrefill(), ok || x.cut)
	x.config.Observer.RecordAttemptEnd(now, x.observation(now, ok))
}

func (x *run) observation(now time.Time, ok bool) qf.Observation {
	r := x.record.Request
	o := qf.Observation{
		At: now, Request: r.ID, Entry: r.Entry, Version: x.choice.Endpoint.Version, Organisation: r.Organisation,
		Region: x.choice.Endpoint.Region, Class: r.Class, Failed: !ok, Complete: ok, Tokens: x.tokens,
		Took: now.Sub(x.startedAt), Load: x.choice.Load, Endpoint: x.choice.Endpoint.ID, StartedAt: x.startedAt,
		OnceOnly: r.OnceOnly(), Forced: x.choice.Forced, Cut: x.cut,
	}
	if r.Kind == qf.KindPlainService {
		o.FirstToken = now.Sub(x.startedAt)
	}
	if !x.firstAt.IsZero() {
		o.FirstToken = x.firstAt.Sub(x.startedAt)
		if x.tokens > 1 {
			o.BetweenToken = x.lastAt.Sub(x.firstAt) / time.Duration(x.tokens-1)
		}
	}
	return o
}

// finish publishes the outcome to readers. The outcome of a once-only request is recorded
// first, unless that takes longer than outcomeWriteTimeout.
func (x *run) finish(action Action) {
	x.endAttempt(action.Outcome == qf.OutcomeAnswered)
	outcome, err := action.Outcome, action.Err
	if x.record.Request.OnceOnly() {
		outcome, err = x.recordOutcome(action)
	}
	x.record.publishOutcome(x.config.Clock.Now(), outcome, err)
}
