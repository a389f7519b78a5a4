package qfrpc

import (
	"context"
	"net/rpc"
	"testing"
	"time"

	"quetzalfront/internal/qftest"
)

// TestReplyThatHasComeIsNoTimeout fails if a node that comes late to a peer's reply and to the end of its call's time takes the call for one that got no reply.
func TestReplyThatHasComeIsNoTimeout(t *testing.T) {
	ended, end := context.WithCancel(t.Context())
	end()
	tests := []struct {
		name string
		ctx  context.Context
	}{
		{"timeout", t.Context()},
		{"end of the context", ended},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 200 { // Both events have come; a select takes either.
				call := &rpc.Call{Done: make(chan *rpc.Call, 1)}
				call.Done <- call
				if isDone, err := (&Client{clock: qftest.FiredClock{}}).await(tt.ctx, call, time.Second); !isDone || err != nil {
					t.Fatalf("await: %t, %v, want true, nil", isDone, err)
				}
			}
		})
	}
}
