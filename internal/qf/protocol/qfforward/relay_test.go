package qfforward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfresponse"
	"quetzalfront/internal/qf/state/qftimer"
)

// TestEventThatArrivesInSmallPartsIsBounded doesn't end in time if each part of an event costs a search of the whole event.
func TestEventThatArrivesInSmallPartsIsBounded(t *testing.T) {
	source := iotest.OneByteReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEventBytes)))
	a := &attempt{answer: &qf.EndpointResponse{Body: io.NopCloser(source)}}
	if err := (&relay{pending: newHeldBuffer()}).relayStream(a, &qftimer.Alarm{}); !errors.Is(err, errBufferFull) {
		t.Errorf("the stream ends with %v, want %v", err, errBufferFull)
	}
}

func newHeldBuffer() heldBuffer {
	return heldBuffer{room: qfresponse.NewBudget(0).Open().NewPart()}
}

// TestEventEndsAreFoundOverParts fails if the end of an event isn't found because it arrives in two parts.
func TestEventEndsAreFoundOverParts(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3"
	for size := 1; size <= len(text); size++ {
		s, whole := &relay{pending: newHeldBuffer()}, ""
		for at := 0; at < len(text); at += size {
			s.pending.data = append(s.pending.data, text[at:min(at+size, len(text))]...)
			end := s.findEventEnd()
			whole += string(s.pending.data[:end])
			s.pending.discard(end)
		}
		if whole != text[:strings.Index(text, "id: 3")] {
			t.Errorf("parts of %d: the whole events are %q", size, whole)
		}
	}
}
