package qfexchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfconnection"
	"quetzalfront/internal/qf/state/qfresponse"
)

const (
	readBufferBytes = 4 << 10
	// maxResponses bounds the responses that are read for one request: interim (1xx)
	// and stale ones, and the final one.
	maxResponses = 4
	// maxStaleResponses bounds the late responses to earlier requests that are skipped.
	maxStaleResponses = 2
	// maxHeaderBytes bounds the status lines and header fields of the responses to one request,
	// and maxStaleBytes the bodies of late responses that are skipped.
	maxHeaderBytes = 64 << 10
	maxStaleBytes  = 1 << 20
	// maxInlineBodyBytes is the size up to which a body is written before the response
	// is read. Larger ones are written concurrently, because an endpoint may respond
	// early.
	maxInlineBodyBytes = 16 << 10
)

// connection is one connection to an endpoint. It carries one request at a time.
type connection struct {
	client *Client
	key    endpointKey
	raw    net.Conn
	// reporting is raw for reads and writes: a read reports the failure that a write got.
	reporting net.Conn
	// limiter stands between the connection and its reader.
	limiter *readLimiter
	reader  *bufio.Reader
	closed  sync.Once
	// mayHaveSent is set before the first byte of the request is written.
	mayHaveSent atomic.Bool
	// written receives the result of a concurrent write of the request. It is nil if
	// the request was written before the response was read.
	written chan error
	// isReusable is false if the endpoint closes the connection after the response.
	isReusable bool
	keepAlive  time.Duration
	expiresAt  time.Time
}

func newConnection(client *Client, key endpointKey, raw net.Conn) *connection {
	reporting := qfconnection.Wrap(raw)
	limiter := &readLimiter{source: reporting}
	return &connection{
		client: client, key: key, raw: raw, reporting: reporting, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes),
		keepAlive: defaultKeepAlive, expiresAt: client.clock.Now().Add(defaultKeepAlive),
	}
}

// readLimiter limits how much is read while it is on.
type readLimiter struct {
	source io.Reader
	isOn   bool
	left   int
	// room bounds what the headers take; nil means no bound. cost is the estimate of what was read of them.
	room qf.AnswerRoom
	cost int64
}

// The estimated memory of a header for each byte and each line: a line becomes an entry of a map.
const (
	headByteCost = 2
	headLineCost = 128
)

var errHeaderTooLarge = errors.New("the response's header is too large")

// begin begins to limit the headers of the responses to one request.
func (l *readLimiter) begin(room qf.AnswerRoom) { l.left, l.room, l.cost = maxHeaderBytes, room, 0 }

// resize sets what the headers take.
func (l *readLimiter) resize(cost int64) error {
	if l.room != nil && !l.room.Resize(cost) {
		return qf.ErrNoAnswerRoom
	}
	return nil
}

// end ends the reading of a header, and replaces the estimate by what the header takes: its reader may have read a part of the body.
func (l *readLimiter) end(header http.Header) error {
	l.isOn, l.cost = false, 0
	for name, values := range header {
		for _, value := range values {
			l.cost += int64(len(name)+len(value))*headByteCost + headLineCost
		}
	}
	return l.resize(l.cost)
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if !l.isOn {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if err := l.resize(l.cost); err != nil {
		return 0, err
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.cost += int64(n)*headByteCost + int64(bytes.Count(p[:n], []byte{'\n'}))*headLineCost
	return n, err
}

// abort closes the connection at once. It may be called more than once.
func (c *connection) abort() {
	c.closed.Do(func() { _ = c.raw.Close() }) // The connection is abandoned either way.
}

// ran returns whether the request may have run if the exchange fails now.
func (c *connection) ran() qf.Ran {
	if c.mayHaveSent.Load() {
		return qf.RanUnknown
	}
	return qf.RanNo
}

// isOpen reports whether an idle connection is still open and has nothing to read.
// Unsolicited bytes belong to no request, so a connection with such bytes isn't reused.
func (c *connection) isOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	withFD, ok := c.raw.(syscall.Conn)
	if !ok {
		return c.hasNothingToRead()
	}
	fd, err := withFD.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = fd.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		isOpen = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && isOpen
}

// hasNothingToRead is isOpen for a connection without a file descriptor: a read whose deadline has
// passed fails with another error if the connection is closed.
func (c *connection) hasNothingToRead() bool {
	if err := c.raw.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	var one [1]byte
	_, err := c.raw.Read(one[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && c.raw.SetReadDeadline(time.Time{}) == nil
}

// exchange sends the request and reads the response's header.
func (c *connection) exchange(request *qf.EndpointRequest) (*qf.EndpointResponse, error) {
	c.mayHaveSent.Store(false)
	c.written = nil
	if err := c.send(request); err != nil {
		return nil, err
	}
	response, info, err := c.receive(request)
	if err != nil {
		return nil, err
	}
	c.isReusable = !response.Close
	c.keepAlive = keepAliveTimeout(response.Header)
	source := response.Body
	if !qf.HasBody(request.Method, response.StatusCode) {
		source = http.NoBody
	}
	return &qf.EndpointResponse{Status: response.StatusCode, Header: response.Header, Traits: info, Body: source}, nil
}

// send writes the request. The header and a small body are sent in one write.
func (c *connection) send(request *qf.EndpointRequest) error {
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.Write(&head); err != nil {
		return err
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	c.mayHaveSent.Store(true)
	if len(request.Body) <= maxInlineBodyBytes {
		head.Write(request.Body)
		_, err := c.reporting.Write(head.Bytes())
		return err
	}
	written := make(chan error, 1)
	c.written = written
	go func() {
		buffers := net.Buffers{head.Bytes(), request.Body}
		_, err := buffers.WriteTo(c.reporting)
		written <- err
	}()
	return nil
}

// receive reads the header of the request's final response. It skips late responses to
// earlier requests, which have another request identifier. One without an identifier may
// belong to any request, on a new connection too, so nothing that it states is proven.
func (c *connection) receive(request *qf.EndpointRequest) (*http.Response, qf.ResponseInfo, error) {
	sent := &http.Request{Method: request.Method}
	stale := 0
	c.limiter.begin(request.HeadRoom)
	for range maxResponses {
		c.limiter.isOn = true
		response, err := http.ReadResponse(c.reader, sent)
		if err != nil {
			return nil, qf.ResponseInfo{}, err
		}
		if err := c.limiter.end(response.Header); err != nil {
			return nil, qf.ResponseInfo{}, err
		}
		if err := qfresponse.CheckNames(response.Header); err != nil {
			return nil, qf.ResponseInfo{}, err
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols {
			return nil, qf.ResponseInfo{}, errNoStatus
		}
		if response.StatusCode < http.StatusOK {
			continue // An interim response.
		}
		info := c.client.protocol.DecodeResponse(response.Header)
		if info.ID == request.ID {
			return response, info, nil
		}
		if info.ID == "" {
			return nil, qf.ResponseInfo{}, errUnnamedResponse
		}
		stale++
		if stale > maxStaleResponses || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, qf.ResponseInfo{}, errors.New("received a response to another request")
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes+1))
		if err != nil {
			return nil, qf.ResponseInfo{}, err
		}
		if skipped > maxStaleBytes {
			return nil, qf.ResponseInfo{}, errors.New("received a large response to another request")
		}
	}
	return nil, qf.ResponseInfo{}, errors.New("received too many interim responses or responses to other requests")
}

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

// responseBody is a response's body. It returns the connection to the pool at its end.
type responseBody struct {
	connection *connection
	source     io.ReadCloser
	// stop detaches the connection from the request's context.
	stop func() bool
	done bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish()
	}
	return n, err
}

// finish returns the connection to the pool if it is in a clean state, and closes it
// otherwise.
func (b *responseBody) finish() {
	b.done = true
	c := b.connection
	if !b.stop() || !c.isReusable || c.reader.Buffered() > 0 || !c.isFullyWritten() {
		c.abort()
		return
	}
	c.client.putIdle(c)
}

// isFullyWritten reports whether the whole request was written without an error.
func (c *connection) isFullyWritten() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// Close implements io.Closer. Before the end of the body it aborts the exchange.
func (b *responseBody) Close() error {
	if !b.done {
		b.done = true
		b.stop()
		b.connection.abort()
	}
	return nil
}
