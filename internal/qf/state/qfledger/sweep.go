package qfledger

import (
	"context"

	"github.com/google/uuid"

	"quetzalfront/internal/qf"
)

// DeleteExpired implements qf.Ledger. It deletes the expired rows of one page in one
// transaction.
func (l *Ledger) DeleteExpired(ctx context.Context, after string) (next string, deleted int, err error) {
	rows, err := l.table.Scan(ctx, rowPrefix, after, maxBatch)
	if err != nil {
		return after, 0, err
	}
	transaction := qf.Transaction{ID: qf.TransactionID(uuid.NewString())}
	for i := range rows {
		next = rows[i].Key
		r, err := decode(rows[i].Value)
		if err != nil || l.clock.Now().Sub(r.At) <= l.options.Retention {
			continue
		}
		transaction.Conditions = append(transaction.Conditions, qf.Condition{Key: next, Version: rows[i].Version})
		transaction.Writes = append(transaction.Writes, qf.Write{Key: next, Delete: true})
	}
	if len(rows) < maxBatch {
		next = ""
	}
	if len(transaction.Writes) == 0 {
		return next, 0, nil
	}
	result := l.table.Commit(ctx, transaction)
	if result.Certainty != qf.Done {
		return next, 0, result.Err // The next round deletes what is left.
	}
	return next, len(transaction.Writes), nil
}
