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

// Call is a request to a plain service.
type Call struct {
	Entry       string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is required for once-only calls. Calls with the same key get
	// the same answer at every node.
	IdempotencyKey string
}

// CallAnswer is the response of a plain service.
type CallAnswer struct {
	RequestID   string
	Status      int
	ContentType string
	Body        []byte
}

const maxAnswerBytes = 16 << 20

// Do sends a call and returns the response of the service. It retries with the same
// key, also at other nodes, until the outcome is known or the context ends. The nodes
// ensure that a once-only call runs at most once. The Ran field of a returned Error
// states whether the call ran.
func (c *Client) Do(ctx context.Context, call Call) (CallAnswer, error) {
	id := uuid.NewString()
	delay := minRetryDelay
	mayHaveRun := false
	for {
		answer, err := c.doOnce(ctx, &call, id)
		if err == nil {
			return answer, nil
		}
		err = downgradeRan(err, mayHaveRun)
		mayHaveRun = qf.RanOf(err) != qf.RanNo
		if !isRetryable(err) || c.pause(ctx, max(delay, retryAfterOf(err))) != nil {
			return answer, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// isRetryable reports whether a retry may return the outcome: the node didn't
// respond or is stopping, or the call is still running.
func isRetryable(err error) bool {
	switch qf.CodeOf(err) {
	case qf.CodeStillRunning, qf.CodeLeaving, qf.CodeInternal, qf.CodeUnavailable:
		return true
	default:
		return false
	}
}

func (c *Client) doOnce(ctx context.Context, call *Call, id string) (CallAnswer, error) {
	a, err := c.chooseAddress(ctx)
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
		c.markFailed(a)
		return CallAnswer{}, &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepAccept, Peer: a.String(), Ran: qf.RanUnknown, Cause: err}
	}
	defer func() { _ = response.Body.Close() }() // It was read to its end or is abandoned.
	return readAnswer(response, id)
}

// readAnswer returns the response of the service or the error of the node. The Ran
// header distinguishes them: it is Yes only on a service's response.
func readAnswer(response *http.Response, id string) (CallAnswer, error) {
	if response.Header.Get(qfapi.HeaderRan) != string(qf.RanYes) {
		return CallAnswer{RequestID: id}, readError(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		err = errors.Join(err, errors.New("the answer was truncated or is too long"))
		return CallAnswer{}, &qf.Error{Code: qf.CodeUnavailable, Step: qf.StepAccept, Ran: qf.RanYes, Cause: err}
	}
	return CallAnswer{
		RequestID: id, Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}
