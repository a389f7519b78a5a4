package qfexchange

import (
	"errors"
	"io"
)

// responseBody is a response's body. It returns the connection to the pool at its end.
type responseBody struct {
	connection *connection
	source     io.ReadCloser
	// stop detaches the connection from the request's context.
	stop func() bool
	done bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish()
	}
	return n, err
}

// finish returns the connection to the pool if it is in a clean state, and closes it
// otherwise.
func (b *responseBody) finish() {
	b.done = true
	c := b.connection
	if !b.stop() || !c.isReusable || c.reader.Buffered() > 0 || !c.isFullyWritten() {
		c.abort()
		return
	}
	c.client.putIdle(c)
}

// Close implements io.Closer. Before the end of the body it aborts the exchange.
func (b *responseBody) Close() error {
	if !b.done {
		b.done = true
		b.stop()
		b.connection.abort()
	}
	return nil
}
