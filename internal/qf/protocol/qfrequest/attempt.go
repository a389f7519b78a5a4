package qfrequest

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// generate runs one attempt at a model engine and posts its chunks as events.
func (x *run) generate(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID, text []string, kvHandle string, options qf.AttemptOptions) {
	r := x.record.Request
	stream, err := x.config.Engine.StartGeneration(ctx, endpoint, qf.GenerateRequest{
		Request: r.ID, Attempt: attempt, Entry: r.Entry, Organisation: r.Organisation,
		Messages: r.Messages, MaxTokens: r.MaxTokens, Priority: r.Class.Priority(),
		ResumeText: strings.Join(text, ""), ResumeTokens: len(text), KVHandle: kvHandle, Deadline: r.Deadline,
		AttemptOptions: options,
	})
	if err != nil {
		x.post(ctx, newBrokenEvent(attempt, err))
		return
	}
	defer func() { _ = stream.Close() }() // Nothing more is read from it.
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			x.post(ctx, newBrokenEvent(attempt, endOfStream(err, endpoint)))
			return
		}
		if !x.post(ctx, Event{Kind: EventChunk, Attempt: attempt, Chunk: chunk}) || chunk.End {
			return
		}
	}
}

// endOfStream turns the end of a stream without its end mark into a typed error.
func endOfStream(err error, endpoint qf.Endpoint) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	return &qf.Error{
		Code: qf.CodeBroken, Step: qf.StepAttempt, Peer: string(endpoint.ID),
		Reason: "the stream ended without its end mark", Ran: qf.RanUnknown,
	}
}

func newBrokenEvent(attempt qf.AttemptID, err error) Event {
	return Event{Kind: EventBroken, Attempt: attempt, Ran: qf.RanOf(err), Err: err}
}

// post sends an event to the runner. It blocks while the runner's queue is full, so that
// a slow runner applies back-pressure to the endpoint. It returns false once the attempt
// is cancelled.
func (x *run) post(ctx context.Context, e Event) bool {
	select {
	case x.record.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// call runs one attempt at a plain service.
func (x *run) call(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID, options qf.AttemptOptions, plan *PlannedStart) {
	r := x.record.Request
	if err := x.checkIntentAge(plan); err != nil {
		x.post(ctx, newBrokenEvent(attempt, err))
		return
	}
	result := x.config.Service.CallService(ctx, endpoint, qf.ServiceCall{
		Request: r.ID, Attempt: attempt, Organisation: r.Organisation,
		Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body, Deadline: r.Deadline,
		AttemptOptions: options,
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

// queryStatus queries an endpoint, after a delay, for the status of an attempt.
func (x *run) queryStatus(endpoint qf.Endpoint, attempt qf.AttemptID, delay time.Duration) {
	if !x.sleep(delay) {
		return
	}
	ctx, stop := contextWithTimeout(x.ctx, x.config.Clock, x.config.SilentAfter)
	defer stop()
	result := fetchStatusIfCurrent(ctx, x.config.Service, x.config.IsCurrent, qf.PlannedAttempt{Attempt: attempt, Endpoint: endpoint})
	e := Event{Kind: EventStatus, Attempt: attempt, Certainty: result.Certainty, Err: result.Err}
	if result.Certainty == qf.Done {
		e.Answer = &result.Value
	}
	x.post(x.ctx, e)
}

// probe checks over a new connection whether an engine is alive.
func (x *run) probe(endpoint qf.Endpoint, attempt qf.AttemptID) {
	ctx, stop := contextWithTimeout(x.ctx, x.config.Clock, x.config.SilentAfter)
	defer stop()
	report, err := x.config.Prober.ProbeEndpoint(ctx, endpoint)
	x.post(x.ctx, Event{Kind: EventProbed, Attempt: attempt, Queued: report.Queued, Err: err})
}

// sleep waits for the delay. It returns false if the run ended first.
func (x *run) sleep(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	s := x.config.Clock.After(delay)
	defer s.Stop()
	select {
	case <-s.C():
		return true
	case <-x.ctx.Done():
		return false
	}
}
