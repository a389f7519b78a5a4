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
func (c *call) finish(s *relay, a *attempt, step nextStep) {
	if step == nextDeliverFailure && a.flaw != nil {
		step = nextFail
	}
	switch step {
	case nextDone, nextDeliverFailure:
		c.deliver(s, a)
	case nextPassRefusal:
		c.refuse(a.refusal)
	case nextAbort:
		c.outcome.Err = errors.Join(c.outcome.Err, errAborted)
		c.abort()
	case nextRefuse:
		c.refuse(&qf.Error{
			Code: qf.CodeNoEndpoint, Step: qf.StepRoute, Reason: "no endpoint took the request", Ran: qf.RanNo,
			RetryAfter: c.retryAfter(), Cause: c.outcome.Err,
		})
	default:
		c.refuse(c.failure(a))
	}
}

var errAborted = errors.New("the answer was aborted before its end")

// abort closes the connection of a partly delivered answer. It panics with
// http.ErrAbortHandler, so it records the outcome first.
func (c *call) abort() {
	c.observe()
	panic(http.ErrAbortHandler)
}

// failure returns the error for a request of which it is unknown whether it ran.
func (c *call) failure(a *attempt) *qf.Error {
	err := &qf.Error{Code: qf.CodeBroken, Step: qf.StepAttempt, Reason: "it isn't known whether the request ran", Ran: qf.RanUnknown}
	if a != nil {
		err.Peer, err.Cause = string(a.picked.Endpoint.ID), a.err
	}
	if !c.forwarder.ports.Clock.Now().Before(c.deadline) {
		err.Code, err.Reason = qf.CodeDeadline, "no answer came in time"
	}
	return err
}

// retryAfterShare is the part of the time left after which a caller should retry a request
// for which there was no endpoint. Callers ignore a Retry-After above a third of their
// time; below that, a later retry finds more endpoints.
const retryAfterShare = 0.3

// retryAfter returns the Retry-After of a refusal: that of its cause, or else a share of
// the time left.
func (c *call) retryAfter() time.Duration {
	var known *qf.Error
	if errors.As(c.outcome.Err, &known) && known.RetryAfter > 0 {
		return known.RetryAfter
	}
	left := c.deadline.Sub(c.forwarder.ports.Clock.Now())
	return max(time.Duration(float64(left)*retryAfterShare), 0)
}

// deliver writes a buffered answer to the caller.
func (c *call) deliver(s *relay, a *attempt) {
	if s.headerSent || a.content == nil && c.outcome.Status != 0 {
		return // The answer was already streamed to the caller.
	}
	if qf.HasBody(c.incoming.Method, a.answer.Status) {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(a.content)))
	}
	c.writeHeader(a.answer)
	_, _ = c.writer.Write(a.content) // An error means that the caller has disconnected.
}

func (c *call) writeHeader(answer *qf.EndpointResponse) {
	header := c.writer.Header()
	for name, values := range c.forwarder.ports.Protocol.BuildCallerHeader(answer.Header) {
		header[name] = values
	}
	c.outcome.Status = answer.Status
	c.writer.WriteHeader(answer.Status)
}

// streamLarge delivers an answer that doesn't fit into the buffer: the buffered part
// first, then the rest as it arrives. No other endpoint can continue such an answer.
func (c *call) streamLarge(a *attempt) error {
	c.isPartlySent = true
	c.writeHeader(a.answer)
	if _, err := c.writer.Write(a.content); err != nil {
		return errors.Join(qf.ErrCallerLeft, err)
	}
	a.content = nil
	c.buffered.drop()
	_, err := io.CopyBuffer(&callerWriter{writer: c.writer}, a.answer.Body, make([]byte, copyBytes))
	if err == nil {
		c.isPartlySent = false
	}
	return err
}

// copyBytes is the size of the buffer for the rest of a large answer.
const copyBytes = 8 << 10

// callerWriter writes to the caller, and marks the errors of doing so.
type callerWriter struct{ writer io.Writer }

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	n, err := w.writer.Write(p)
	if err != nil {
		err = errors.Join(qf.ErrCallerLeft, err)
	}
	return n, err
}
