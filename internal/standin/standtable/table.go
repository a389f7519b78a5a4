// Package standtable is a small stand-in for the platform's table service: in-memory
// rows, conditional transactions, rate limits and fault injection.
package standtable

import (
	"context"
	"sort"
	"strings"
	"sync"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standfault"
)

// The rate limits that the platform documents.
const (
	WritesPerSecond = 500
	ReadsPerSecond  = 2000
)

// Faults are the faults that are injected into the service.
type Faults = standfault.Faults

// Table is the table service. It implements qf.Table.
type Table struct {
	gate *standfault.Gate

	mu   sync.Mutex
	rows map[string]qf.Row
	// readCount and commitCount count the executed reads and commits.
	readCount, commitCount int
}

// New returns an empty table.
func New(clock qf.Clock) *Table {
	return &Table{
		gate: standfault.NewGate(clock, ReadsPerSecond, WritesPerSecond),
		rows: map[string]qf.Row{},
	}
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(faults Faults) { t.gate.SetFaults(faults) }

// Counts returns the numbers of executed reads and commits.
func (t *Table) Counts() (reads, commits int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readCount, t.commitCount
}

// Read implements qf.Table.
func (t *Table) Read(ctx context.Context, key string) (qf.Row, error) {
	if err := t.gate.AdmitRead(ctx, qf.StepTableRead); err != nil {
		return qf.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.ApplyDueWrites()
	t.readCount++
	row, ok := t.rows[key]
	if !ok {
		return qf.Row{}, qf.NewError(qf.CodeNotFound, qf.StepTableRead, "", key)
	}
	return row, nil
}

// Scan implements qf.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]qf.Row, error) {
	if err := t.gate.AdmitRead(ctx, qf.StepTableRead); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.ApplyDueWrites()
	t.readCount++
	var rows []qf.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(max(limit, 0), len(rows))], nil
}

// Commit implements qf.Table.
func (t *Table) Commit(ctx context.Context, transaction qf.Transaction) qf.Result[qf.Committed] {
	if err := t.gate.AdmitWrite(ctx, qf.StepTableCommit); err != nil {
		return qf.NotDoneFor[qf.Committed](err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return standfault.RunWrite(t.gate, qf.StepTableCommit, func() qf.Result[qf.Committed] { return t.apply(transaction) })
}

// apply runs a transaction if its conditions hold. The caller holds t.mu.
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
