package qfforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

const (
	// bufferBytes is the size up to which an answer is buffered whole before it is
	// delivered, so that a broken one can be replaced by a retry.
	bufferBytes = 256 << 10
	// firstByteTimeoutShare is the part of the route's objective after which an attempt
	// whose answer hasn't begun is retried at another endpoint, if the route allows
	// retries. minFirstByteTimeout is the least such time.
	firstByteTimeoutShare = 0.6
	minFirstByteTimeout   = 100 * time.Millisecond
	// predictedTimeFactor is the multiple of its predicted time to the first token
	// that an endpoint may take.
	predictedTimeFactor = 3
)

// run makes attempts until the request has its final answer.
func (c *call) run() {
	ctx, cancel := c.context()
	defer cancel()
	p := &progress{route: c.route}
	if c.hop != nil {
		p.runs = c.hop.Runs
	}
	c.outcome.Kind = c.route.Kind
	s := &relay{call: c, pending: heldBuffer{room: c.room.NewPart()}}
	var tried []qf.EndpointID
	var entry qf.EntryName
	if c.hop != nil {
		entry = c.hop.Entry
	}
	var move *streamMove
	for {
		a, err := c.nextAttempt(ctx, p, s, tried, entry, move)
		if a == nil {
			c.finish(s, nil, c.withoutEndpoint(p, err))
			return
		}
		if a.peer != "" {
			step := c.nextAfterPeer(p, a)
			c.recordAttempt(a, step)
			if step != nextRetry && step != nextResume {
				c.finish(s, a, step)
				return
			}
			continue
		}
		tried = append(tried, a.picked.Endpoint.ID)
		entry = a.picked.Endpoint.Entry
		if move = a.move; move != nil {
			p.runs++ // Without its memory, the run can't go on anywhere else.
			c.recordAttempt(a, nextMove)
			continue
		}
		step := c.nextStep(p, a)
		c.recordAttempt(a, step)
		if step != nextRetry && step != nextResume {
			c.finish(s, a, step)
			return
		}
	}
}

// nextAttempt makes the next attempt: where the run was moved to, through another node if this one doesn't reach the endpoints, or else
// at an endpoint that it picks.
func (c *call) nextAttempt(ctx context.Context, p *progress, s *relay, tried []qf.EndpointID, entry qf.EntryName, move *streamMove) (*attempt, error) {
	if move != nil {
		return c.attempt(ctx, p, s, tried, entry, move)
	}
	if c.shouldUsePeer(p) {
		if a := c.tryPeer(ctx, p, s, entry); a != nil {
			return a, nil
		}
	}
	if c.isOutOfReach(p) {
		return nil, errNoLink()
	}
	a, err := c.attempt(ctx, p, s, tried, entry, nil)
	if err != nil && c.mayUsePeer(p) {
		if other := c.tryOtherNode(ctx, p, s, entry, err); other != nil {
			return other, nil
		}
	}
	return a, err
}

// nextStep counts the attempt and returns the step that follows it.
func (c *call) nextStep(p *progress, a *attempt) nextStep {
	now := c.forwarder.ports.Clock.Now()
	p.end, p.timeLeft, p.isPartlySent = a.end, c.deadline.Sub(now), c.isPartlySent
	isUnreached := a.end == qf.AttemptNotRun && a.answer == nil // It had no connection.
	switch {
	case isUnreached:
		p.unreached++
	case a.end == qf.AttemptNotRun:
		p.notRun++
	default:
		p.runs++
	}
	if c.hop != nil && isUnreached && p.runs == c.hop.Runs && !errors.Is(a.err, syscall.ECONNREFUSED) {
		a.refusal = errNoLink()
		return nextPassRefusal // The node that passed the request on has time left for another one.
	}
	step := decide(p)
	isRetry := step == nextRetry || step == nextResume
	if isRetry && a.end == qf.AttemptBroken && !c.forwarder.ports.PoisonFilter.MayRetry(c.content(), a.picked.Endpoint.Entry) {
		return p.giveUp()
	}
	if isRetry && !isUnreached && !c.forwarder.ports.Admission.TakeRetry(now, a.picked.Endpoint.Entry) {
		if a.end == qf.AttemptFailed {
			return p.deliverFailure()
		}
		return p.giveUp()
	}
	return step
}

// withoutEndpoint returns the final step of a request for which no endpoint could be
// picked.
func (c *call) withoutEndpoint(p *progress, err error) nextStep {
	c.outcome.Err = err
	return p.giveUp()
}

// attempt is one attempt at an endpoint.
type attempt struct {
	picked    qf.PickedEndpoint
	startedAt time.Time
	end       qf.AttemptEnd
	answer    *qf.EndpointResponse
	// content is the buffered body of an answer that isn't relayed as a stream.
	content []byte
	// flaw is the reason for which the caller must not get the answer; nil means that it may.
	flaw error
	err  error
	// move is set if the run goes on at another endpoint.
	move *streamMove
	// peer is the node that the request was passed to, refusal what it refused the request with.
	// The endpoint isn't known then.
	peer    qf.NodeID
	refusal *qf.Error
	// watch follows an attempt at an endpoint.
	watch qf.AttemptWatch
	// firstEventAt is when the attempt's first event was relayed, answerRecordedAt when it was
	// last recorded that the answer goes on.
	firstEventAt, answerRecordedAt time.Time
}

// attempt makes one attempt and records its end: at the endpoint to which the run was moved, or
// else at one that it picks.
func (c *call) attempt(ctx context.Context, p *progress, s *relay, tried []qf.EndpointID, entry qf.EntryName, move *streamMove) (*attempt, error) {
	ports := &c.forwarder.ports
	now := ports.Clock.Now()
	if move != nil {
		a := &attempt{picked: move.to, startedAt: now}
		c.makeAttempt(ctx, p, s, a, move.memory)
		return a, nil
	}
	picked, err := c.pick(&qf.PickQuery{
		Now: now, Route: c.route, Organisation: c.organisation(), Rank: c.rank(), Prompt: c.request.Prompt,
		Deadline: c.deadline, Excluded: tried, ResumeTokens: s.tokens, Entry: entry, Residency: c.residency(),
	})
	if err != nil {
		return nil, err
	}
	now = ports.Clock.Now()
	if len(tried) == 0 && (c.hop == nil || c.hop.Runs == 0) {
		ports.Admission.CountRequest(now, picked.Endpoint.Entry)
	}
	a := &attempt{picked: picked, startedAt: now}
	c.makeAttempt(ctx, p, s, a, "")
	return a, nil
}

const (
	// placeWaitShare is the part of its objective for which a request waits for a place, and
	// placeRecheckInterval is the time between two looks.
	placeWaitShare       = 0.4
	placeRecheckInterval = 20 * time.Millisecond
)

// pick picks an endpoint. If none takes the request now but a place will soon be free, it waits for one.
func (c *call) pick(query *qf.PickQuery) (qf.PickedEndpoint, error) {
	picker, clock := c.forwarder.ports.Picker, c.forwarder.ports.Clock
	picked, err := picker.PickEndpoint(query)
	if err == nil || !picker.AwaitPlace(query.Now, c.route.Entries) {
		return picked, err
	}
	defer picker.EndWait(c.route.Entries)
	until := earlier(c.arrivedAt.Add(time.Duration(float64(c.route.Objective)*placeWaitShare)), c.deadline)
	for err != nil && clock.Now().Before(until) && c.incoming.Context().Err() == nil {
		c.wait(placeRecheckInterval, nil)
		query.Now, query.IsRecheck = clock.Now(), true
		picked, err = picker.PickEndpoint(query)
	}
	return picked, err
}

// makeAttempt makes an attempt at the picked endpoint and records its end.
func (c *call) makeAttempt(ctx context.Context, p *progress, s *relay, a *attempt, memory qf.RunMemory) {
	ports := &c.forwarder.ports
	c.send(ctx, p, s, a, memory)
	at := ports.Clock.Now()
	ports.Picker.RecordAttemptEnd(at, &a.picked, a.end)
	end := a.end
	isOwnEnd := errors.Is(a.err, errFirstByteTimeout) || errors.Is(a.err, errCutOff) || errors.Is(a.err, qf.ErrNoAnswerRoom)
	if end == qf.AttemptBroken && isOwnEnd {
		end = qf.AttemptCancelled // The node itself ended it.
	}
	if end == qf.AttemptBroken && a.answer == nil {
		c.countRun(at) // Most of these have run, and their answers were lost.
	}
	ports.PoisonFilter.RecordAttemptEnd(&qf.EndedAttempt{
		Content: c.content(), Endpoint: &a.picked.Endpoint, StartedAt: a.startedAt, EndedAt: at, End: end, Err: a.err,
	})
	if end == qf.AttemptAnswered && a.answer.Status < http.StatusMultipleChoices {
		ports.PoisonFilter.RecordAnswer(at, c.content(), &a.picked.Endpoint)
	}
}

// send sends the request to the picked endpoint and reads or relays the answer.
func (c *call) send(ctx context.Context, p *progress, s *relay, a *attempt, memory qf.RunMemory) {
	ports := &c.forwarder.ports
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.beginWatch(a, cancel)
	defer func() { a.watch.End(ports.Clock.Now(), a.contact()) }()
	watch := c.watchFirstByte(a, p, cancel)
	answer, err := ports.Endpoints.SendRequest(ctx, &qf.EndpointRequest{
		ID: c.request.ID, Endpoint: a.picked.Endpoint, Method: c.incoming.Method, Target: c.incoming.RequestURI,
		Host: c.incoming.Host, Body: c.body, IsWanted: c.isWanted, HeadRoom: c.headRoom,
		Header: ports.Protocol.BuildEndpointHeader(c.incoming.Header, &qf.ForwardInfo{
			Endpoint: a.picked.Endpoint.ID, Organisation: c.organisation(), Urgency: c.priority(),
			TimeLeft: c.deadline.Sub(ports.Clock.Now()), ResumeAfter: s.lastEvent, Memory: memory,
		}),
	})
	if err != nil {
		watch.Stop()
		c.classifyFailure(ctx, a, err)
		return
	}
	defer answer.Body.Close() //nolint:errcheck // An error on close changes nothing.
	a.watch.RecordBytes(ports.Clock.Now())
	a.answer = answer
	a.setVerdict(judgeAnswer(answer, s.headerSent))
	ports.Picker.RecordResponse(ports.Clock.Now(), &a.picked, answer)
	if a.flaw != nil {
		watch.Stop()
		c.recordFirstByte(a)
		return // What follows the head changes nothing.
	}
	if a.end == qf.AttemptAnswered && c.route.Kind == qf.RouteStream && answer.Status == http.StatusOK {
		a.move, err = c.relayMovable(ctx, s, a, watch)
	} else {
		err = c.read(a, watch)
	}
	if err != nil {
		c.classifyFailure(ctx, a, err)
	}
	if a.move != nil {
		a.end = qf.AttemptCancelled // The endpoint did nothing wrong.
	}
	p.delivered = s.headerSent
}

// setVerdict sets how the attempt ended by the head of its answer.
func (a *attempt) setVerdict(v verdict) {
	a.end, a.flaw = v.end, v.flaw
	a.err = v.flaw
}

// classifyFailure sets the end of an attempt that got no complete answer.
func (c *call) classifyFailure(ctx context.Context, a *attempt, err error) {
	a.err = err
	cause := context.Cause(ctx)
	isOwn := errors.Is(cause, errFirstByteTimeout) || errors.Is(cause, errCutOff)
	if isOwn {
		a.err = errors.Join(cause, err)
	}
	switch {
	case errors.Is(err, qf.ErrCallerLeft):
		a.end = qf.AttemptCancelled
	case a.answer == nil && qf.RanOf(err) == qf.RanNo && (cause == nil || isOwn):
		a.end = qf.AttemptNotRun
	case cause == nil || isOwn:
		a.end = qf.AttemptBroken
	default:
		a.end, a.err = qf.AttemptCancelled, errors.Join(c.nameCause(cause), err)
	}
}

// errStopped is the cause of an attempt that ended because the node stopped.
var errStopped = errors.New("the node stopped")

// nameCause returns the cause for which an attempt was cancelled, for the log.
func (c *call) nameCause(cause error) error {
	until := c.forwarder.ports.ServesUntil()
	switch {
	case !errors.Is(cause, context.Canceled):
		return cause
	case !until.IsZero() && !c.forwarder.ports.Clock.Now().Before(until):
		return errStopped
	case c.forwarder.ports.Callers.IsCut(c.incoming.Context()):
		return errCut
	default:
		return qf.ErrCallerLeft
	}
}

// contact returns what the attempt shows of the link to its endpoint.
func (a *attempt) contact() qf.Contact {
	switch {
	case a.answer != nil:
		return qf.ContactMade
	case a.end == qf.AttemptNotRun:
		return qf.ContactNone
	case a.end == qf.AttemptBroken && !errors.Is(a.err, errFirstByteTimeout):
		return qf.ContactBroken
	default:
		return qf.ContactMade
	}
}

// errCutOff cancels a silent attempt at an endpoint that the node doesn't reach any more.
var errCutOff = errors.New("the node doesn't reach the endpoint any more")

// beginWatch begins to follow an attempt. One that may be repeated is abandoned if the node is cut off.
func (c *call) beginWatch(a *attempt, cancel context.CancelCauseFunc) {
	var abandon func()
	if c.route.MayRepeat() {
		abandon = func() { cancel(errCutOff) }
	}
	a.watch = c.forwarder.ports.Monitor.BeginAttempt(a.startedAt, &a.picked, abandon)
}

// errFirstByteTimeout cancels an attempt that is retried at another endpoint.
var errFirstByteTimeout = errors.New("the endpoint took too long to begin its answer")

// cancelAfter cancels an attempt after a time, unless the returned alarm is stopped before: a caller that has a part of an answer gets the rest of it.
func (c *call) cancelAfter(timeout time.Duration, cancel context.CancelCauseFunc) *qftimer.Alarm {
	return qftimer.NewAlarm(c.forwarder.ports.Clock, timeout, func() { cancel(errFirstByteTimeout) })
}

// watchFirstByte cancels an attempt that may be retried if its answer doesn't begin in time.
func (c *call) watchFirstByte(a *attempt, p *progress, cancel context.CancelCauseFunc) *qftimer.Alarm {
	if !c.route.MayRepeat() || p.runs+1 >= c.route.Attempts || p.delivered {
		return &qftimer.Alarm{}
	}
	timeout := max(time.Duration(float64(c.route.Objective)*firstByteTimeoutShare), predictedTimeFactor*a.picked.FirstToken, minFirstByteTimeout)
	return c.cancelAfter(timeout, cancel)
}

// read buffers an answer, or streams it to the caller if it is larger than the buffer, or than there is room for beside other
// answers.
func (c *call) read(a *attempt, watch *qftimer.Alarm) error {
	defer watch.Stop()
	c.buffered.drop()
	err := c.buffered.fill(a.answer.Body, bufferBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if err == nil && !watch.Stop() {
		return errFirstByteTimeout // The rest of the answer won't come.
	}
	c.recordFirstByte(a)
	a.content = c.buffered.data
	switch {
	case err == nil && a.end == qf.AttemptAnswered:
		return c.streamLarge(a)
	case err == nil && a.end == qf.AttemptFailed && a.flaw == nil:
		a.flaw = errLongFailure
		a.err = a.flaw
	}
	return nil
}

// recordFirstByte records the start of an answer, and counts the request as run.
func (c *call) recordFirstByte(a *attempt) {
	if a.end == qf.AttemptNotRun {
		return
	}
	now := c.forwarder.ports.Clock.Now()
	if c.outcome.First == 0 {
		c.outcome.First = now.Sub(c.arrivedAt)
	}
	if a.peer != "" {
		c.isCounted = true // The peer counts it.
		return
	}
	c.forwarder.ports.Picker.RecordFirstToken(now, &a.picked)
	c.countRun(now)
}

// countRun counts the request as run, once.
func (c *call) countRun(now time.Time) {
	if c.isCounted || c.hop != nil && c.hop.IsCounted {
		return
	}
	c.isCounted = true
	c.forwarder.ports.Admission.CountRunStart(now, c.organisation())
}

// recordAttempt adds an attempt to the request's outcome, for the log.
func (c *call) recordAttempt(a *attempt, step nextStep) {
	r := AttemptReport{
		Endpoint: a.picked.Endpoint.ID, Peer: a.peer, Version: a.picked.Endpoint.Version, Rule: a.picked.Reason.Rule, Predicted: a.picked.FirstToken,
		End: a.end, Next: string(step), Err: a.err, Took: c.forwarder.ports.Clock.Now().Sub(a.startedAt),
	}
	if a.answer != nil {
		r.Status = a.answer.Status
	}
	c.outcome.Attempts = append(c.outcome.Attempts, r)
}
