// Package qfplatform holds what the clients of the platform's services share: how a
// call is made over HTTP, and whether its response or failure proves that it had no
// effect.
package qfplatform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfresponse"
	"quetzalfront/internal/qf/state/qftimer"
)

// maxIdleConnections is the number of idle connections kept to one service.
const maxIdleConnections = 32

// answerLimits bounds the answers of a service. The largest are pages of rows and objects, which
// the platform limits to a few megabytes.
var answerLimits = qfresponse.Limits{Header: 64 << 10, Body: 24 << 20}

var statusByCode = map[qf.Code]int{
	qf.CodeNotFound:    http.StatusNotFound,
	qf.CodeConflict:    http.StatusPreconditionFailed,
	qf.CodeTooLarge:    http.StatusRequestEntityTooLarge,
	qf.CodeLimited:     http.StatusTooManyRequests,
	qf.CodeUnavailable: http.StatusServiceUnavailable,
	// A service answers so if it no longer has what was asked for.
	qf.CodeStaleRevision: http.StatusGone,
}

// StatusOf returns the HTTP status of a code.
func StatusOf(code qf.Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// CodeOfStatus returns the code of an HTTP status. Each status except those that map
// to CodeInternal proves that the call had no effect.
func CodeOfStatus(status int) qf.Code {
	for code, s := range statusByCode {
		if s == status {
			return code
		}
	}
	return qf.CodeInternal
}

// IsDialFailure reports whether a call failed before a connection was established, so
// that no byte of it can have reached the server.
func IsDialFailure(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Client calls one service of the platform.
type Client struct {
	address netip.AddrPort
	http    *http.Client
}

// NewClient returns a client of the service at the address. The timeout bounds the time until
// the answer of a call begins; a body may take longer while it keeps arriving.
func NewClient(address netip.AddrPort, timeout time.Duration, dial qf.Dial) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DialContext: dial}
	return &Client{address: address, http: &http.Client{
		Timeout: max(timeout, maxCallDuration), Transport: &stallTransport{base: qfresponse.Limit(transport, answerLimits), clock: qftimer.NewWall(), timeout: timeout},
	}}
}

// ObserveCalls makes the client call a function with each request that it sends. It must be called before the
// client is used.
func (c *Client) ObserveCalls(observe func(request *http.Request)) {
	c.http.Transport = &observedTransport{base: c.http.Transport, observe: observe}
}

// observedTransport reports the requests that it sends.
type observedTransport struct {
	base    http.RoundTripper
	observe func(request *http.Request)
}

// RoundTrip implements http.RoundTripper.
func (t *observedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.observe(request)
	return t.base.RoundTrip(request)
}

// NewRequest returns an empty request to the service.
func (c *Client) NewRequest() *sling.Sling {
	return sling.New().Client(c.http).Base("http://" + c.address.String())
}

// Read makes a call that has no effect and decodes its response.
func (c *Client) Read(ctx context.Context, step qf.Step, s *sling.Sling, into any) error {
	_, err := c.ReadWithHeader(ctx, step, s, into)
	return err
}

// ReadWithHeader is Read, and returns the header of the response, also of one that is an
// error. It is nil without a response.
func (c *Client) ReadWithHeader(ctx context.Context, step qf.Step, s *sling.Sling, into any) (http.Header, error) {
	request, err := s.Request()
	if err != nil {
		return nil, c.failure(qf.CodeInternal, step, "could not build the request", err)
	}
	response, err := s.Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return headerOf(response), c.failure(qf.CodeUnavailable, step, "no answer", err)
	}
	return response.Header, c.StatusError(step, response)
}

// headerOf returns the header of a response, or nil without one.
func headerOf(response *http.Response) http.Header {
	if response == nil {
		return nil
	}
	return response.Header
}

// Write makes a call that has an effect. The result is NotDone only if the service
// refused the call, or if no connection was established.
func Write[T any](ctx context.Context, c *Client, step qf.Step, s *sling.Sling) qf.Result[T] {
	result, _ := WriteWithHeader[T](ctx, c, step, s)
	return result
}

// WriteWithHeader is Write, and returns the header of the response. It is nil without a
// response.
func WriteWithHeader[T any](ctx context.Context, c *Client, step qf.Step, s *sling.Sling) (qf.Result[T], http.Header) {
	request, err := s.Request()
	if err != nil {
		return qf.NotDoneFor[T](c.failure(qf.CodeInternal, step, "could not build the request", err)), nil
	}
	var value T
	response, err := s.Do(request.WithContext(ctx), &value, nil)
	if err != nil {
		return FailedWrite[T](c, step, err), headerOf(response)
	}
	return WriteResult(c, step, response, value), response.Header
}

// FailedWrite returns the result of a write without a valid response.
func FailedWrite[T any](c *Client, step qf.Step, cause error) qf.Result[T] {
	failure := c.failure(qf.CodeUnavailable, step, "no answer", cause)
	if IsDialFailure(cause) {
		return qf.NotDoneFor[T](failure)
	}
	return qf.UnknownFor[T](failure)
}

// WriteResult returns the result of a write from the response's status.
func WriteResult[T any](c *Client, step qf.Step, response *http.Response, value T) qf.Result[T] {
	err := c.StatusError(step, response)
	switch {
	case err == nil:
		return qf.DoneWith(value)
	case qf.CodeOf(err) == qf.CodeInternal:
		return qf.UnknownFor[T](err)
	default:
		return qf.NotDoneFor[T](err)
	}
}

// Do makes a call whose response isn't JSON. The caller closes the body.
func (c *Client) Do(ctx context.Context, s *sling.Sling) (*http.Response, error) {
	request, err := s.Request()
	if err != nil {
		return nil, err
	}
	return c.http.Do(request.WithContext(ctx))
}

// StatusError returns the error that a response's status stands for, or nil.
func (c *Client) StatusError(step qf.Step, response *http.Response) error {
	if response.StatusCode/100 == http.StatusOK/100 {
		return nil
	}
	err := c.failure(CodeOfStatus(response.StatusCode), step, response.Status, nil)
	if seconds, parseErr := strconv.Atoi(response.Header.Get("Retry-After")); parseErr == nil {
		err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return err
}

// ReadError returns the error of a read without a complete, valid response.
func (c *Client) ReadError(step qf.Step, cause error) error {
	return c.failure(qf.CodeUnavailable, step, "no answer", cause)
}

// failure returns an error that names the service's address.
func (c *Client) failure(code qf.Code, step qf.Step, reason string, cause error) *qf.Error {
	return &qf.Error{Code: code, Step: step, Peer: c.address.String(), Reason: reason, Cause: cause}
}
