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
			hasBegun := watch.Stop()
			synctest.Wait()
			if hasBegun && ctx.Err() != nil {
				t.Error("the attempt was cancelled after its answer had begun")
			}
			if !hasBegun && (ctx.Err() == nil || watch.Stop()) {
				t.Error("an attempt that is to be cancelled goes on")
			}
			cancel(nil)
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
		read func(c *call, watch *qftimer.Alarm) error
	}{
		{"a large answer", func(c *call, watch *qftimer.Alarm) error {
			c.buffered = newHeldBuffer()
			return c.read(answer(strings.Repeat("x", bufferBytes+1)), watch)
		}},
		{"a stream", func(c *call, watch *qftimer.Alarm) error {
			return (&relay{call: c, pending: newHeldBuffer()}).relayStream(answer("id: 1\ndata: x\n\n"), watch)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			writer := httptest.NewRecorder()
			c := &call{forwarder: New(Ports{Clock: qftimer.NewWall()}), writer: writer}
			isOver := make(chan struct{})
			watch := qftimer.NewAlarm(qftest.FiredClock{Clock: qftimer.NewWall()}, time.Second, func() { close(isOver) })
			<-isOver
			if err := tt.read(c, watch); !errors.Is(err, errFirstByteTimeout) {
				t.Errorf("the attempt ends with %v", err)
			}
			if writer.Body.Len() > 0 {
				t.Errorf("the caller got %d bytes", writer.Body.Len())
			}
		})
	}
}
