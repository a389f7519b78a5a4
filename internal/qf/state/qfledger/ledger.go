// Package qfledger keeps the intents and outcomes of once-only requests in the
// table service.
package qfledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"quetzalfront/internal/qf"
)

const rowPrefix = "ledger/"

// row is what the table keeps for one idempotency key.
type row struct {
	// Body identifies the request, so that a reused key shows.
	Body       uint64
	Request    qf.RequestID
	Owner      qf.NodeID
	Generation qf.Generation
	State      qf.IntentState
	Answer     *qf.ServiceAnswer
}

// Ledger implements qf.Ledger.
type Ledger struct {
	table qf.Table
}

// New returns a ledger that keeps its rows in the table.
func New(table qf.Table) *Ledger { return &Ledger{table: table} }

func rowKey(r *qf.Request) string {
	return rowPrefix + strings.Join([]string{string(r.Organisation), string(r.Entry), string(r.Key)}, "\x1f")
}

func fingerprint(r *qf.Request) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s", r.Method, r.Path, r.ContentType, r.Body))
}

// maxSettles bounds the tries to find out what became of a write whose answer
// was lost.
const (
	maxSettles = 4
	retryAfter = time.Second
)

// Begin implements qf.Ledger. The write is conditional on the row's absence; if
// its answer is lost it is repeated, so that either the repetition takes effect
// and shuts the first one out, or the row is there to be read.
func (l *Ledger) Begin(ctx context.Context, request *qf.Request, owner qf.NodeID) (qf.Intent, error) {
	mine := map[qf.TransactionID]bool{}
	fresh := row{
		Body: fingerprint(request), Request: request.ID, Owner: owner, Generation: 1, State: qf.IntentRunning,
	}
	for range maxSettles {
		intent, err := l.read(ctx, request, mine)
		if err == nil {
			return intent, nil
		}
		if qf.CodeOf(err) != qf.CodeNotFound {
			return qf.Intent{}, refusal(err)
		}
		id := qf.TransactionID(uuid.NewString())
		mine[id] = true
		result := l.write(ctx, id, request, 0, &fresh)
		if result.Certainty == qf.Done {
			return qf.Intent{State: qf.IntentFresh, Request: request.ID, Owner: owner, Generation: 1, Version: 1}, nil
		}
		if result.Certainty == qf.NotDone && !errors.Is(result.Err, &qf.Error{Code: qf.CodeConflict}) {
			return qf.Intent{}, refusal(result.Err)
		}
	}
	return qf.Intent{}, refusal(qf.NewError(qf.CodeUnavailable, qf.StepIntent, "", "the intent could not be settled"))
}

// refusal says that nothing ran: no attempt starts without a recorded intent.
func refusal(cause error) error {
	return &qf.Error{
		Code: qf.CodeUnavailable, Step: qf.StepIntent, Reason: "the intent could not be recorded",
		Ran: qf.RanNo, RetryAfter: retryAfter, Cause: cause,
	}
}

// read returns what the row says. A row that one of our own transactions wrote
// is fresh.
func (l *Ledger) read(ctx context.Context, request *qf.Request, mine map[qf.TransactionID]bool) (qf.Intent, error) {
	found, err := l.table.Read(ctx, rowKey(request))
	if err != nil {
		return qf.Intent{}, err
	}
	var r row
	if err := json.Unmarshal(found.Value, &r); err != nil {
		return qf.Intent{}, qf.NewError(qf.CodeInternal, qf.StepDecode, "", "ledger row: "+err.Error())
	}
	intent := qf.Intent{
		State: r.State, Request: r.Request, Owner: r.Owner, Generation: r.Generation,
		Version: found.Version, Answer: r.Answer,
	}
	switch {
	case mine[found.Writer]:
		intent.State = qf.IntentFresh
	case r.Body != fingerprint(request):
		intent.State = qf.IntentReused
	}
	return intent, nil
}

func (l *Ledger) write(ctx context.Context, id qf.TransactionID, request *qf.Request, version uint64, r *row) qf.Result[qf.Committed] {
	value, err := json.Marshal(r)
	if err != nil {
		return qf.NotDoneFor[qf.Committed](err)
	}
	return l.table.Commit(ctx, qf.Transaction{
		ID:         id,
		Conditions: []qf.Condition{{Key: rowKey(request), Version: version}},
		Writes:     []qf.Write{{Key: rowKey(request), Value: value}},
	})
}

// Finish implements qf.Ledger.
func (l *Ledger) Finish(ctx context.Context, request *qf.Request, intent qf.Intent, outcome qf.FinalOutcome, answer *qf.ServiceAnswer) error {
	if outcome == qf.OutcomeNotRun {
		return l.free(ctx, request, intent)
	}
	r := row{
		Body: fingerprint(request), Request: request.ID, Owner: intent.Owner,
		Generation: intent.Generation, State: qf.IntentUnknown,
	}
	if outcome == qf.OutcomeAnswered {
		r.State = qf.IntentAnswered
		r.Answer = answer
	}
	result := l.write(ctx, qf.TransactionID(uuid.NewString()), request, intent.Version, &r)
	return result.Err
}

func (l *Ledger) free(ctx context.Context, request *qf.Request, intent qf.Intent) error {
	result := l.table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(uuid.NewString()),
		Conditions: []qf.Condition{{Key: rowKey(request), Version: intent.Version}},
		Writes:     []qf.Write{{Key: rowKey(request), Delete: true}},
	})
	return result.Err
}
