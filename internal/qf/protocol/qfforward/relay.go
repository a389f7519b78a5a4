package qfforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

const (
	// pieceBytes is the size of one reading of a stream.
	pieceBytes = 4 << 10
	// maxEventBytes bounds an event that isn't complete yet.
	maxEventBytes = 1 << 20
)

// relay passes the events of a stream on as they come, over all attempts. Only whole
// events are passed, so that another endpoint can go on after the last one.
type relay struct {
	call *call
	// begun is true once the caller got the header.
	begun bool
	// lastEvent is the identifier of the last event that was passed on.
	lastEvent string
	// tokens estimates the length of the answer so far.
	tokens  int
	pending []byte
}

var errEventTooLarge = errors.New("an event is too large")

// take passes on the stream of one attempt. A nil error means that the stream is
// complete.
func (s *relay) take(a *attempt, watch func()) error {
	defer watch()
	s.pending = s.pending[:0]
	piece := make([]byte, pieceBytes)
	for {
		n, err := a.answer.Body.Read(piece)
		s.pending = append(s.pending, piece[:n]...)
		if passErr := s.pass(a, watch); passErr != nil {
			return passErr
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.end(a)
		case err != nil:
			return err
		case len(s.pending) > maxEventBytes:
			return errEventTooLarge
		}
	}
}

// pass writes the whole events that are pending.
func (s *relay) pass(a *attempt, watch func()) error {
	end := lastEventEnd(s.pending)
	if end == 0 {
		return nil
	}
	watch()
	whole := s.pending[:end]
	s.begin(a)
	if _, err := s.call.writer.Write(whole); err != nil {
		return err
	}
	if err := http.NewResponseController(s.call.writer).Flush(); err != nil {
		return err
	}
	s.note(whole)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// begin sends the header of the first attempt that has an event.
func (s *relay) begin(a *attempt) {
	if s.begun {
		return
	}
	s.begun = true
	s.call.began(a)
	s.call.writeHeader(a.answer)
}

// end completes the stream. A part of an event at its end shows that the endpoint
// broke off, whatever the framing says.
func (s *relay) end(a *attempt) error {
	if len(bytes.TrimSpace(s.pending)) > 0 {
		return io.ErrUnexpectedEOF
	}
	s.begin(a)
	return nil
}

// note remembers the last event's identifier.
func (s *relay) note(events []byte) {
	const field = "id:"
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, []byte(field)); ok {
			s.lastEvent = strings.TrimSpace(string(rest))
			s.tokens++
		}
	}
}

// lastEventEnd is the length up to the end of the last whole event.
func lastEventEnd(data []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(data, []byte(mark)); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}
