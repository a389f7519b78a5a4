package qfforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// bufferBytes is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can be replaced.
	bufferBytes = 256 << 10
	// waitShare is the part of the objective after which a request that may be
	// repeated is tried elsewhere, and waitLeast the least such time.
	waitShare = 0.6
	waitLeast = 100 * time.Millisecond
	// waitPredicted is how many times its predicted time an endpoint may take.
	waitPredicted = 3
)

// run makes attempts until the request has its final answer.
func (c *call) run() {
	ctx, cancel := c.context()
	defer cancel()
	p := &progress{route: c.route}
	c.outcome.Kind = c.route.Kind
	s := &relay{call: c}
	var tried []qf.EndpointID
	var entry qf.EntryName
	for {
		a, err := c.attempt(ctx, p, s, tried, entry)
		if err != nil {
			c.finish(s, nil, c.withoutPlace(p, err))
			return
		}
		tried = append(tried, a.placement.Endpoint.ID)
		entry = a.placement.Endpoint.Entry
		step := c.next(p, a)
		c.report(a, step)
		if step != nextRepeat && step != nextResume {
			c.finish(s, a, step)
			return
		}
	}
}

// next counts the attempt and decides what follows.
func (c *call) next(p *progress, a *attempt) next {
	now := c.forwarder.ports.Clock.Now()
	p.end, p.timeLeft = a.end, c.deadline.Sub(now)
	if a.end == qf.AttemptNotRun {
		p.notRun++
	} else {
		p.runs++
	}
	step := decide(p)
	isRepeat := step == nextRepeat || step == nextResume
	if isRepeat && !c.forwarder.ports.Admission.TakeRetry(now, a.placement.Endpoint.Entry) {
		if a.end == qf.AttemptFailed {
			return nextPass
		}
		return p.giveUp()
	}
	return step
}

// withoutPlace decides when there is no endpoint for an attempt.
func (c *call) withoutPlace(p *progress, err error) next {
	c.outcome.Err = err
	return p.giveUp()
}

// attempt is one attempt at an endpoint.
type attempt struct {
	placement qf.PickedEndpoint
	startedAt time.Time
	end       qf.AttemptEnd
	answer    *qf.EndpointResponse
	// content is the whole body of an answer that isn't relayed piece by piece.
	content []byte
	err     error
}

func (c *call) attempt(ctx context.Context, p *progress, s *relay, tried []qf.EndpointID, entry qf.EntryName) (*attempt, error) {
	ports := &c.forwarder.ports
	now := ports.Clock.Now()
	placement, err := ports.Picker.PickEndpoint(&qf.PickQuery{
		Now: now, Route: c.route, Organisation: c.organisation(), Prompt: c.request.Prompt,
		Deadline: c.deadline, Excluded: tried, ResumeTokens: s.tokens, Entry: entry,
	})
	if err != nil {
		return nil, err
	}
	if len(tried) == 0 {
		ports.Admission.CountRequest(now, placement.Endpoint.Entry)
	}
	a := &attempt{placement: placement, startedAt: now}
	c.send(ctx, p, s, a)
	at := ports.Clock.Now()
	ports.Picker.RecordAttemptEnd(at, &a.placement, a.end)
	if !errors.Is(a.err, errTooSlow) {
		ports.PoisonFilter.RecordAttemptEnd(at, c.content(), &a.placement.Endpoint, a.end, a.err)
	}
	return a, nil
}

// send exchanges the request and takes the answer in.
func (c *call) send(ctx context.Context, p *progress, s *relay, a *attempt) {
	ports := &c.forwarder.ports
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := c.watch(a, p, cancel)
	answer, err := ports.Endpoints.SendRequest(ctx, &qf.EndpointRequest{
		ID: c.request.ID, Endpoint: a.placement.Endpoint, Method: c.incoming.Method, Target: c.incoming.RequestURI,
		Host: c.incoming.Host, Body: c.body,
		Header: ports.Protocol.BuildEndpointHeader(c.incoming.Header, &qf.ForwardInfo{
			Endpoint: a.placement.Endpoint.ID, Organisation: c.organisation(), Urgency: c.urgency(),
			TimeLeft: c.deadline.Sub(ports.Clock.Now()), ResumeAfter: s.lastEvent,
		}),
	})
	if err != nil {
		watch()
		a.broke(ctx, err)
		return
	}
	defer answer.Body.Close() //nolint:errcheck // Closing has no outcome.
	a.answer, a.end = answer, endOf(answer)
	if load := answer.Traits.Load; load != nil {
		ports.Picker.RecordLoad(ports.Clock.Now(), a.placement.Endpoint.ID, *load)
	}
	if a.end == qf.AttemptAnswered && c.route.Kind == qf.RouteStream && answer.Status == http.StatusOK {
		err = s.take(a, watch)
	} else {
		err = c.read(a, watch)
	}
	if err != nil {
		a.broke(ctx, err)
	}
	p.delivered = s.begun
}

// broke settles the end of an attempt without a whole answer.
func (a *attempt) broke(ctx context.Context, err error) {
	a.err = err
	if cause := context.Cause(ctx); errors.Is(cause, errTooSlow) {
		a.err = errors.Join(errTooSlow, err)
	}
	switch cause := context.Cause(ctx); {
	case a.answer == nil && qf.RanOf(err) == qf.RanNo && (cause == nil || errors.Is(cause, errTooSlow)):
		a.end = qf.AttemptNotRun
	case cause == nil || errors.Is(cause, errTooSlow):
		a.end = qf.AttemptBroken
	default:
		a.end = qf.AttemptCancelled
	}
}

// errTooSlow ends an attempt that is tried elsewhere.
var errTooSlow = errors.New("the endpoint took too long to begin its answer")

// watch ends an attempt that may be repeated if its answer doesn't begin. The
// function that it returns ends the watch.
func (c *call) watch(a *attempt, p *progress, cancel context.CancelCauseFunc) func() {
	if !c.route.MayRepeat() || p.runs+1 >= c.route.Attempts || p.delivered {
		return func() {}
	}
	patience := max(time.Duration(float64(c.route.Objective)*waitShare), waitPredicted*a.placement.FirstToken, waitLeast)
	subscription := c.forwarder.ports.Clock.After(patience)
	ended := make(chan struct{})
	go func() {
		defer subscription.Stop()
		select {
		case <-subscription.C():
			cancel(errTooSlow)
		case <-ended:
		}
	}()
	isEnded := false
	return func() {
		if !isEnded {
			isEnded = true
			close(ended)
		}
	}
}

// read takes an answer in whole, unless it is large: that one is passed on as it
// comes.
func (c *call) read(a *attempt, watch func()) error {
	defer watch()
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, a.answer.Body, bufferBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	c.began(a)
	a.content = buffer.Bytes()
	if err == nil && a.end == qf.AttemptAnswered {
		return c.passLarge(a)
	}
	return nil
}

// began counts the request as one that runs.
func (c *call) began(a *attempt) {
	if a.end == qf.AttemptNotRun {
		return
	}
	now := c.forwarder.ports.Clock.Now()
	c.forwarder.ports.Picker.RecordFirstToken(now, &a.placement)
	if c.outcome.First == 0 {
		c.outcome.First = now.Sub(c.arrivedAt)
		c.forwarder.ports.Admission.CountRunStart(now, c.organisation())
	}
}

// report notes an attempt for the log.
func (c *call) report(a *attempt, step next) {
	r := AttemptReport{
		Endpoint: a.placement.Endpoint.ID, Version: a.placement.Endpoint.Version, Rule: a.placement.Reason.Rule, Predicted: a.placement.FirstToken,
		End: a.end, Next: string(step), Err: a.err, Took: c.forwarder.ports.Clock.Now().Sub(a.startedAt),
	}
	if a.answer != nil {
		r.Status = a.answer.Status
	}
	c.outcome.Attempts = append(c.outcome.Attempts, r)
}
