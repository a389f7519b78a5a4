package qfforward

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
)

// TestPanicIsAnswered fails if a request in whose handling the node panics gets no answer, an answer that says that it didn't run, or no line in the log.
func TestPanicIsAnswered(t *testing.T) {
	tests := []struct {
		name string
		// status is that of the answer that had begun, or 0.
		status    int
		wantAbort bool
	}{
		{"before an answer", 0, false},
		{"in an answer", http.StatusOK, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var observed []Outcome
			f := New(Ports{
				Clock: qftimer.NewWall(), Protocol: silentProtocol{}, Callers: cutCaller(false), ServesUntil: func() time.Time { return time.Time{} },
				Observe: func(o *Outcome) { observed = append(observed, *o) },
			})
			answer := httptest.NewRecorder()
			c := &call{forwarder: f, writer: answer, incoming: httptest.NewRequest(http.MethodPost, "/", http.NoBody)}
			c.outcome.Status = tt.status
			aborted := runPanicking(c)
			if aborted != tt.wantAbort {
				t.Errorf("aborted: %v, want %v", aborted, tt.wantAbort)
			}
			if !tt.wantAbort && answer.Code != http.StatusBadGateway {
				t.Errorf("answered %d", answer.Code)
			}
			if len(observed) != 1 || observed[0].Err == nil || !strings.Contains(observed[0].Err.Error(), "panic: broken") {
				t.Errorf("observed %+v", observed)
			}
		})
	}
}

// runPanicking ends a call by a panic, and reports whether its connection is to be aborted.
func runPanicking(c *call) (aborted bool) {
	defer func() {
		err, _ := recover().(error)
		aborted = errors.Is(err, http.ErrAbortHandler)
	}()
	defer c.recoverPanic()
	panic("broken")
}

// silentProtocol adds no header to refusals.
type silentProtocol struct{ qf.CallerProtocol }

// SetRefusalHeader implements qf.CallerProtocol.
func (silentProtocol) SetRefusalHeader(http.Header, qf.RequestID, time.Duration) {}
