package qfforward

import (
	"errors"
	"io"

	"quetzalfront/internal/qf"
)

const (
	// readBytes is the first size of a buffer.
	readBytes = 4 << 10
	// keptBytes is the size up to which a buffer is kept once most of its bytes were forwarded.
	keptBytes = 16 << 10
)

// heldBuffer holds bytes of an answer. It grows only while there is room beside other answers.
type heldBuffer struct {
	data []byte
	room qf.AnswerRoom
}

// errBufferFull is the error for more bytes than a buffer may hold.
var errBufferFull = errors.New("a part of the answer is too large")

// grow makes place for at least one more byte.
func (b *heldBuffer) grow(most int) error {
	size := min(max(2*cap(b.data), readBytes), most)
	switch {
	case len(b.data) < cap(b.data):
		return nil
	case size <= cap(b.data):
		return errBufferFull
	case !b.resize(size):
		return qf.ErrNoAnswerRoom
	default:
		return nil
	}
}

// resize moves the bytes to a buffer of another size.
func (b *heldBuffer) resize(size int) bool {
	if !b.room.Resize(int64(size)) {
		return false
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// readFrom reads once, into the place that there is.
func (b *heldBuffer) readFrom(source io.Reader) (int, error) {
	n, err := source.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return n, err
}

// fill reads until the source ends, which is io.EOF, or until the buffer can't grow.
func (b *heldBuffer) fill(source io.Reader, most int) error {
	for b.grow(most) == nil {
		if _, err := b.readFrom(source); err != nil {
			return err
		}
	}
	return nil
}

// discard removes the first bytes.
func (b *heldBuffer) discard(first int) {
	b.data = append(b.data[:0], b.data[first:]...)
	if cap(b.data) > keptBytes && len(b.data) < readBytes {
		b.resize(readBytes)
	}
}

// drop removes all bytes.
func (b *heldBuffer) drop() {
	b.data = nil
	b.room.Resize(0)
}
