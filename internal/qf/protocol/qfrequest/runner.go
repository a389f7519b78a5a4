package qfrequest

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"

	"quetzalfront/internal/qf"
)

// RetryBudget says whether a retry is allowed at present.
type RetryBudget interface {
	// Allow takes one retry from the budget of the request's organisation and
	// entry, and reports whether there was one.
	Allow(now time.Time, request *qf.Request) bool
}

// Observer learns how attempts went.
type Observer interface {
	AttemptEnded(now time.Time, observation qf.Observation)
}

// Choosing picks an endpoint for a request; it joins version and route.
type Choosing interface {
	Choose(now time.Time, request *qf.Request, resumeTokens int, avoid []qf.EndpointID) (qf.RouteChoice, error)
}

// Config holds what a runner works with. No field may be nil.
type Config struct {
	Timer    qf.Timer
	Engine   qf.ModelEngine
	Service  qf.PlainService
	Router   qf.Router
	Choosing Choosing
	Ledger   qf.Ledger
	Budget   RetryBudget
	Observer Observer
	Self     qf.NodeID
	// SilentAfter is how long an attempt may make no progress.
	SilentAfter time.Duration
}

// Runner does the I/O that lifecycles ask for.
type Runner struct {
	config Config
}

// NewRunner returns a runner.
func NewRunner(config Config) *Runner { return &Runner{config: config} }

// run is one execution of Run.
type run struct {
	*Runner
	ctx    context.Context
	record *Record
	// cancel ends the attempt in progress; it is nil when there is none.
	cancel context.CancelFunc
	choice qf.RouteChoice
	avoid  []qf.EndpointID
	// startedAt, firstAt and lastAt time the attempt in progress.
	startedAt, firstAt, lastAt time.Time
	tokens                     int
	moves                      int
	silent                     qf.Subscription
	attempt                    qf.AttemptID
}

// Run brings a record to its end. It returns when the request has ended or was
// released.
func (r *Runner) Run(ctx context.Context, record *Record) {
	x := &run{Runner: r, ctx: ctx, record: record}
	deadline := r.config.Timer.After(record.Request.Deadline.Sub(r.config.Timer.Now()))
	defer deadline.Stop()
	defer close(record.idle)
	defer x.endAttempt(false)
	more := x.handle(Event{Kind: EventAccepted})
	for more {
		select {
		case e := <-record.events:
			more = x.handle(e)
		case <-deadline.C():
			more = x.handle(Event{Kind: EventDeadline})
		case <-record.released:
			return
		case <-x.silence():
			more = x.handle(x.silentEvent())
		}
	}
}

func (x *run) silence() <-chan time.Time {
	if x.silent == nil {
		return nil
	}
	return x.silent.C()
}

func (x *run) silentEvent() Event {
	err := qf.NewError(qf.CodeBroken, qf.StepAttempt, string(x.choice.Endpoint.ID), "the endpoint made no progress")
	return Event{Kind: EventBroken, Attempt: x.attempt, Ran: qf.RanUnknown, Err: err}
}

// handle applies an event and does what the lifecycle asks for. It returns false
// when the request has ended or was released.
func (x *run) handle(e Event) bool {
	e.At = x.config.Timer.Now()
	x.observe(e)
	action := x.record.apply(e)
	switch action.Kind {
	case ActionStart:
		return x.start(action)
	case ActionAskStatus:
		x.endAttempt(false)
		go x.askStatus(x.choice.Endpoint, x.attempt)
		return true
	case ActionFinish:
		x.finish(e, action)
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

// observe keeps the times of the attempt in progress.
func (x *run) observe(e Event) {
	if e.Kind != EventPiece || e.Attempt != x.attempt {
		return
	}
	if x.firstAt.IsZero() {
		x.firstAt = e.At
		x.config.Router.FirstToken(e.At, x.choice.Endpoint.ID, e.At.Sub(x.startedAt))
		x.countRecomputed(e.Piece.ComputedTokens)
	}
	x.lastAt = e.At
	x.tokens++
	x.watchSilence()
}

func (x *run) countRecomputed(computed int) {
	x.record.mu.Lock()
	defer x.record.mu.Unlock()
	if x.record.lifecycle.Attempts()+x.moves > 1 || x.record.generation > 1 {
		x.record.recomputed += computed
	}
}

func (x *run) watchSilence() {
	if x.silent != nil {
		x.silent.Stop()
	}
	x.silent = x.config.Timer.After(x.config.SilentAfter)
}

// start chooses an endpoint and begins an attempt there.
func (x *run) start(action Action) bool {
	now := x.config.Timer.Now()
	x.endAttempt(action.Cause == StartMove)
	if action.Cause == StartRetry && !x.config.Budget.Allow(now, x.record.Request) {
		err := qf.NewError(qf.CodeBroken, qf.StepAttempt, string(action.Avoid), "the retry budget is spent")
		return x.handle(Event{Kind: EventRetryDenied, Err: err})
	}
	if action.Cause == StartMove {
		x.moves++
	}
	if action.Avoid != "" {
		x.avoid = append(x.avoid, action.Avoid)
	}
	offset := x.record.offset()
	choice, err := x.config.Choosing.Choose(now, x.record.Request, offset, x.avoid)
	if err != nil && len(x.avoid) > 0 {
		x.avoid = nil // Better an endpoint that failed before than none.
		choice, err = x.config.Choosing.Choose(now, x.record.Request, offset, nil)
	}
	if err != nil {
		return x.handle(Event{Kind: EventNoEndpoint, Err: err})
	}
	return x.begin(now, choice, action.Cause)
}

func (r *Record) offset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.text)
}

func (x *run) begin(now time.Time, choice qf.RouteChoice, cause StartCause) bool {
	x.choice = choice
	x.attempt = qf.AttemptID(uuid.NewString())
	x.startedAt = now
	x.firstAt, x.lastAt = time.Time{}, now
	x.tokens = 0
	x.record.note(Decision{
		At: now, Step: qf.StepRoute, Endpoint: choice.Endpoint.ID, Reason: choice.Reason, Note: string(cause),
	})
	x.record.apply(Event{Kind: EventStarted, At: now, Attempt: x.attempt, Endpoint: choice.Endpoint.ID})
	x.config.Router.Started(now, choice.Endpoint.ID, x.prefillTokens())
	x.watchSilence()
	ctx, cancel := context.WithDeadline(x.ctx, x.record.Request.Deadline)
	x.cancel = cancel
	if x.record.Request.Kind == qf.KindModelEngine {
		go x.generate(ctx, choice.Endpoint, x.attempt, x.record.snapshotText())
	} else {
		go x.call(ctx, choice.Endpoint, x.attempt)
	}
	return true
}

func (r *Record) snapshotText() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text[:len(r.text):len(r.text)]
}

// prefillTokens is what the router expected the endpoint to compute.
func (x *run) prefillTokens() int { return x.choice.Prediction.PrefillTokens }

// endAttempt cancels the attempt in progress and reports how it went.
func (x *run) endAttempt(ok bool) {
	if x.cancel == nil {
		return
	}
	x.cancel()
	x.cancel = nil
	x.silent.Stop()
	x.silent = nil
	now := x.config.Timer.Now()
	x.config.Router.Ended(now, x.choice.Endpoint.ID, x.prefillTokens(), ok)
	x.config.Observer.AttemptEnded(now, x.observation(now, ok))
}

func (x *run) observation(now time.Time, ok bool) qf.Observation {
	r := x.record.Request
	o := qf.Observation{
		At: now, Endpoint: x.choice.Endpoint.ID, Entry: r.Entry, Version: x.choice.Endpoint.Version, Organisation: r.Organisation,
		Region: x.choice.Endpoint.Region, Class: r.Class, Failed: !ok, Complete: ok, Tokens: x.tokens,
	}
	if !x.firstAt.IsZero() {
		o.FirstToken = x.firstAt.Sub(x.startedAt)
		if x.tokens > 1 {
			o.BetweenToken = x.lastAt.Sub(x.firstAt) / time.Duration(x.tokens-1)
		}
	}
	return o
}

// finish records a once-only outcome and then shows the outcome to readers.
func (x *run) finish(e Event, action Action) {
	x.endAttempt(action.Outcome == qf.OutcomeAnswered)
	request := x.record.Request
	if request.OnceOnly() {
		err := x.config.Ledger.Finish(x.ctx, request, x.record.intent, action.Outcome, e.Answer)
		x.noteOutcome(err)
	}
	x.record.settle(x.config.Timer.Now(), action.Outcome, action.Err)
}

func (x *run) noteOutcome(err error) {
	note := "outcome recorded"
	if err != nil {
		note = err.Error()
	}
	x.record.note(Decision{At: x.config.Timer.Now(), Step: qf.StepOutcome, Note: note})
}

// generate runs one attempt at a model engine and posts its pieces.
func (x *run) generate(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID, text []string) {
	r := x.record.Request
	stream, err := x.config.Engine.Generate(ctx, endpoint, qf.GenerateRequest{
		Request: r.ID, Attempt: attempt, Entry: r.Entry, Organisation: r.Organisation,
		Messages: r.Messages, MaxTokens: r.MaxTokens, Priority: r.Class.Priority(),
		ResumeText: strings.Join(text, ""), ResumeTokens: len(text), Deadline: r.Deadline,
	})
	if err != nil {
		x.post(ctx, brokenEvent(attempt, err))
		return
	}
	defer func() { _ = stream.Close() }() // Nothing more is read from it.
	for {
		piece, err := stream.Next(ctx)
		if err != nil {
			x.post(ctx, brokenEvent(attempt, endOfStream(err, endpoint)))
			return
		}
		if !x.post(ctx, Event{Kind: EventPiece, Attempt: attempt, Piece: piece}) || piece.End {
			return
		}
	}
}

// endOfStream turns an end without the end mark into a typed error.
func endOfStream(err error, endpoint qf.Endpoint) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	return &qf.Error{
		Code: qf.CodeBroken, Step: qf.StepAttempt, Peer: string(endpoint.ID),
		Reason: "the stream ended without its end mark", Ran: qf.RanUnknown,
	}
}

func brokenEvent(attempt qf.AttemptID, err error) Event {
	return Event{Kind: EventBroken, Attempt: attempt, Ran: qf.RanOf(err), Err: err}
}

// post waits for room, so that a slow runner slows the endpoint down. It returns
// false once the attempt is cancelled.
func (x *run) post(ctx context.Context, e Event) bool {
	select {
	case x.record.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// call runs one attempt at a plain service.
func (x *run) call(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) {
	r := x.record.Request
	result := x.config.Service.Call(ctx, endpoint, qf.ServiceCall{
		Request: r.ID, Attempt: attempt, Organisation: r.Organisation,
		Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body, Deadline: r.Deadline,
	})
	switch result.Certainty {
	case qf.Done:
		x.post(ctx, Event{Kind: EventAnswer, Attempt: attempt, Answer: &result.Value})
	case qf.NotDone:
		x.post(ctx, Event{Kind: EventBroken, Attempt: attempt, Ran: qf.RanNo, Err: result.Err})
	default:
		x.post(ctx, Event{Kind: EventBroken, Attempt: attempt, Ran: qf.RanUnknown, Err: result.Err})
	}
}

// askStatus asks an endpoint what became of a broken once-only attempt.
func (x *run) askStatus(endpoint qf.Endpoint, attempt qf.AttemptID) {
	ctx, cancel := context.WithTimeout(x.ctx, x.config.SilentAfter)
	defer cancel()
	result := x.config.Service.Status(ctx, endpoint, attempt)
	e := Event{Kind: EventStatus, Attempt: attempt, Certainty: result.Certainty, Err: result.Err}
	if result.Certainty == qf.Done {
		e.Answer = &result.Value
	}
	x.post(x.ctx, e)
}
