package qfforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qftest"
)

// TestAnswerThatHasBegunIsNotCancelled fails if an attempt is cancelled for its late first byte after its answer has begun to go to the caller, since the
// timer has fired on a node that comes late to both.
func TestAnswerThatHasBegunIsNotCancelled(t *testing.T) {
	c := &call{forwarder: New(Ports{Clock: qftest.FiredClock{Clock: qftimer.NewWall()}})}
	for range 200 { // The timer's goroutine sees both events and takes either.
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			watch := c.cancelAfter(time.Second, cancel)
			hasBegun := watch.stop()
			synctest.Wait()
			if hasBegun && ctx.Err() != nil {
				t.Error("the attempt was cancelled after its answer had begun")
			}
			if !hasBegun && (ctx.Err() == nil || watch.stop()) {
				t.Error("an attempt that is to be cancelled goes on")
			}
			cancel(nil)
		})
	}
}

// lateClock is the clock of a node that comes late to each time: once a time has passed, it is held up for a while.
type lateClock struct {
	qf.Clock
	lateness time.Duration
}

// After implements qf.Clock.
func (c lateClock) After(delay time.Duration) qf.Subscription {
	return c.Clock.After(delay + c.lateness)
}

// TestLateNodeReadsFirstByteBeforeItCancels fails if a node that was held up while an endpoint began its answer cancels the attempt before it gets to
// read what has come, or waits for a silent endpoint without end.
func TestLateNodeReadsFirstByteBeforeItCancels(t *testing.T) {
	const (
		timeout  = 300 * time.Millisecond
		lateness = 48 * time.Millisecond
	)
	tests := []struct {
		name     string
		lateness time.Duration
		// readAfter is when the node reads the first byte, after the end of the hold-up.
		readAfter     time.Duration
		wantCancelled bool
	}{
		{"read at once", lateness, time.Microsecond, false},
		{"read after what else was held up", lateness, lateness / 2, false},
		{"silent", lateness, time.Minute, true},
		{"silent, not held up", 0, time.Millisecond, true},
		{"silent, held up for long", time.Minute, 2 * time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := qftimer.NewWall()
				c := &call{forwarder: New(Ports{Clock: lateClock{clock, tt.lateness}})}
				ctx, cancel := context.WithCancelCause(context.Background())
				watch := c.cancelAfter(timeout, cancel)
				<-clock.After(timeout + tt.lateness + tt.readAfter).C()
				synctest.Wait()
				if isCancelled := !watch.stop(); isCancelled != tt.wantCancelled || (ctx.Err() != nil) != isCancelled {
					t.Errorf("cancelled: %t (%v), want %t", isCancelled, context.Cause(ctx), tt.wantCancelled)
				}
				cancel(nil)
			})
		})
	}
}

// TestCancelledAttemptDeliversNothing fails if the caller gets a part of an answer whose attempt was cancelled for its late first byte.
func TestCancelledAttemptDeliversNothing(t *testing.T) {
	answer := func(body string) *attempt {
		return &attempt{end: qf.AttemptAnswered, peer: "node", answer: &qf.EndpointResponse{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}}
	}
	tests := []struct {
		name string
		read func(c *call, watch *firstByteWatch) error
	}{
		{"a large answer", func(c *call, watch *firstByteWatch) error {
			c.buffered = newHeldBuffer()
			return c.read(answer(strings.Repeat("x", bufferBytes+1)), watch)
		}},
		{"a stream", func(c *call, watch *firstByteWatch) error {
			return (&relay{call: c, pending: newHeldBuffer()}).relayStream(answer("id: 1\ndata: x\n\n"), watch)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			writer := httptest.NewRecorder()
			c := &call{forwarder: New(Ports{Clock: qftimer.NewWall()}), writer: writer}
			watch := &firstByteWatch{}
			watch.expire()
			if err := tt.read(c, watch); !errors.Is(err, errFirstByteTimeout) {
				t.Errorf("the attempt ends with %v", err)
			}
			if writer.Body.Len() > 0 {
				t.Errorf("the caller got %d bytes", writer.Body.Len())
			}
		})
	}
}
