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

// NewService returns a caller of plain services that uses the HTTP client.
func NewService(client *http.Client) *Service {
	return &Service{clients: newClients(client), load: NewEngine(client)}
}

// CallService implements qf.ServiceClient. It doesn't send an Idempotency-Key header,
// because net/http repeats requests that have one when a reused connection
// breaks.
func (s *Service) CallService(ctx context.Context, endpoint qf.Endpoint, call qf.ServiceCall) qf.Result[qf.ServiceResponse] {
	url := "http://" + endpoint.Address.String() + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, onceReadable{bytes.NewReader(call.Body)})
	if err != nil {
		return qf.NotDoneFor[qf.ServiceResponse](notRun(endpoint, "could not form the call", err))
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
	return exchange(s.of(call.AttemptOptions), request, endpoint, call.Attempt)
}

// onceReadable hides from net/http that a body is empty or could be read again. It
// sends requests again whose body allows that, some of them on its own account.
type onceReadable struct{ io.Reader }

// FetchStatus implements qf.ServiceClient. It always asks over a new connection.
func (s *Service) FetchStatus(ctx context.Context, endpoint qf.Endpoint, attempt qf.AttemptID) qf.Result[qf.ServiceResponse] {
	url := "http://" + endpoint.Address.String() + PathStatus + string(attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return qf.UnknownFor[qf.ServiceResponse](notRun(endpoint, "could not form the question", err))
	}
	result := exchange(s.fresh, request, endpoint, attempt)
	if qfplatform.IsDialFailure(result.Err) {
		result.Certainty = qf.Unknown // The question didn't arrive; the attempt may have.
	}
	return result
}

func exchange(client *http.Client, request *http.Request, endpoint qf.Endpoint, attempt qf.AttemptID) qf.Result[qf.ServiceResponse] {
	response, err := client.Do(request)
	if err != nil {
		failure := broken(endpoint, err)
		if failure.Ran == qf.RanNo {
			return qf.NotDoneFor[qf.ServiceResponse](failure)
		}
		return qf.UnknownFor[qf.ServiceResponse](failure)
	}
	defer func() { _ = response.Body.Close() }() // The body was read to its end or is given up.
	if response.Header.Get(HeaderStillRunning) == "true" {
		return qf.UnknownFor[qf.ServiceResponse](stillRunning(endpoint))
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		return qf.NotDoneFor[qf.ServiceResponse](refusal(endpoint, response))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return qf.UnknownFor[qf.ServiceResponse](broken(endpoint, errors.Join(err, errors.New("the answer was cut or too long"))))
	}
	if echo := response.Header.Get(HeaderAttempt); echo != string(attempt) {
		return qf.UnknownFor[qf.ServiceResponse](broken(endpoint, errors.New("the answer is of another attempt: "+echo)))
	}
	return qf.DoneWith(qf.ServiceResponse{
		Attempt: attempt, Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"), Body: body,
	})
}

func stillRunning(endpoint qf.Endpoint) error {
	err := qf.NewError(qf.CodeStillRunning, qf.StepStatus, string(endpoint.ID), "the attempt is running")
	err.Ran = qf.RanUnknown
	return err
}

// FetchLoad implements qf.ServiceClient.
func (s *Service) FetchLoad(ctx context.Context, endpoint qf.Endpoint) (qf.LoadReport, error) {
	return s.load.FetchLoad(ctx, endpoint)
}
