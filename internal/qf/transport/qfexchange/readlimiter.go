package qfexchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"quetzalfront/internal/qf"
)

// maxHeaderBytes bounds the status lines and header fields of the responses to one request.
const maxHeaderBytes = 64 << 10

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
