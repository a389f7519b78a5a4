// Package qfresponse checks HTTP responses: it limits their size, so that a server which sends bytes without end can't fill a
// node's memory, and rejects those with a head that HTTP doesn't allow.
package qfresponse

import (
	"errors"
	"io"
	"net/http"
)

// Limits holds the greatest sizes of a response, in bytes.
type Limits struct {
	// Header bounds the status line with the header fields.
	Header int64
	// Body bounds the body; 0 means that the reader of the body bounds it.
	Body int64
}

// ErrTooLarge is the error for a response with a longer body.
var ErrTooLarge = errors.New("the response is larger than its limit")

// Limit makes a transport reject larger responses, and those that CheckHeads rejects. It changes the transport.
func Limit(transport *http.Transport, limits Limits) http.RoundTripper {
	transport.MaxResponseHeaderBytes = limits.Header
	if limits.Body <= 0 {
		return CheckHeads(transport)
	}
	return LimitBodies(transport, limits.Body)
}

// LimitBodies makes a transport reject responses with longer bodies, in bytes, and those that CheckHeads rejects. Nil stands
// for the default transport.
func LimitBodies(base http.RoundTripper, most int64) http.RoundTripper {
	return &limitTransport{base: CheckHeads(base), most: most}
}

// limitTransport limits the bodies of responses.
type limitTransport struct {
	base http.RoundTripper
	most int64
}

// RoundTrip implements http.RoundTripper.
func (t *limitTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.ContentLength > t.most {
		_ = response.Body.Close() // Nothing is read from it.
		return nil, ErrTooLarge
	}
	response.Body = &limitBody{ReadCloser: response.Body, left: t.most}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (t *limitTransport) CloseIdleConnections() { closeIdleConnections(t.base) }

func closeIdleConnections(transport http.RoundTripper) {
	if closer, ok := transport.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// limitBody is a body that fails once more than its limit was read.
type limitBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n, ErrTooLarge
	}
	return n, err
}
