package qfusage

import (
	"time"
)

const (
	// reportAfter is how long after a window's end its counts are complete: peers have
	// told theirs by then.
	reportAfter = 1200 * time.Millisecond
	// retryEvery is the time between two tries of one window.
	retryEvery = 700 * time.Millisecond
)

// Reporter decides which windows to report, and when. It isn't safe for concurrent use.
type Reporter struct {
	counts *Counter
	within time.Duration
	// first is the first window that this reporter may know whole.
	first int64
	done  map[int64]bool
	tried map[int64]time.Time
}

// NewReporter returns a reporter for the windows that end after a time. A report is due
// within some time of its window's end.
func NewReporter(counts *Counter, since time.Time, within time.Duration) *Reporter {
	return &Reporter{
		counts: counts, within: within, first: counts.Window(since.Add(-within)),
		done: map[int64]bool{}, tried: map[int64]time.Time{},
	}
}

// NextWindow returns a window to report now.
func (r *Reporter) NextWindow(now time.Time) (window int64, ok bool) {
	last := r.counts.Window(now.Add(-reportAfter)) - 1
	for window = max(r.first, last-r.counts.keep); window <= last; window++ {
		isLate := now.Sub(r.counts.WindowEnd(window)) > r.within
		if r.done[window] || isLate || now.Sub(r.tried[window]) < retryEvery {
			continue
		}
		r.tried[window] = now
		return window, true
	}
	return 0, false
}

// MarkReported notes that a window is reported.
func (r *Reporter) MarkReported(window int64) { r.done[window] = true }
