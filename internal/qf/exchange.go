package qf

import (
	"context"
	"io"
	"net/http"
)

// ExchangeRequest is one request to an endpoint.
type ExchangeRequest struct {
	ID       RequestID
	Endpoint Endpoint
	Method   string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
}

// ExchangeAnswer is an endpoint's answer. Body returns io.EOF only if the answer is
// complete, and must be closed; closing it earlier cancels the request.
type ExchangeAnswer struct {
	Status int
	Header http.Header
	Traits AnswerTraits
	Body   io.ReadCloser
}

// HasBody reports whether an answer with a status to a method has a body.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// Exchanger sends requests to endpoints. An *Error has RanNo if it is proven that
// the endpoint didn't get the request.
type Exchanger interface {
	Exchange(ctx context.Context, request *ExchangeRequest) (*ExchangeAnswer, error)
}
