package qfexchange

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfconnection"
)

const (
	readBufferBytes = 4 << 10
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
	// reporting is raw, for reads and writes. Its reads report the failure that a write got.
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
