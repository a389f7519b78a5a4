// Package standfault injects faults into the stand-ins for the platform's
// services: outages, delays, rate limits, lost responses and late writes.
package standfault

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quetzalfront/internal/qf"
)

// Faults are the faults that are injected into a service.
type Faults struct {
	// Down refuses every call without executing it.
	Down bool
	// Delay is added before every call.
	Delay time.Duration
	// LoseAnswers is the number of writes that take effect but return Unknown.
	LoseAnswers int
	// ApplyLate is the number of writes that return Unknown and take effect only
	// after LateBy.
	ApplyLate int
	LateBy    time.Duration
}

// Gate applies the rate limits and the injected faults of a service to its calls.
type Gate struct {
	clock  qf.Clock
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	faults Faults
	// late holds the writes that have not taken effect yet, ordered by due time.
	late []lateWrite
}

// lateWrite is a write that takes effect when it is due.
type lateWrite struct {
	due   time.Time
	apply func()
}

// NewGate returns a gate with these rate limits and without faults.
func NewGate(clock qf.Clock, readsPerSecond, writesPerSecond int) *Gate {
	return &Gate{
		clock:  clock,
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
	}
}

// SetFaults replaces the injected faults. Late writes remain due.
func (g *Gate) SetFaults(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
}

// AdmitRead admits or refuses a read. An error means that it must not be executed.
func (g *Gate) AdmitRead(ctx context.Context, step qf.Step) error {
	return g.admit(ctx, g.reads, step)
}

// AdmitWrite admits or refuses a write. An error means that it has not taken
// effect and never will.
func (g *Gate) AdmitWrite(ctx context.Context, step qf.Step) error {
	return g.admit(ctx, g.writes, step)
}

// admit delays a call and checks it against the injected outage and the rate limit.
func (g *Gate) admit(ctx context.Context, limiter *rate.Limiter, step qf.Step) error {
	g.mu.Lock()
	faults := g.faults
	g.mu.Unlock()
	if faults.Delay > 0 {
		s := g.clock.After(faults.Delay)
		defer s.Stop()
		select {
		case <-s.C():
		case <-ctx.Done():
			return qf.NewError(qf.CodeUnavailable, step, "", "timed out before the call ran")
		}
	}
	if faults.Down {
		return qf.NewError(qf.CodeUnavailable, step, "", "the service is down")
	}
	if !limiter.AllowN(g.clock.Now(), 1) {
		err := qf.NewError(qf.CodeLimited, step, "", "over the service's rate")
		err.RetryAfter = time.Second
		return err
	}
	return nil
}

// ApplyDueWrites applies the late writes that are due. A service calls it with its
// own lock held, before each call that reads or writes its state.
func (g *Gate) ApplyDueWrites() {
	now := g.clock.Now()
	for {
		g.mu.Lock()
		if len(g.late) == 0 || g.late[0].due.After(now) {
			g.mu.Unlock()
			return
		}
		next := g.late[0]
		g.late = g.late[1:]
		g.mu.Unlock()
		next.apply()
	}
}

// writeMode is how one write is executed.
type writeMode string

const (
	writeNormal     writeMode = "Normal"
	writeLoseAnswer writeMode = "LoseAnswer"
	writeLate       writeMode = "Late"
)

// nextWriteMode returns how to execute the next write. A late write is scheduled.
func (g *Gate) nextWriteMode(apply func()) writeMode {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.faults.ApplyLate > 0:
		g.faults.ApplyLate--
		g.scheduleLateWrite(lateWrite{due: g.clock.Now().Add(g.faults.LateBy), apply: apply})
		return writeLate
	case g.faults.LoseAnswers > 0:
		g.faults.LoseAnswers--
		return writeLoseAnswer
	default:
		return writeNormal
	}
}

// scheduleLateWrite inserts a write by its due time. The caller holds g.mu.
func (g *Gate) scheduleLateWrite(w lateWrite) {
	i := len(g.late)
	for i > 0 && g.late[i-1].due.After(w.due) {
		i--
	}
	g.late = append(g.late, lateWrite{})
	copy(g.late[i+1:], g.late[i:])
	g.late[i] = w
}

// RunWrite executes a write, subject to the injected faults. The service calls it
// with its own lock held; apply runs under that lock, at once or in a later call of
// ApplyDueWrites.
func RunWrite[T any](g *Gate, step qf.Step, apply func() qf.Result[T]) qf.Result[T] {
	g.ApplyDueWrites()
	lost := qf.UnknownFor[T](qf.NewError(qf.CodeBroken, step, "", "the answer was lost"))
	switch g.nextWriteMode(func() { apply() }) {
	case writeLate:
		return lost
	case writeLoseAnswer:
		apply()
		return lost
	default:
		return apply()
	}
}
