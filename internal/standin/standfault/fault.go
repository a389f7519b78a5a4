// Package standfault gives the stand-ins of the platform's stores the same
// faults: outages, delays, limited rates, lost answers and late writes.
package standfault

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quetzalfront/internal/qf"
)

// Faults are what is wrong with a service at present.
type Faults struct {
	// Down refuses every call without running it.
	Down bool
	// Delay is added before every call.
	Delay time.Duration
	// LoseAnswers makes the next so many writes take effect and answer Unknown.
	LoseAnswers int
	// ApplyLate makes the next so many writes answer Unknown and take effect
	// only after LateBy.
	ApplyLate int
	LateBy    time.Duration
}

// Gate stands before a service and applies its faults.
type Gate struct {
	clock  qf.Clock
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	faults Faults
	// late holds the writes that have not taken effect yet, in the order of
	// their due times.
	late []lateWrite
}

type lateWrite struct {
	due   time.Time
	apply func()
}

// NewGate returns a gate without faults that lets so many calls a second pass.
func NewGate(clock qf.Clock, readsPerSecond, writesPerSecond int) *Gate {
	return &Gate{
		clock:  clock,
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
	}
}

// SetFaults replaces the faults. Late writes stay due.
func (g *Gate) SetFaults(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
}

// AdmitRead lets a read pass or refuses it. An error means that it didn't run.
func (g *Gate) AdmitRead(ctx context.Context, step qf.Step) error {
	return g.enter(ctx, g.reads, step)
}

// AdmitWrite lets a write pass or refuses it. An error means that it didn't run
// and never will.
func (g *Gate) AdmitWrite(ctx context.Context, step qf.Step) error {
	return g.enter(ctx, g.writes, step)
}

func (g *Gate) enter(ctx context.Context, limiter *rate.Limiter, step qf.Step) error {
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

// ApplyDueWrites runs the late writes that are due. A service calls it with its own lock
// held, before each call that reads or writes its state.
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

// fate is what becomes of one write.
type fate string

const (
	fateNormal     fate = "Normal"
	fateLoseAnswer fate = "LoseAnswer"
	fateLate       fate = "Late"
)

func (g *Gate) nextFate(apply func()) fate {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.faults.ApplyLate > 0:
		g.faults.ApplyLate--
		g.addLate(lateWrite{due: g.clock.Now().Add(g.faults.LateBy), apply: apply})
		return fateLate
	case g.faults.LoseAnswers > 0:
		g.faults.LoseAnswers--
		return fateLoseAnswer
	default:
		return fateNormal
	}
}

// addLate is called with the lock held.
func (g *Gate) addLate(w lateWrite) {
	i := len(g.late)
	for i > 0 && g.late[i-1].due.After(w.due) {
		i--
	}
	g.late = append(g.late, lateWrite{})
	copy(g.late[i+1:], g.late[i:])
	g.late[i] = w
}

// RunWrite runs a write as the faults say. The service calls it with its own lock
// held; apply runs under that lock, at once or in a later call of Settle.
func RunWrite[T any](g *Gate, step qf.Step, apply func() qf.Result[T]) qf.Result[T] {
	g.ApplyDueWrites()
	lost := qf.UnknownFor[T](qf.NewError(qf.CodeBroken, step, "", "the answer was lost"))
	switch g.nextFate(func() { apply() }) {
	case fateLate:
		return lost
	case fateLoseAnswer:
		apply()
		return lost
	default:
		return apply()
	}
}
