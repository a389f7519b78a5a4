package qftest

import (
	"net/http"
	"net/netip"
	"testing"

	"quetzalfront/internal/standin/standsocket"
)

// UnsoundHead is the head of a response that HTTP doesn't allow, although net/http reads it.
type UnsoundHead struct {
	Name string
	// status is the status line's text after the version, and line a further field.
	status, line string
}

// UnsoundHeads returns heads whose status isn't a final one of HTTP, and heads with a field whose name holds a blank.
func UnsoundHeads() []UnsoundHead {
	return []UnsoundHead{
		{"status 000", "000 None", "X-A: b"},
		{"status 099", "099 None", "X-A: b"},
		{"status 101", "101 Switching Protocols", "X-A: b"},
		{"status 600", "600 None", "X-A: b"},
		{"status 999", "999 None", "X-A: b"},
		{"blank in a name", "200 OK", "X-A B: c"},
		{"blank after a name", "200 OK", "X-A : c"},
		{"blank after the name of the length", "200 OK", "Content-Length : 2"},
		{"blank after the name of the encoding", "200 OK", "Transfer-Encoding : chunked"},
	}
}

// Response returns a response with the head, and with header fields that each have their line end.
func (h *UnsoundHead) Response(fields, body string) string {
	return "HTTP/1.1 " + h.status + "\r\n" + fields + h.line + "\r\n\r\n" + body
}

// Start starts a server that sends the response to each request and then ends its side of the connection.
func (h *UnsoundHead) Start(t *testing.T, fields, body string) netip.AddrPort {
	t.Helper()
	return StartSocket(t, &standsocket.Server{
		Answer: func(*http.Request) string { return h.Response(fields, body) }, Ending: standsocket.EndsAndReads,
	})
}
