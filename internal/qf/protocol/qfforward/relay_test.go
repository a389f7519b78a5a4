package qfforward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"quetzalfront/internal/qf"
)

// TestEventThatArrivesInSmallPartsIsBounded doesn't end in time if each part of an event costs a search of the whole event.
func TestEventThatArrivesInSmallPartsIsBounded(t *testing.T) {
	source := iotest.OneByteReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEventBytes)))
	a := &attempt{answer: &qf.EndpointResponse{Body: io.NopCloser(source)}}
	if err := (&relay{}).relayStream(a, func() {}); !errors.Is(err, errEventTooLarge) {
		t.Errorf("the stream ends with %v, want %v", err, errEventTooLarge)
	}
}

// TestEventEndsAreFoundOverParts fails if the end of an event isn't found because it arrives in two parts.
func TestEventEndsAreFoundOverParts(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3"
	for size := 1; size <= len(text); size++ {
		s, whole := &relay{}, ""
		for at := 0; at < len(text); at += size {
			s.pending = append(s.pending, text[at:min(at+size, len(text))]...)
			end := s.findEventEnd()
			whole += string(s.pending[:end])
			s.pending = append(s.pending[:0], s.pending[end:]...)
		}
		if whole != text[:strings.Index(text, "id: 3")] {
			t.Errorf("parts of %d: the whole events are %q", size, whole)
		}
	}
}
