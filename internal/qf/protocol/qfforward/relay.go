package qfforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

const (
	// maxEventBytes bounds an event that isn't complete yet, so that a stream without
	// event ends can't fill the memory.
	maxEventBytes = 1 << 20
)

// relay forwards the events of a stream to the caller as they arrive, over all attempts.
// It forwards complete events only, so that another endpoint can continue after the last
// one.
type relay struct {
	call *call
	// headerSent is true once the header was sent to the caller.
	headerSent bool
	// lastEvent is the identifier of the last event that was forwarded.
	lastEvent string
	// tokens estimates the length of the answer so far.
	tokens int
	// pending is what was read and not forwarded, searched the number of its first bytes that hold no end of an event.
	pending  heldBuffer
	searched int
	// stream is the present attempt in the table of streams.
	stream *stream
}

// relayStream forwards the stream of one attempt. A nil error means that the stream is
// complete.
func (s *relay) relayStream(a *attempt, watch *qftimer.Alarm) error {
	defer watch.Stop()
	s.searched = 0
	defer s.pending.drop()
	for {
		if err := s.pending.grow(maxEventBytes); err != nil {
			return err
		}
		n, err := s.pending.readFrom(a.answer.Body)
		if n > 0 && a.watch != nil {
			a.watch.RecordBytes(s.call.forwarder.ports.Clock.Now())
		}
		if writeErr := s.relayEvents(a, watch); writeErr != nil {
			return writeErr
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.endStream(a)
		case err != nil:
			return err
		}
	}
}

// relayEvents writes the complete events that are pending.
func (s *relay) relayEvents(a *attempt, watch *qftimer.Alarm) error {
	end := s.findEventEnd()
	if end == 0 {
		return nil
	}
	if !watch.Stop() {
		return errFirstByteTimeout // The rest of the answer won't come.
	}
	whole := s.pending.data[:end]
	s.sendHeader(a)
	if _, err := s.call.writer.Write(whole); err != nil {
		return errors.Join(qf.ErrCallerLeft, err)
	}
	if err := http.NewResponseController(s.call.writer).Flush(); err != nil {
		return errors.Join(qf.ErrCallerLeft, err)
	}
	s.recordEvents(a, whole)
	if a.peer == "" {
		s.recordAnswer(a)
		if s.lastEvent != "" {
			s.stream.hasEvents.Store(true)
		}
	}
	s.pending.discard(end)
	return nil
}

const (
	// soundAfter is how long an answer goes on after its first event until it shows that the
	// request doesn't crash the endpoint.
	soundAfter = 500 * time.Millisecond
	// recordAnswerInterval is the time between two records that an answer goes on.
	recordAnswerInterval = time.Second
)

// recordAnswer records that an answer goes on, so that nothing in the request is suspected, and
// slow versions show, while long answers are written.
func (s *relay) recordAnswer(a *attempt) {
	now := s.call.forwarder.ports.Clock.Now()
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
	}
	if now.Sub(a.firstEventAt) < soundAfter || now.Sub(a.answerRecordedAt) < recordAnswerInterval {
		return
	}
	a.answerRecordedAt = now
	ports := &s.call.forwarder.ports
	ports.PoisonFilter.RecordAnswer(now, s.call.content(), &a.picked.Endpoint)
	ports.Picker.RecordProgress(now, &a.picked)
}

// sendHeader sends the header of the first attempt that has an event.
func (s *relay) sendHeader(a *attempt) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.call.recordFirstByte(a)
	s.call.writeHeader(a.answer)
}

// endStream completes the stream. A partial event at its end proves that the endpoint
// stopped early, even if the HTTP framing is complete.
func (s *relay) endStream(a *attempt) error {
	if len(bytes.TrimSpace(s.pending.data)) > 0 {
		return io.ErrUnexpectedEOF
	}
	s.sendHeader(a)
	return nil
}

// recordEvents counts the events that have an identifier and records the last one.
func (s *relay) recordEvents(a *attempt, events []byte) {
	const field = "id:"
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, []byte(field)); ok {
			s.lastEvent = strings.TrimSpace(string(rest))
			s.tokens++
			a.picked.Events++
		}
	}
}

// findEventEnd returns the offset of the end of the last complete event that is pending, or 0. What was searched before isn't
// searched again, but for the bytes that may begin the separator.
func (s *relay) findEventEnd() int {
	const overlap = len("\r\n\r\n") - 1
	from := max(s.searched-overlap, 0)
	end := lastEventEnd(s.pending.data[from:])
	if end > 0 {
		end += from
	}
	s.searched = len(s.pending.data) - end
	return end
}

// lastEventEnd returns the offset of the end of the last complete event, or 0.
func lastEventEnd(data []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(data, []byte(separator)); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}
