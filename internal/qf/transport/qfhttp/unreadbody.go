package qfhttp

import (
	"errors"
	"io"
	"net/http"
	"strings"
)

// leftBodyBytes is how much of a body that the handler has left is read before the answer, as net/http does.
const leftBodyBytes = 256 << 10

// keepAnswer keeps the answer from being lost where the handler has left a part of the body: a connection that is closed with unread bytes is reset,
// and its caller may find the reset before the answer. net/http sees to it only where the request leaves the connection open.
func (c *budgetedConn) keepAnswer(w http.ResponseWriter, r *http.Request, body io.Reader) {
	if !r.Close || connPhase(c.phase.Load()) != phaseBody {
		return
	}
	mayRead := r.ContentLength <= leftBodyBytes && r.Header.Get("Expect") == "" // A read would ask for a body that is expected to be refused.
	if mayRead {
		_, err := io.CopyN(io.Discard, body, leftBodyBytes)
		if errors.Is(err, io.EOF) {
			return
		}
	}
	lingerAfterAnswer(w)
}

// lingerAfterAnswer makes net/http end its side after the answer and wait a moment before it closes the connection, as it does after a body over its
// limit.
func lingerAfterAnswer(w http.ResponseWriter) {
	over := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("over")), 0)
	_, _ = over.Read(make([]byte, 1)) // It always reports that the body is over the limit.
}
