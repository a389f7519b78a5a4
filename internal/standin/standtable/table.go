// Package standtable is a small stand-in for the platform's table service: rows
// in memory, conditional transactions, limited rates and faults on request.
package standtable

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quetzalfront/internal/qf"
)

// The rates that the platform's page states.
const (
	WritesPerSecond = 500
	ReadsPerSecond  = 2000
)

// Faults are what is wrong with the service at present.
type Faults struct {
	// Down refuses every call without running it.
	Down bool
	// Delay is added before every call.
	Delay time.Duration
	// LoseAnswers makes the next so many commits take effect and answer Unknown.
	LoseAnswers int
	// ApplyLate makes the next so many commits answer Unknown and take effect
	// only after LateBy.
	ApplyLate int
	LateBy    time.Duration
}

// Table is the table service. It implements qf.Table.
type Table struct {
	timer  qf.Timer
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	rows   map[string]qf.Row
	faults Faults
	// reads and commits count the calls that ran.
	readCount, commitCount int
}

// New returns an empty table.
func New(timer qf.Timer) *Table {
	return &Table{
		timer:  timer,
		writes: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		rows:   map[string]qf.Row{},
	}
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Counts returns how many reads and commits ran.
func (t *Table) Counts() (reads, commits int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readCount, t.commitCount
}

// Read implements qf.Table.
func (t *Table) Read(ctx context.Context, key string) (qf.Row, error) {
	if err := t.enter(ctx, t.reads, qf.StepTableRead); err != nil {
		return qf.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readCount++
	row, ok := t.rows[key]
	if !ok {
		return qf.Row{}, qf.NewError(qf.CodeNotFound, qf.StepTableRead, "", key)
	}
	return row, nil
}

// Scan implements qf.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]qf.Row, error) {
	if err := t.enter(ctx, t.reads, qf.StepTableRead); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readCount++
	var rows []qf.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements qf.Table.
func (t *Table) Commit(ctx context.Context, transaction qf.Transaction) qf.Result[qf.Committed] {
	if err := t.enter(ctx, t.writes, qf.StepTableCommit); err != nil {
		return qf.NotDoneFor[qf.Committed](err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.ApplyLate > 0 {
		t.faults.ApplyLate--
		go t.applyLate(t.timer.After(t.faults.LateBy), transaction)
		return qf.UnknownFor[qf.Committed](lostAnswer())
	}
	result := t.apply(transaction)
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return qf.UnknownFor[qf.Committed](lostAnswer())
	}
	return result
}

func lostAnswer() error {
	return qf.NewError(qf.CodeBroken, qf.StepTableCommit, "", "the answer was lost")
}

func (t *Table) applyLate(due qf.Subscription, transaction qf.Transaction) {
	<-due.C()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(transaction)
}

// apply is called with the lock held.
func (t *Table) apply(transaction qf.Transaction) qf.Result[qf.Committed] {
	t.commitCount++
	for _, c := range transaction.Conditions {
		if t.rows[c.Key].Version != c.Version {
			err := qf.NewError(qf.CodeConflict, qf.StepTableCommit, "", "a condition failed")
			err.Field = c.Key
			return qf.NotDoneFor[qf.Committed](err)
		}
	}
	for _, w := range transaction.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = qf.Row{
			Key:     w.Key,
			Version: t.rows[w.Key].Version + 1,
			Value:   append([]byte(nil), w.Value...),
			Writer:  transaction.ID,
		}
	}
	return qf.DoneWith(qf.Committed{ID: transaction.ID})
}

// enter applies the delay, the outage and the rate limit. An error means that
// the call didn't run.
func (t *Table) enter(ctx context.Context, limiter *rate.Limiter, step qf.Step) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.Delay > 0 {
		s := t.timer.After(faults.Delay)
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
	if !limiter.AllowN(t.timer.Now(), 1) {
		err := qf.NewError(qf.CodeLimited, step, "", "over the service's rate")
		err.RetryAfter = time.Second
		return err
	}
	return nil
}
