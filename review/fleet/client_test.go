//go:build review

package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// outcome is how an attempt of a client ended.
type outcome struct {
	id, path string
	sentAt   time.Time
	endedAt  time.Time
	// isKept is true if the channel had carried an answer before.
	isKept bool
	// isWritten is true if the whole request was written.
	isWritten bool
	// hasBegun is true if any byte of an answer came.
	hasBegun bool
	status   int
	header   http.Header
	body     string
	err      error
}

// client sends one request at a time on a channel that it keeps.
type client struct {
	world   *world
	name    string
	address netip.AddrPort
	number  int

	conn   net.Conn
	reader *bufio.Reader
	isKept bool
}

// send sends a request and reads the answer. A nil header adds none.
func (c *client) send(method, path, body string, header map[string]string, timeLimit time.Duration) outcome {
	c.number++
	o := outcome{id: fmt.Sprintf("%s-%d", c.name, c.number), path: path, sentAt: time.Now(), isKept: c.isKept}
	defer func() {
		o.endedAt = time.Now()
		c.world.record.note("%s: %s %s at %s: kept %t, status %d, answer begun %t, error %v", o.id, method, path, c.address, o.isKept, o.status, o.hasBegun, o.err)
	}()
	if c.conn == nil {
		if c.conn, o.err = net.DialTimeout("tcp", c.address.String(), time.Second); o.err != nil {
			c.conn = nil
			return o
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeLimit))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, host, o.id, timeLimit.Milliseconds(), key)
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	if _, o.err = io.WriteString(c.conn, text.String()); o.err != nil {
		c.drop()
		return o
	}
	o.isWritten = true
	if _, o.err = c.reader.Peek(1); o.err != nil {
		c.drop()
		return o
	}
	o.hasBegun = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		o.err = err
		c.drop()
		return o
	}
	data, err := io.ReadAll(response.Body)
	o.status, o.header, o.body, o.err = response.StatusCode, response.Header, string(data), err
	c.isKept = true
	if err != nil || response.Close {
		c.drop()
	}
	return o
}

// drop closes the channel.
func (c *client) drop() {
	_ = c.conn.Close()
	c.conn, c.isKept = nil, false
}

// outcomes gathers the outcomes of all clients.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

func (o *outcomes) add(one outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, one)
}

func (o *outcomes) all() []outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]outcome(nil), o.list...)
}
