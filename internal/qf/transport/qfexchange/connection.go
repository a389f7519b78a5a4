package qfexchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quetzalfront/internal/qf"
)

const (
	readBufferBytes = 4 << 10
	// maxInformational bounds the interim answers before the final one.
	maxInformational = 4
	// maxForeign bounds the late answers to earlier requests that are skipped.
	maxForeign = 2
	// inlineBytes is the size up to which a body is written before the answer is
	// read; larger ones are written beside, because an endpoint may answer early.
	inlineBytes = 16 << 10
)

// connection is one connection to an endpoint. It carries one request at a time.
type connection struct {
	owner  *Client
	to     target
	raw    net.Conn
	reader *bufio.Reader
	closed sync.Once
	// used counts the exchanges so far.
	used int
	// wrote is set once any byte of the request may have left.
	wrote atomic.Bool
	// written is closed once the whole request was written; it is nil if that
	// happened before the answer was read.
	written chan error
	// mayKeep is false if the endpoint closes the connection after the answer.
	mayKeep   bool
	idleFor   time.Duration
	keepUntil time.Time
}

func newConnection(owner *Client, to target, raw net.Conn) *connection {
	return &connection{owner: owner, to: to, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), idleFor: defaultIdle}
}

// abort closes the connection at once. It may be called more than once.
func (c *connection) abort() {
	c.closed.Do(func() { _ = c.raw.Close() }) // It is given up either way.
}

func (c *connection) ran() qf.Ran {
	if c.wrote.Load() {
		return qf.RanUnknown
	}
	return qf.RanNo
}

// isOpen reports whether an idle connection is still open and has nothing to read:
// bytes that nobody asked for belong to no request.
func (c *connection) isOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	withFD, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
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

// exchange sends the request and reads the answer's header.
func (c *connection) exchange(request *qf.EndpointRequest) (*qf.EndpointResponse, error) {
	c.wrote.Store(false)
	c.written = nil
	if err := c.send(request); err != nil {
		return nil, err
	}
	response, traits, err := c.receive(request)
	if err != nil {
		return nil, err
	}
	c.used++
	c.mayKeep = !response.Close
	c.idleFor = idleOf(response.Header)
	source := response.Body
	if !qf.HasBody(request.Method, response.StatusCode) {
		source = http.NoBody
	}
	return &qf.EndpointResponse{Status: response.StatusCode, Header: response.Header, Traits: traits, Body: source}, nil
}

// send writes the request. Its header and a small body leave in one write.
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
	c.wrote.Store(true)
	if len(request.Body) <= inlineBytes {
		head.Write(request.Body)
		_, err := c.raw.Write(head.Bytes())
		return err
	}
	written := make(chan error, 1)
	c.written = written
	go func() {
		buffers := net.Buffers{head.Bytes(), request.Body}
		_, err := buffers.WriteTo(c.raw)
		written <- err
	}()
	return nil
}

// receive reads the final answer to the request. Late answers to earlier requests
// on this connection are skipped: the identifier tells them apart.
func (c *connection) receive(request *qf.EndpointRequest) (*http.Response, qf.ResponseInfo, error) {
	asked := &http.Request{Method: request.Method}
	foreign := 0
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, qf.ResponseInfo{}, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		traits := c.owner.protocol.DecodeResponse(response.Header)
		if traits.ID == request.ID || traits.ID == "" && c.used == 0 {
			return response, traits, nil
		}
		foreign++
		if foreign > maxForeign || traits.ID == "" || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, qf.ResponseInfo{}, errors.New("an answer to another request came")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, qf.ResponseInfo{}, err
		}
	}
	return nil, qf.ResponseInfo{}, errors.New("too many answers to other requests came")
}

// idleOf reads how long the endpoint keeps an idle connection.
func idleOf(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// body is an answer's body. It gives the connection back at its end.
type body struct {
	connection *connection
	source     io.ReadCloser
	// stop ends the watch of the request's context.
	stop func() bool
	done bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish()
	}
	return n, err
}

// finish keeps the connection if the answer left it in order.
func (b *body) finish() {
	b.done = true
	c := b.connection
	if !b.stop() || !c.mayKeep || c.reader.Buffered() > 0 || !c.wasWritten() {
		c.abort()
		return
	}
	c.owner.keep(c)
}

// wasWritten reports whether the whole request has left.
func (c *connection) wasWritten() bool {
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

// Close implements io.Closer. Before the end of the answer it cancels the request.
func (b *body) Close() error {
	if !b.done {
		b.done = true
		b.stop()
		b.connection.abort()
	}
	return nil
}
