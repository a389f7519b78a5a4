package qfforward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"quetzalfront/internal/qf"
)

// finish delivers the final answer.
func (c *call) finish(s *relay, a *attempt, step next) {
	if step == nextPass && claimsNotRun(a.answer.Status) {
		step = nextFail // The endpoint didn't say that it hasn't run the request.
	}
	switch step {
	case nextDone, nextPass:
		c.deliver(s, a)
	case nextCut:
		c.outcome.Err = errors.Join(c.outcome.Err, errCut)
		panicAfter(c)
	case nextRefuse:
		c.refuse(&qf.Error{
			Code: qf.CodeNoEndpoint, Step: qf.StepRoute, Reason: "no endpoint took the request", Ran: qf.RanNo,
			RetryAfter: c.comeBack(), Cause: c.outcome.Err,
		})
	default:
		c.refuse(c.failure(a))
	}
}

var errCut = errors.New("the answer was cut")

// panicAfter ends the connection of an answer that was begun.
func panicAfter(c *call) {
	c.outcome.Took = c.forwarder.ports.Clock.Now().Sub(c.arrivedAt)
	c.forwarder.ports.Observe(&c.outcome)
	panic(http.ErrAbortHandler)
}

// failure is the answer to a request of which nothing is known.
func (c *call) failure(a *attempt) *qf.Error {
	err := &qf.Error{Code: qf.CodeBroken, Step: qf.StepAttempt, Reason: "it isn't known whether the request ran", Ran: qf.RanUnknown}
	if a != nil {
		err.Peer, err.Cause = string(a.placement.Endpoint.ID), a.err
	}
	if !c.forwarder.ports.Clock.Now().Before(c.deadline) {
		err.Code, err.Reason = qf.CodeDeadline, "no answer came in time"
	}
	return err
}

// returnShare is the part of its time after which a caller that found no endpoint should
// come back. Callers take no advice beyond a third, and a later return finds more
// endpoints.
const returnShare = 0.3

func (c *call) comeBack() time.Duration {
	var known *qf.Error
	if errors.As(c.outcome.Err, &known) && known.RetryAfter > 0 {
		return known.RetryAfter
	}
	left := c.deadline.Sub(c.forwarder.ports.Clock.Now())
	return max(time.Duration(float64(left)*returnShare), 0)
}

func (c *call) deliver(s *relay, a *attempt) {
	if s.begun || a.content == nil && c.outcome.Status != 0 {
		return // The answer was passed on as it came.
	}
	if qf.HasBody(c.incoming.Method, a.answer.Status) {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(a.content)))
	}
	c.writeHeader(a.answer)
	_, _ = c.writer.Write(a.content) // The caller has left; there is nobody to tell.
}

func (c *call) writeHeader(answer *qf.EndpointResponse) {
	header := c.writer.Header()
	for name, values := range c.forwarder.ports.Protocol.BuildCallerHeader(answer.Header) {
		header[name] = values
	}
	c.outcome.Status = answer.Status
	c.writer.WriteHeader(answer.Status)
}

// passLarge delivers an answer that doesn't fit into the buffer.
func (c *call) passLarge(a *attempt) error {
	c.writeHeader(a.answer)
	if _, err := c.writer.Write(a.content); err != nil {
		return err
	}
	a.content = nil
	_, err := io.Copy(c.writer, a.answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // What was delivered must not look complete.
	}
	return nil
}
