package qfclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/google/uuid"

	"quetzalfront/internal/qf"
	"quetzalfront/pkg/qfapi"
)

// Call is one call of a plain service.
type Call struct {
	Entry       string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is required for calls that may not be repeated. The same
	// key gets the same answer at every node.
	IdempotencyKey string
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	RequestID   string
	Status      int
	ContentType string
	Body        []byte
}

const maxAnswerBytes = 16 << 20

// Do sends a call. It asks again, under the same key and at other nodes too,
// while nothing is known of the outcome and the context lasts; the nodes see to
// it that a once-only call runs at most once. The error's Ran says what is known.
func (c *Client) Do(ctx context.Context, call Call) (CallAnswer, error) {
	id := uuid.NewString()
	wait := firstPause
	mayHaveRun := false
	for {
		answer, err := c.doOnce(ctx, &call, id)
		if err == nil {
			return answer, nil
		}
		err = truthful(err, mayHaveRun)
		mayHaveRun = qf.RanOf(err) != qf.RanNo
		if !isWorthAsking(err) || c.pause(ctx, max(wait, advice(err))) != nil {
			return answer, err
		}
		wait = min(2*wait, longestWait)
	}
}

// isWorthAsking reports whether another try can tell more: the node didn't
// answer, is stopping, or the call is still running.
func isWorthAsking(err error) bool {
	switch qf.CodeOf(err) {
	case qf.CodeStillRunning, qf.CodeLeaving, qf.CodeInternal, qf.CodeUnavailable:
		return true
	default:
		return false
	}
}

func (c *Client) doOnce(ctx context.Context, call *Call, id string) (CallAnswer, error) {
	a, err := c.address(ctx)
	if err != nil {
		return CallAnswer{}, err
	}
	url := "http://" + a.String() + qfapi.PathServices + call.Entry + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return CallAnswer{}, &qf.Error{Code: qf.CodeInvalid, Step: qf.StepAccept, Field: "Path", Reason: err.Error(), Ran: qf.RanNo}
	}
	request.Header.Set(qfapi.HeaderOrganisation, c.options.Organisation)
	request.Header.Set(qfapi.HeaderRequestID, id)
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		request.Header.Set(qfapi.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		c.fail(a)
		return CallAnswer{}, &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepAccept, Peer: a.String(), Ran: qf.RanUnknown, Cause: err}
	}
	defer func() { _ = response.Body.Close() }() // It was read to its end or is given up.
	return readAnswer(response, id)
}

// readAnswer tells a service's answer from a node's error by the Ran header,
// which is Yes exactly on a service's answer.
func readAnswer(response *http.Response, id string) (CallAnswer, error) {
	if response.Header.Get(qfapi.HeaderRan) != string(qf.RanYes) {
		return CallAnswer{RequestID: id}, readError(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		err = errors.Join(err, errors.New("the answer was cut or is too long"))
		return CallAnswer{}, &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepAccept, Ran: qf.RanYes, Cause: err}
	}
	return CallAnswer{
		RequestID: id, Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}
