// Package qfledger keeps the intents and outcomes of once-only requests in the
// table service. A row is never deleted before it expires: a freed key stays as
// a row whose version goes on rising, so that a write that takes effect late
// can't meet a later request's row at the version that it expects.
package qfledger

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/golang-lru/v2"

	"quetzalfront/internal/qf"
)

// Options govern a ledger.
type Options struct {
	// Retention is how long a key is kept after its last write.
	Retention time.Duration
	// MinCommitInterval returns the shortest time between two commits of this node.
	MinCommitInterval func() time.Duration
}

// Ledger implements qf.Ledger.
type Ledger struct {
	timer   qf.Clock
	table   qf.Table
	batcher *batcher
	options Options
	// abandoned holds the latest transactions that may have recorded, or may yet
	// record, an intent of this node that it has refused as not run. A row that
	// one of them wrote stands for an attempt that never left.
	abandoned *lru.Cache[qf.TransactionID, struct{}]
}

// maxAbandoned bounds the memory of refused intents. A forgotten one is settled
// by asking the endpoint.
const maxAbandoned = 4096

// New returns a ledger that keeps its rows in the table.
func New(timer qf.Clock, table qf.Table, options Options) *Ledger {
	abandoned, _ := lru.New[qf.TransactionID, struct{}](maxAbandoned) // Fails only for a size below 1.
	return &Ledger{
		timer: timer, table: table, batcher: newBatcher(timer, table, options.MinCommitInterval),
		options: options, abandoned: abandoned,
	}
}

// maxSettles bounds the tries to find out what became of a write whose answer
// was lost.
const (
	maxSettles = 4
	retryAfter = time.Second
)

// refusal says that nothing of this sending ran: no attempt starts without a
// recorded intent.
func refusal(cause error) error {
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

func stale(request *qf.Request) error {
	return qf.NewError(qf.CodeStaleOwnership, qf.StepOutcome, "", "another node settled the key of request "+string(request.ID))
}

// change is one conditional write of a request's row with its settlement.
type change struct {
	*Ledger
	request *qf.Request
	// version is the version at which the row must be; 0 requires its absence.
	version uint64
	row     row
	// mine holds the transactions whose answers were lost. Any of them may have
	// taken effect, or take effect later.
	mine []qf.TransactionID
	// writer is the transaction that took effect.
	writer qf.TransactionID
}

// commit writes the row. An error other than a conflict or a lost answer ends
// the change.
func (c *change) commit(ctx context.Context) (done bool, err error) {
	c.row.At = c.timer.Now().UTC()
	id, result := c.batcher.commit(ctx, rowKey(c.request), c.version, &c.row)
	switch {
	case result.Certainty == qf.Done:
		c.writer = id
		return true, nil
	case result.Certainty == qf.Unknown:
		c.mine = append(c.mine, id)
		return false, nil
	case qf.CodeOf(result.Err) == qf.CodeConflict:
		return false, nil
	default:
		return false, result.Err
	}
}

// read returns the row as it stands, and whether this change wrote it.
func (c *change) read(ctx context.Context) (found qf.Row, r row, mine bool, err error) {
	found, err = c.table.Read(ctx, rowKey(c.request))
	if err != nil {
		return found, r, false, err
	}
	r, err = decode(found.Value)
	for _, id := range c.mine {
		if id == found.Writer {
			c.writer = id
			mine = true
		}
	}
	return found, r, mine, err
}

// abandon notes that the attempt of this change never starts, whatever becomes of
// its writes.
func (c *change) abandon() {
	for _, id := range c.mine {
		c.abandoned.Add(id, struct{}{})
	}
}

func (c *change) intent(state qf.IntentState) qf.Intent {
	return intentOf(state, &c.row, c.version+1, c.writer)
}

// RecordIntent implements qf.Ledger. It first writes on the condition that there is no
// row, so that an ordinary request costs one write and no read. After a lost
// answer the write is repeated: either the repetition takes effect and shuts the
// first one out, or the row is there to be read.
func (l *Ledger) RecordIntent(ctx context.Context, request *qf.Request, owner qf.NodeID, planned qf.PlannedAttempt) (qf.Intent, error) {
	ctx = context.WithoutCancel(ctx) // A caller that leaves must not leave a write unsettled.
	c := &change{Ledger: l, request: request, row: newRow(request, owner, 1, planned)}
	for range maxSettles {
		done, err := c.commit(ctx)
		if err != nil {
			c.abandon()
			return qf.Intent{}, refusal(err)
		}
		if done {
			return c.intent(qf.IntentFresh), nil
		}
		intent, known, err := c.earlier(ctx)
		if err != nil {
			c.abandon()
			return qf.Intent{}, refusal(err)
		}
		if known {
			return intent, nil
		}
	}
	c.abandon()
	return qf.Intent{}, refusal(qf.NewError(qf.CodeUnavailable, qf.StepIntent, "", "the intent could not be settled"))
}

// earlier returns what the row says of the key. It isn't known if the key is
// free; the next write is then conditional on what was read.
func (c *change) earlier(ctx context.Context) (intent qf.Intent, known bool, err error) {
	found, r, mine, err := c.read(ctx)
	switch {
	case qf.CodeOf(err) == qf.CodeNotFound:
		c.version = 0
		return qf.Intent{}, false, nil
	case err != nil:
		return qf.Intent{}, false, err
	case mine:
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
		c.timer.Now().Sub(r.At) > c.options.Retention
}

// ReplaceIntent implements qf.Ledger.
func (l *Ledger) ReplaceIntent(ctx context.Context, request *qf.Request, intent qf.Intent, owner qf.NodeID, planned qf.PlannedAttempt) (qf.Intent, error) {
	ctx = context.WithoutCancel(ctx)
	c := &change{
		Ledger: l, request: request, version: intent.Version,
		row: newRow(request, owner, intent.Generation+1, planned),
	}
	err := c.settle(ctx, func(*row) bool { return false })
	if err != nil {
		c.abandon()
		return qf.Intent{}, err
	}
	return c.intent(qf.IntentFresh), nil
}

// RecordOutcome implements qf.Ledger. An answer also replaces an Unknown that another
// node recorded meanwhile.
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
	err := c.settle(ctx, func(r *row) bool {
		return outcome == qf.OutcomeAnswered && r.State == qf.IntentUnknown && r.Attempt == c.row.Attempt
	})
	if err != nil && outcome == qf.OutcomeNotRun {
		l.abandoned.Add(intent.Writer, struct{}{})
	}
	return err
}

// settle writes until it is known that the write took effect or is shut out.
// mayReplace says whether a row that somebody else wrote may be overwritten.
func (c *change) settle(ctx context.Context, mayReplace func(r *row) bool) error {
	for range maxSettles {
		done, err := c.commit(ctx)
		if done || err != nil {
			return err
		}
		found, r, mine, err := c.read(ctx)
		switch {
		case qf.CodeOf(err) == qf.CodeNotFound:
			return stale(c.request)
		case err != nil:
			return err
		case mine, r.State == c.row.State && r.State == qf.IntentAnswered && r.Attempt == c.row.Attempt:
			c.version = found.Version - 1
			return nil
		case found.Version == c.version:
			// The lost write hasn't taken effect; the next one shuts it out.
		case mayReplace(&r):
			c.version = found.Version
		default:
			return stale(c.request)
		}
	}
	return qf.NewError(qf.CodeUnavailable, qf.StepOutcome, "", "the write could not be settled")
}
