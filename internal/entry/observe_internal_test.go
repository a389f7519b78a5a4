package entry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfforward"
	"quetzalfront/internal/qf/state/qflog"
	"quetzalfront/internal/qf/state/qftimer"
)

// countingWriter counts what a logger writes.
type countingWriter struct{ lines, bytes int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.lines++
	w.bytes += len(p)
	return len(p), nil
}

func answeredOutcome() *qfforward.Outcome {
	return &qfforward.Outcome{
		Request: "3fbb7b1c0c8a2d41", Route: "r-gpcdjdc", Organisation: "gofi970", Revision: 103, Status: 200,
		First: 241 * time.Millisecond, Took: 1812 * time.Millisecond,
		Attempts: []qfforward.AttemptReport{{
			Endpoint: "i-b27b865dd9", Version: "v1", Rule: "LeastPredictedTimeAndCost", End: qf.AttemptAnswered, Status: 200,
			Took: 1812 * time.Millisecond, Next: "Done",
		}},
	}
}

func newObserver(w *countingWriter) *Entry {
	return &Entry{platform: Platform{Clock: qftimer.NewWall(), Logger: zerolog.New(w)}, logLimiter: qflog.NewLimiter()}
}

// TestLogStaysBoundedUnderLoad fails if an overloaded node writes more lines than its limiter
// allows, or doesn't log how many it dropped.
func TestLogStaysBoundedUnderLoad(t *testing.T) {
	const requests, mostLines = 5000, 1300 // The lines of two seconds and the line with the count.
	w := &countingWriter{}
	e := newObserver(w)
	outcome := answeredOutcome()
	for range requests {
		e.observe(outcome)
	}
	written := w.lines
	if written > mostLines {
		t.Errorf("%d lines, want at most %d", written, mostLines)
	}
	e.logDropped(t.Context())
	if w.lines != written+1 {
		t.Errorf("%d lines report the dropped lines, want 1", w.lines-written)
	}
}

// BenchmarkObserve measures logging of a request, with dropped lines beyond the limit.
func BenchmarkObserve(b *testing.B) {
	w := &countingWriter{}
	e := newObserver(w)
	outcome := answeredOutcome()
	for b.Loop() {
		e.observe(outcome)
	}
	b.ReportMetric(float64(w.bytes)/float64(max(w.lines, 1)), "B/line")
}

// BenchmarkObserveWritten measures logging of a request whose line is written.
func BenchmarkObserveWritten(b *testing.B) {
	w := &countingWriter{}
	e := newObserver(w)
	outcome := answeredOutcome()
	for b.Loop() {
		e.logLimiter = qflog.NewLimiter()
		e.observe(outcome)
	}
	b.ReportMetric(float64(w.bytes)/float64(max(w.lines, 1)), "B/line")
}
