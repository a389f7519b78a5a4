// Package qfledger keeps the intents and outcomes of once-only requests in the
// table service. A row is never deleted before it expires: a freed key keeps its
// row, whose version goes on increasing. Otherwise a write that takes effect late
// could find a later request's row at the version that it requires.
package qfledger

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/golang-lru/v2"

	"quetzalfront/internal/qf"
)

// Options configure a ledger.
type Options struct {
	// Retention is how long a key is kept after its last write.
	Retention time.Duration
	// MinCommitInterval returns the shortest time between two commits of this node.
	MinCommitInterval func() time.Duration
}

// Ledger implements qf.Ledger.
type Ledger struct {
	clock   qf.Clock
	table   qf.Table
	batcher *batcher
	options Options
	// abandoned holds the latest transactions that may have recorded, or may still
	// record, an intent which this node refused as not run. A row written by one of
	// them belongs to an attempt that was never sent.
	abandoned *lru.Cache[qf.TransactionID, struct{}]
}

// maxAbandoned bounds the refused intents that are kept. The outcome of one that is
// no longer kept is requested from the endpoint.
const maxAbandoned = 4096

// New returns a ledger that keeps its rows in the table.
func New(clock qf.Clock, table qf.Table, options Options) *Ledger {
	abandoned, _ := lru.New[qf.TransactionID, struct{}](maxAbandoned) // Fails only for a size below 1.
	return &Ledger{
		clock: clock, table: table, batcher: newBatcher(clock, table, options.MinCommitInterval),
		options: options, abandoned: abandoned,
	}
}

const (
	// maxResolves bounds the attempts to determine the effect of a write whose answer
	// was lost.
	maxResolves = 4
	// retryAfter is the delay that a refused caller is given.
	retryAfter = time.Second
)

// notRunError returns the error of a request that did not run: no attempt starts
// without a recorded intent.
func notRunError(cause error) error {
	err := &qf.Error{
		Code: qf.CodeUnavailable, Step: qf.StepIntent,
		Reason: "the intent could not be recorded; repeat the call with the same key",
		Ran:    qf.RanNo, RetryAfter: retryAfter, Cause: cause,
	}
	var e *qf.Error
	if errors.As(cause, &e) && e.RetryAfter > 0 {
		err.RetryAfter = e.RetryAfter
	}
	return err
}

func staleOwnerError(request *qf.Request) error {
	return qf.NewError(qf.CodeStaleOwnership, qf.StepOutcome, "", "another node owns the key of request "+string(request.ID))
}

// change is one conditional write of a request's row, repeated until its effect is
// known.
type change struct {
	*Ledger
	request *qf.Request
	// version is the version that the row must have; 0 requires that there is no row.
	version uint64
	row     row
	// own holds the transactions of this change whose answers were lost. Any of them
	// may have taken effect, or may do so later.
	own []qf.TransactionID
	// writer is the transaction that took effect.
	writer qf.TransactionID
}

// commit writes the row. An error other than a conflict or a lost answer ends
// the change.
func (c *change) commit(ctx context.Context) (done bool, err error) {
	c.row.At = c.clock.Now().UTC()
	id, result := c.batcher.commit(ctx, rowKey(c.request), c.version, &c.row)
	switch {
	case result.Certainty == qf.Done:
		c.writer = id
		return true, nil
	case result.Certainty == qf.Unknown:
		c.own = append(c.own, id)
		return false, nil
	case qf.CodeOf(result.Err) == qf.CodeConflict:
		return false, nil
	default:
		return false, result.Err
	}
}

// read returns the current row, and whether this change wrote it.
func (c *change) read(ctx context.Context) (found qf.Row, r row, own bool, err error) {
	found, err = c.table.Read(ctx, rowKey(c.request))
	if err != nil {
		return found, r, false, err
	}
	r, err = decode(found.Value)
	for _, id := range c.own {
		if id == found.Writer {
			c.writer = id
			own = true
		}
	}
	return found, r, own, err
}

// abandon records that the attempt of this change is never sent, even if one of its
// writes takes effect.
func (c *change) abandon() {
	for _, id := range c.own {
		c.abandoned.Add(id, struct{}{})
	}
}

func (c *change) intent(state qf.IntentState) qf.Intent {
	return intentOf(state, &c.row, c.version+1, c.writer)
}

// RecordIntent implements qf.Ledger. It first writes on the condition that there is no
// row, so that an ordinary request costs one write and no read. After a lost answer the
// write is repeated: either the repetition takes effect, and the first write then fails
// its condition, or the row exists and is read.
func (l *Ledger) RecordIntent(ctx context.Context, request *qf.Request, owner qf.NodeID, planned qf.PlannedAttempt) (qf.Intent, error) {
	ctx = context.WithoutCancel(ctx) // A write is resolved even if the caller disconnects.
	c := &change{Ledger: l, request: request, row: newRow(request, owner, 1, planned)}
	for range maxResolves {
		done, err := c.commit(ctx)
		if err != nil {
			c.abandon()
			return qf.Intent{}, notRunError(err)
		}
		if done {
			return c.intent(qf.IntentFresh), nil
		}
		intent, known, err := c.readIntent(ctx)
		if err != nil {
			c.abandon()
			return qf.Intent{}, notRunError(err)
		}
		if known {
			return intent, nil
		}
	}
	c.abandon()
	return qf.Intent{}, notRunError(qf.NewError(qf.CodeUnavailable, qf.StepIntent, "", "the outcome of the write of the intent is unknown"))
}

// readIntent returns the recorded intent of the key. If the key is free, known is false
// and the next write is conditional on the row that was read.
func (c *change) readIntent(ctx context.Context) (intent qf.Intent, known bool, err error) {
	found, r, own, err := c.read(ctx)
	switch {
	case qf.CodeOf(err) == qf.CodeNotFound:
		c.version = 0
		return qf.Intent{}, false, nil
	case err != nil:
		return qf.Intent{}, false, err
	case own:
		return intentOf(qf.IntentFresh, &r, found.Version, found.Writer), true, nil
	case c.isFree(&found, &r):
		c.version = found.Version
		c.row.Generation = r.Generation + 1
		return qf.Intent{}, false, nil
	case r.Body != c.row.Body:
		return intentOf(qf.IntentKeyReused, &r, found.Version, found.Writer), true, nil
	default:
		return intentOf(r.State, &r, found.Version, found.Writer), true, nil
	}
}

// isFree reports whether a row allows a new intent.
func (c *change) isFree(found *qf.Row, r *row) bool {
	return r.State == intentFree || c.abandoned.Contains(found.Writer) ||
		c.clock.Now().Sub(r.At) > c.options.Retention
}

// ReplaceIntent implements qf.Ledger.
func (l *Ledger) ReplaceIntent(ctx context.Context, request *qf.Request, intent qf.Intent, owner qf.NodeID, planned qf.PlannedAttempt) (qf.Intent, error) {
	ctx = context.WithoutCancel(ctx)
	c := &change{
		Ledger: l, request: request, version: intent.Version,
		row: newRow(request, owner, intent.Generation+1, planned),
	}
	err := c.resolve(ctx, func(*row) bool { return false })
	if err != nil {
		c.abandon()
		return qf.Intent{}, err
	}
	return c.intent(qf.IntentFresh), nil
}

// RecordOutcome implements qf.Ledger. An answer also replaces the outcome Unknown that
// another node recorded meanwhile.
func (l *Ledger) RecordOutcome(ctx context.Context, request *qf.Request, intent qf.Intent, outcome qf.FinalOutcome, answer *qf.ServiceResponse) error {
	ctx = context.WithoutCancel(ctx)
	c := &change{
		Ledger: l, request: request, version: intent.Version,
		row: newRow(request, intent.Owner, intent.Generation, intent.Planned),
	}
	c.row.State = stateOf(outcome)
	if outcome == qf.OutcomeAnswered {
		c.row.Answer = answer
	}
	err := c.resolve(ctx, func(r *row) bool {
		return outcome == qf.OutcomeAnswered && r.State == qf.IntentUnknown && r.Attempt == c.row.Attempt
	})
	if err != nil && outcome == qf.OutcomeNotRun {
		l.abandoned.Add(intent.Writer, struct{}{})
	}
	return err
}

// resolve repeats the write until it is known to have taken effect, or can no longer do
// so. mayReplace reports whether a row that another node wrote may be overwritten.
func (c *change) resolve(ctx context.Context, mayReplace func(r *row) bool) error {
	for range maxResolves {
		done, err := c.commit(ctx)
		if done || err != nil {
			return err
		}
		found, r, own, err := c.read(ctx)
		switch {
		case qf.CodeOf(err) == qf.CodeNotFound:
			return staleOwnerError(c.request)
		case err != nil:
			return err
		case own, r.State == c.row.State && r.State == qf.IntentAnswered && r.Attempt == c.row.Attempt:
			c.version = found.Version - 1
			return nil
		case found.Version == c.version:
			// The lost write hasn't taken effect. Once the next write has, the lost one
			// fails its condition.
		case mayReplace(&r):
			c.version = found.Version
		default:
			return staleOwnerError(c.request)
		}
	}
	return qf.NewError(qf.CodeUnavailable, qf.StepOutcome, "", "the outcome of the write is unknown")
}
