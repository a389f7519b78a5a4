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
	return &Entry{platform: Platform{Clock: qftimer.NewWall(), Logger: zerolog.New(w)}, volume: qflog.NewLimiter()}
}

// TestLogStaysBoundedUnderLoad guards that a node under many times its load writes no more
// lines than the volume allows, and says how many it left out.
func TestLogStaysBoundedUnderLoad(t *testing.T) {
	const requests, mostLines = 5000, 1300 // Two seconds' lines and one that counts.
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
	e.tellLeftOut(t.Context())
	if w.lines != written+1 {
		t.Errorf("%d lines tell what was left out, want 1", w.lines-written)
	}
}

// BenchmarkObserve measures the line of one request, and what is left out beyond the volume.
func BenchmarkObserve(b *testing.B) {
	w := &countingWriter{}
	e := newObserver(w)
	outcome := answeredOutcome()
	for b.Loop() {
		e.observe(outcome)
	}
	b.ReportMetric(float64(w.bytes)/float64(max(w.lines, 1)), "B/line")
}

// BenchmarkObserveWritten measures the line of one request that is written.
func BenchmarkObserveWritten(b *testing.B) {
	w := &countingWriter{}
	e := newObserver(w)
	outcome := answeredOutcome()
	for b.Loop() {
		e.volume = qflog.NewLimiter()
		e.observe(outcome)
	}
	b.ReportMetric(float64(w.bytes)/float64(max(w.lines, 1)), "B/line")
}
