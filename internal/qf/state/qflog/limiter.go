// Package qflog limits the number of log lines that a node writes for requests.
package qflog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Class is the importance of a log line about a request.
type Class string

// The classes of lines.
const (
	// ClassPlain lines are of requests that were answered at once by one endpoint.
	ClassPlain Class = "Plain"
	// ClassNotable lines are of requests that were refused, failed or were repeated.
	ClassNotable Class = "Notable"
)

const (
	// plainPerSecond is three times the requests that each of 640 nodes receives of 41,000
	// requests a second.
	plainPerSecond = 200
	// notablePerSecond is higher, because these lines show the causes of failures.
	notablePerSecond = 400
)

// Dropped counts the lines that were not written.
type Dropped struct {
	Plain, Notable int
}

// Any reports whether any line was dropped.
func (l Dropped) Any() bool { return l.Plain+l.Notable > 0 }

// Limiter limits the request lines per second. It is safe for concurrent use.
type Limiter struct {
	plain, notable *rate.Limiter

	mu sync.Mutex
	// dropped counts the lines dropped since the last call of TakeDropped.
	dropped Dropped
}

// NewLimiter returns a limiter that has dropped no lines.
func NewLimiter() *Limiter {
	return &Limiter{
		plain:   rate.NewLimiter(plainPerSecond, plainPerSecond),
		notable: rate.NewLimiter(notablePerSecond, notablePerSecond),
	}
}

// Allow reports whether a line may be written, and counts it as dropped otherwise. Notable
// lines use the rate of plain ones once their own is exhausted.
func (l *Limiter) Allow(now time.Time, class Class) bool {
	if class == ClassNotable && l.notable.AllowN(now, 1) || l.plain.AllowN(now, 1) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if class == ClassNotable {
		l.dropped.Notable++
	} else {
		l.dropped.Plain++
	}
	return false
}

// TakeDropped returns the number of lines dropped since the last call.
func (l *Limiter) TakeDropped() Dropped {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := l.dropped
	l.dropped = Dropped{}
	return dropped
}
