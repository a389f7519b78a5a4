package qfexchange

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfresponse"
)

const (
	// maxResponses bounds the responses that are read for one request: interim (1xx)
	// and stale ones, and the final one.
	maxResponses = 4
	// maxStaleResponses bounds the late responses to earlier requests that are skipped, and
	// maxStaleBytes the body of each.
	maxStaleResponses = 2
	maxStaleBytes     = 1 << 20
)

// receive reads the header of the request's final response. It skips late responses to
// earlier requests, which have another request identifier. One without an identifier may
// belong to any request, on a new connection too, so nothing that it states is proven.
func (c *connection) receive(request *qf.EndpointRequest) (*http.Response, qf.ResponseInfo, error) {
	sent := &http.Request{Method: request.Method}
	stale := 0
	c.limiter.begin(request.HeadRoom)
	for range maxResponses {
		response, err := c.readHead(sent)
		if err != nil {
			return nil, qf.ResponseInfo{}, err
		}
		if response.StatusCode < http.StatusOK {
			continue // An interim response.
		}
		info := c.client.protocol.DecodeResponse(response.Header)
		switch info.ID {
		case request.ID:
			return response, info, nil
		case "":
			return nil, qf.ResponseInfo{}, errUnnamedResponse
		}
		if stale++; stale > maxStaleResponses {
			return nil, qf.ResponseInfo{}, errStaleResponse
		}
		if err := skipStale(response); err != nil {
			return nil, qf.ResponseInfo{}, err
		}
	}
	return nil, qf.ResponseInfo{}, errors.New("received too many interim responses or responses to other requests")
}

// readHead reads the head of the next response to the sent request.
func (c *connection) readHead(sent *http.Request) (*http.Response, error) {
	c.limiter.isOn = true
	response, err := http.ReadResponse(c.reader, sent)
	if err != nil {
		return nil, err
	}
	if err := c.limiter.end(response.Header); err != nil {
		return nil, err
	}
	if err := qfresponse.CheckNames(response.Header); err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols {
		return nil, errNoStatus
	}
	return response, nil
}

// skipStale reads the body of a late response to an earlier request.
func skipStale(response *http.Response) error {
	endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if endsWithConnection {
		return errStaleResponse
	}
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes+1))
	if err != nil {
		return err
	}
	if skipped > maxStaleBytes {
		return errors.New("received a large response to another request")
	}
	return nil
}

// errStaleResponse is the error for a response to an earlier request after which the request's own can't be read.
var errStaleResponse = errors.New("received a response to another request")

// errNoStatus is the error for a status that HTTP doesn't have, as net/http reads any three digits, or that begins another protocol.
var errNoStatus = errors.New("received a response whose status is below 100 or 101")

// errUnnamedResponse is the error of an attempt at an endpoint that doesn't return the request's identifier. Operators look for its text.
var errUnnamedResponse = errors.New("received a response without a request identifier, which proves nothing")

// maxKeepAlive bounds how long an idle connection is kept, whatever the endpoint allows.
const (
	maxKeepAlive        = 10 * time.Minute
	maxKeepAliveSeconds = int(maxKeepAlive / time.Second)
)

// keepAliveTimeout returns how long to keep an idle connection, from the endpoint's
// Keep-Alive header.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil && n >= 0 {
			return time.Duration(min(n, maxKeepAliveSeconds))*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}
