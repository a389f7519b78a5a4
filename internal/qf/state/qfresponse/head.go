package qfresponse

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"quetzalfront/internal/qf"
)

// errNoStatus is the error for a response without a final status of HTTP. net/http reads any three digits, and 101 as the
// status of a connection that goes on in another protocol.
var errNoStatus = errors.New("the status of the response isn't a final one of HTTP")

// CheckHeads makes a transport reject responses whose head HTTP doesn't allow, although net/http passes them on. Nil stands
// for the default transport.
func CheckHeads(base http.RoundTripper) http.RoundTripper {
	if base == nil {
		base = http.DefaultTransport
	}
	return &headTransport{base: base}
}

// headTransport checks the heads of responses.
type headTransport struct {
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *headTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close() // Nothing is read from it.
		return nil, err
	}
	return response, nil
}

// checkHead returns an error for the head of a final response that HTTP doesn't allow.
func checkHead(response *http.Response) error {
	if !qf.IsFinalStatus(response.StatusCode) {
		return errNoStatus
	}
	return CheckNames(response.Header)
}

// CloseIdleConnections closes the idle connections of the transport.
func (t *headTransport) CloseIdleConnections() { closeIdleConnections(t.base) }

// CheckNames returns an error if the name of a header field holds a blank. net/http accepts those, but nothing else that HTTP
// doesn't allow in a name. A length or an encoding with such a name isn't recognised, so that the end of the body isn't known.
func CheckNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("the response has a field whose name holds a blank: %q", name)
		}
	}
	return nil
}
