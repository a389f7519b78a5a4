package qfendpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfplatform"
	"quetzalfront/pkg/qfapi"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 8 << 20

// Service is a qf.ServiceClient that calls services over HTTP.
type Service struct {
	clients
	load *Engine
}

// NewService returns a client of plain services that uses the HTTP client.
func NewService(client *http.Client) *Service {
	return &Service{clients: newClients(client), load: NewEngine(client)}
}

// CallService implements qf.ServiceClient. It doesn't send an Idempotency-Key header,
// because net/http retries requests that have one if a reused connection
// breaks.
func (s *Service) CallService(ctx context.Context, endpoint qf.Endpoint, call qf.ServiceCall) qf.Result[qf.ServiceResponse] {
	url := "http://" + endpoint.Address.String() + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, unrepeatableBody{bytes.NewReader(call.Body)})
	if err != nil {
		return qf.NotDoneFor[qf.ServiceResponse](newNotRunError(endpoint, "could not build the call", err))
	}
	request.ContentLength = int64(len(call.Body))
	request.Header.Set(HeaderAttempt, string(call.Attempt))
	request.Header.Set(qfapi.HeaderOrganisation, string(call.Organisation))
	if timeout := timeoutOf(call.AttemptOptions); timeout != "" {
		request.Header.Set(qfapi.HeaderTimeout, timeout)
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	return exchange(s.choose(call.AttemptOptions), request, endpoint, call.Attempt)
}

// unrepeatableBody hides from net/http that a body is empty or can be read again, because
// net/http may silently retry requests with such a body.
type unrepeatableBody struct{ io.Reader }

// FetchStatus implements qf.ServiceClient. It always uses a new connection.
func (s *Service) FetchStatus(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) qf.Result[qf.ServiceResponse] {
	url := "http://" + endpoint.Address.String() + PathStatus + string(attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return qf.UnknownFor[qf.ServiceResponse](newNotRunError(endpoint, "could not build the status query", err))
	}
	result := exchange(s.fresh, request, endpoint, attempt)
	if qfplatform.IsDialFailure(result.Err) {
		result.Certainty = qf.Unknown // The status query didn't arrive, but the attempt may have.
	}
	return result
}

// exchange sends a request and classifies the result.
func exchange(client *http.Client, request *http.Request, endpoint qf.Endpoint, attempt qf.AttemptID) qf.Result[qf.ServiceResponse] {
	response, err := client.Do(request)
	if err != nil {
		failure := newTransportError(endpoint, err)
		if failure.Ran == qf.RanNo {
			return qf.NotDoneFor[qf.ServiceResponse](failure)
		}
		return qf.UnknownFor[qf.ServiceResponse](failure)
	}
	defer func() { _ = response.Body.Close() }() // The body was read to its end or isn't needed.
	if response.Header.Get(HeaderStillRunning) == "true" {
		return qf.UnknownFor[qf.ServiceResponse](newStillRunningError(endpoint))
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		return qf.NotDoneFor[qf.ServiceResponse](newRefusalError(endpoint, response))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return qf.UnknownFor[qf.ServiceResponse](newTransportError(endpoint, errors.Join(err, errors.New("the answer was truncated or too long"))))
	}
	if echo := response.Header.Get(HeaderAttempt); echo != string(attempt) {
		return qf.UnknownFor[qf.ServiceResponse](newTransportError(endpoint, errors.New("the answer is of another attempt: "+echo)))
	}
	return qf.DoneWith(qf.ServiceResponse{
		Attempt: attempt, Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"), Body: body,
	})
}

func newStillRunningError(endpoint qf.Endpoint) error {
	err := qf.NewError(qf.CodeStillRunning, qf.StepStatus, string(endpoint.ID), "the attempt is running")
	err.Ran = qf.RanUnknown
	return err
}

// FetchLoad implements qf.ServiceClient.
func (s *Service) FetchLoad(ctx context.Context, endpoint qf.Endpoint) (qf.LoadReport, error) {
	return s.load.FetchLoad(ctx, endpoint)
}
