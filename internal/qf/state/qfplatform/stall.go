package qfplatform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

const (
	// stallTimeout is the time between two checks that a body is arriving. It is longer than TCP's retransmission timeout
	// after two losses in a row.
	stallTimeout = time.Second
	maxReadBytes = 16 * 1024
	// maxCallDuration bounds a call whose body keeps arriving.
	maxCallDuration = 15 * time.Second
)

// errStalled is the cause of a cancelled call whose answer didn't begin or paused for too long.
var errStalled = errors.New("timeout: the answer didn't begin, or it paused for too long")

// answerTimeoutKey is the context key of the timeout set by WithAnswerTimeout.
type answerTimeoutKey struct{}

// WithAnswerTimeout sets how long a call waits for the beginning of its answer, in place of the
// client's timeout.
func WithAnswerTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, answerTimeoutKey{}, timeout)
}

// stallTransport limits the time until an answer begins and the pauses of its body, but not the
// time that a large body takes: a call that is cut off and repeated on a slow link would never
// end.
type stallTransport struct {
	base  http.RoundTripper
	clock qf.Clock
	// timeout bounds the time until the answer begins.
	timeout time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t *stallTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	timeout, isSet := request.Context().Value(answerTimeoutKey{}).(time.Duration)
	if !isSet {
		timeout = t.timeout
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	body := &stallBody{clock: t.clock, cancel: cancel}
	alarm := qftimer.NewAlarm(t.clock, timeout, func() { cancel(errStalled) })
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	isInTime := alarm.Stop()
	if err == nil && !isInTime {
		err = errStalled          // The body won't come.
		_ = response.Body.Close() // The call has failed either way.
	}
	if err != nil {
		return nil, body.fail(ctx, err)
	}
	go body.watch(ctx)
	body.ReadCloser, body.ctx = response.Body, ctx
	response.Body = body
	return response, nil
}

// stallBody is a body whose pauses are limited.
type stallBody struct {
	io.ReadCloser
	clock  qf.Clock
	ctx    context.Context //nolint:containedctx // It is that of the call whose body this is.
	cancel context.CancelCauseFunc
	// reads counts the reads that returned data.
	reads atomic.Uint64
}

// watch cancels the call when nothing of its body has arrived for too long.
func (b *stallBody) watch(ctx context.Context) {
	checks := b.clock.Every(stallTimeout)
	defer checks.Stop()
	for before := b.reads.Load(); ; {
		select {
		case <-ctx.Done():
			return
		case <-checks.C():
		}
		now := b.reads.Load()
		if now == before {
			b.cancel(errStalled)
			return
		}
		before = now
	}
}

// fail ends the call and adds the cause to its error.
func (b *stallBody) fail(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) && !errors.Is(err, errStalled) {
		err = errors.Join(cause, err)
	}
	b.cancel(nil)
	return err
}

// Read implements io.Reader. It reads little at once, because a read of a chunked body returns
// only when the buffer is full.
func (b *stallBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		b.reads.Add(1)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.fail(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *stallBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
