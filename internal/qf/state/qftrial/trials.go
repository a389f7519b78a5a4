// Package qftrial limits the attempts of requests that are suspected of crashing
// endpoints. The count is kept in the table service, so that the limit applies
// across all nodes.
package qftrial

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"quetzalfront/internal/qf"
)

const rowPrefix = "suspect/"

// row is the stored count of one fingerprint.
type row struct {
	Attempts int
	// At is when the last attempt was granted, by the writer's wall clock.
	At time.Time
}

// Options limit the attempts.
type Options struct {
	MaxAttempts int
	// ExpireAfter is how long after the last attempt the count is reset.
	ExpireAfter time.Duration
}

// AttemptLimiter grants further attempts to suspected requests.
type AttemptLimiter struct {
	clock   qf.Clock
	table   qf.Table
	options Options
}

// New returns a limiter that keeps its counts in the table.
func New(clock qf.Clock, table qf.Table, options Options) *AttemptLimiter {
	return &AttemptLimiter{clock: clock, table: table, options: options}
}

// maxClaims bounds the writes tried while other nodes change the row.
const maxClaims = 3

// ClaimAttempt claims one attempt. An error means that none was granted: CodeSuspect
// if all were used, another code if the table failed. If the answer to a write is
// lost, the claim isn't resolved; that costs at most one attempt.
func (t *AttemptLimiter) ClaimAttempt(ctx context.Context, fingerprint uint64) error {
	var last error
	for range maxClaims {
		found, r, err := t.read(ctx, fingerprint)
		if err != nil {
			return err
		}
		if r.Attempts >= t.options.MaxAttempts {
			return t.exhaustedError(r)
		}
		r.Attempts++
		result := t.write(ctx, found, r)
		if result.Certainty == qf.Done {
			return nil
		}
		last = result.Err
	}
	return last
}

func (t *AttemptLimiter) exhaustedError(r row) error {
	return &qf.Error{
		Code: qf.CodeSuspect, Step: qf.StepRoute, Ran: qf.RanNo, RetryAfter: t.options.ExpireAfter - t.clock.Now().Sub(r.At),
		Reason: fmt.Sprintf("endpoints died with this request in progress; its %d further attempts are used up", t.options.MaxAttempts),
	}
}

// ResetAttempts resets the count of a request that was answered.
func (t *AttemptLimiter) ResetAttempts(ctx context.Context, fingerprint uint64) error {
	found, _, err := t.read(ctx, fingerprint)
	if err != nil {
		return err
	}
	return t.write(ctx, found, row{}).Err
}

// read returns the row; a missing or expired one counts no attempts.
func (t *AttemptLimiter) read(ctx context.Context, fingerprint uint64) (qf.Row, row, error) {
	found, err := t.table.Read(ctx, fmt.Sprintf("%s%016x", rowPrefix, fingerprint))
	if qf.CodeOf(err) == qf.CodeNotFound {
		return qf.Row{Key: fmt.Sprintf("%s%016x", rowPrefix, fingerprint)}, row{}, nil
	}
	if err != nil {
		return qf.Row{}, row{}, err
	}
	var r row
	if err := json.Unmarshal(found.Value, &r); err != nil {
		return qf.Row{}, row{}, qf.NewError(qf.CodeInternal, qf.StepDecode, "", "suspect row: "+err.Error())
	}
	if t.clock.Now().Sub(r.At) > t.options.ExpireAfter {
		r = row{}
	}
	return found, r, nil
}

func (t *AttemptLimiter) write(ctx context.Context, found qf.Row, r row) qf.Result[qf.Committed] {
	r.At = t.clock.Now().UTC()
	value, err := json.Marshal(r)
	if err != nil {
		return qf.NotDoneFor[qf.Committed](err)
	}
	return t.table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(uuid.NewString()),
		Conditions: []qf.Condition{{Key: found.Key, Version: found.Version}},
		Writes:     []qf.Write{{Key: found.Key, Value: value}},
	})
}
