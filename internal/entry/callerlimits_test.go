package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// limitStep is a part of what a caller does on one connection. The fields take effect in their order.
type limitStep struct {
	// limits is the configuration's part that a new version changes; it is empty without a change.
	limits string
	after  time.Duration
	sends  string
	// isAnswered is true if a whole answer must come.
	isAnswered bool
	// isClosed is true if the node must have closed the connection.
	isClosed bool
}

// readRequest is a whole request, in two parts.
var readRequest = [2]string{
	"GET /read/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: a\r\n", "X-Deadline-Ms: 2000\r\nAuthorization: Bearer " + goodKey + "\r\n\r\n",
}

// TestCallersInsideLimitsAreServed fails if a node closes a connection whose caller stays inside the limits of a configuration that may be in
// force, or keeps one for long whose caller is outside all of them.
func TestCallersInsideLimitsAreServed(t *testing.T) {
	const large, small = `"header-timeout-ms":20000,"idle-timeout-ms":200000`, `"header-timeout-ms":2000,"idle-timeout-ms":20000`
	whole := readRequest[0] + readRequest[1]
	first := limitStep{sends: whole, isAnswered: true}
	tests := []struct {
		name  string
		steps []limitStep
	}{
		{"long idle", []limitStep{{limits: large, after: time.Second}, first, {after: 160 * time.Second, sends: whole, isAnswered: true}}},
		{"slow head", []limitStep{
			{limits: large, after: time.Second, sends: readRequest[0]}, {after: 16 * time.Second, sends: readRequest[1], isAnswered: true},
		}},
		{"slow head of a kept connection", []limitStep{
			{limits: large, after: time.Second},
			first,
			{after: 9 * time.Second, sends: readRequest[0]},
			{after: 16 * time.Second, sends: readRequest[1], isAnswered: true},
		}},
		{"late first byte", []limitStep{{limits: large, after: time.Second}, {after: 160 * time.Second, sends: whole, isAnswered: true}}},
		{"raised while idle", []limitStep{
			{limits: small, after: time.Second}, first, {limits: large, after: 160 * time.Second, sends: whole, isAnswered: true},
		}},
		{"lowered while idle", []limitStep{
			{limits: large, after: time.Second}, first, {limits: small, after: 160 * time.Second, sends: whole, isAnswered: true},
		}},
		{"lowered and idle after it", []limitStep{
			{limits: large, after: time.Second},
			first,
			{limits: small, after: 16 * time.Second, sends: whole, isAnswered: true},
			{after: 40 * time.Second, isClosed: true},
		}},
		{"idle for too long", []limitStep{{limits: small, after: time.Second}, first, {after: 40 * time.Second, isClosed: true}}},
		{"head for too long", []limitStep{{limits: small, after: time.Second, sends: readRequest[0]}, {after: 10 * time.Second, isClosed: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 1, func(w *testFleet) {
				c := w.dialCaller()
				for i, step := range test.steps {
					c.play(i, step)
				}
			})
		})
	}
}

// rawCaller is a caller with one connection.
type rawCaller struct {
	fleet      *testFleet
	revision   int
	connection net.Conn
	reader     *bufio.Reader
}

// dialCaller connects to the first node's port of callers.
func (w *testFleet) dialCaller() *rawCaller {
	w.t.Helper()
	connection, err := w.network.From(netip.MustParseAddr("10.9.0.1")).Dial(context.Background(), "tcp", "10.1.0.1:1")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = connection.Close() })
	return &rawCaller{fleet: w, revision: 1, connection: connection, reader: bufio.NewReader(connection)}
}

func (c *rawCaller) play(number int, step limitStep) {
	t := c.fleet.t
	if step.limits != "" {
		c.revision++
		c.fleet.configure(c.revision, func(text string) string {
			return strings.Replace(text, `"max-body-bytes":1000`, `"max-body-bytes":1000,`+step.limits, 1)
		})
	}
	c.fleet.sleep(step.after)
	if _, err := io.WriteString(c.connection, step.sends); err != nil && step.sends != "" {
		t.Errorf("step %d: the connection was closed: %v", number, err)
	}
	if step.isAnswered {
		if err := c.receive(); err != nil {
			t.Errorf("step %d: no answer: %v", number, err)
		}
	}
	if step.isClosed {
		_ = c.connection.SetReadDeadline(c.fleet.clock.Now().Add(time.Second)) // It only ends a test that has failed.
		if _, err := c.reader.ReadByte(); err != io.EOF {
			t.Errorf("step %d: the connection is open: %v", number, err)
		}
	}
}

// receive reads a whole successful answer.
func (c *rawCaller) receive() error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return err
}
