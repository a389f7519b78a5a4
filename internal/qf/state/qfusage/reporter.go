package qfusage

import (
	"time"
)

const (
	// reportAfter is the time after a window's end by which all peers have sent their
	// counts.
	reportAfter = 2400 * time.Millisecond
	// retryEvery is the time between two attempts to report one window.
	retryEvery = 700 * time.Millisecond
)

// Reporter decides which windows to report, and when. It isn't safe for concurrent use.
type Reporter struct {
	counts *Counter
	// maxDelay is how long after its end a window may still be reported.
	maxDelay time.Duration
	// first is the first window whose counts may be complete here.
	first       int64
	done        map[int64]bool
	attemptedAt map[int64]time.Time
}

// NewReporter returns a reporter for the windows that may still be reported at the time
// since. Windows that ended more than maxDelay ago are no longer reported.
func NewReporter(counts *Counter, since time.Time, maxDelay time.Duration) *Reporter {
	return &Reporter{
		counts: counts, maxDelay: maxDelay, first: counts.Window(since.Add(-maxDelay)),
		done: map[int64]bool{}, attemptedAt: map[int64]time.Time{},
	}
}

// NextWindow returns a window to report now, if there is one.
func (r *Reporter) NextWindow(now time.Time) (window int64, ok bool) {
	last := r.counts.Window(now.Add(-reportAfter)) - 1
	for window = max(r.first, last-r.counts.keep); window <= last; window++ {
		isOverdue := now.Sub(r.counts.WindowEnd(window)) > r.maxDelay
		if r.done[window] || isOverdue || now.Sub(r.attemptedAt[window]) < retryEvery {
			continue
		}
		r.attemptedAt[window] = now
		return window, true
	}
	return 0, false
}

// MarkReported records that a window was reported.
func (r *Reporter) MarkReported(window int64) { r.done[window] = true }
