package qf

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// EndpointRequest is one request to an endpoint.
type EndpointRequest struct {
	ID       RequestID
	Endpoint Endpoint
	Method   string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// FreshConnection means that the request must use a new connection.
	FreshConnection bool
	// IsWanted reports whether anybody still waits for the answer. It is called right before the request is sent; nil
	// means that somebody does.
	IsWanted func() bool
	// HeadRoom bounds what the answer's head takes; nil means that only its length is bounded.
	HeadRoom AnswerRoom
}

// ErrNoAnswerRoom is the error for a part of an answer that there is no room for beside other answers.
var ErrNoAnswerRoom = errors.New("there is no room for the answer beside other answers")

// AnswerRoom bounds the memory of a part of an answer.
type AnswerRoom interface {
	// Resize sets the bytes that the part takes. It returns false and changes nothing if there is no room for them.
	Resize(bytes int64) bool
}

// EndpointResponse is an endpoint's answer. Body returns io.EOF only if the answer is
// complete, and must be closed; closing it earlier cancels the request.
type EndpointResponse struct {
	Status int
	Header http.Header
	Traits ResponseInfo
	Body   io.ReadCloser
}

// HasBody reports whether an answer with a status to a method has a body.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// maxStatus is the greatest status of HTTP.
const maxStatus = 599

// IsFinalStatus reports whether a status is one with which HTTP ends a request. Interim ones are below, and those that HTTP doesn't
// have are below or above.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// EndpointClient sends HTTP requests to endpoints. An *Error has RanNo if it is proven
// that the endpoint didn't receive the request.
type EndpointClient interface {
	SendRequest(ctx context.Context, request *EndpointRequest) (*EndpointResponse, error)
}
