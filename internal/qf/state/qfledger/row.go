package qfledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
)

const rowPrefix = "ledger/"

// intentFree is the state of a row whose key may be used again. It is never returned in
// an intent.
const intentFree qf.IntentState = "Free"

// row is the stored record of one idempotency key.
type row struct {
	// Body is the fingerprint of the request, by which a reused key is detected.
	Body       uint64
	Request    qf.RequestID
	Owner      qf.NodeID
	Generation qf.Generation
	State      qf.IntentState
	// Attempt is the only attempt that may start under this generation.
	Attempt  qf.AttemptID
	Endpoint qf.Endpoint
	Deadline time.Time
	// At is when the row was written, by the writer's wall clock.
	At     time.Time
	Answer *qf.ServiceResponse `json:",omitempty"`
}

func newRow(request *qf.Request, owner qf.NodeID, generation qf.Generation, planned qf.PlannedAttempt) row {
	return row{
		Body: fingerprint(request), Request: request.ID, Owner: owner, Generation: generation,
		State: qf.IntentRunning, Attempt: planned.Attempt, Endpoint: planned.Endpoint,
		Deadline: request.Deadline.UTC(),
	}
}

func rowKey(r *qf.Request) string {
	return rowPrefix + strings.Join([]string{string(r.Organisation), string(r.Entry), string(r.Key)}, "\x1f")
}

// fingerprint returns a hash of the parts of a request that must be the same if its key is
// used again.
func fingerprint(r *qf.Request) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s", r.Method, r.Path, r.ContentType, r.Body))
}

func decode(value []byte) (row, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return r, qf.NewError(qf.CodeInternal, qf.StepDecode, "", "ledger row: "+err.Error())
	}
	return r, nil
}

// intentOf returns the intent that a row records.
func intentOf(state qf.IntentState, r *row, version uint64, writer qf.TransactionID) qf.Intent {
	intent := qf.Intent{
		State: state, Request: r.Request, Owner: r.Owner, Generation: r.Generation,
		Planned:  qf.PlannedAttempt{Attempt: r.Attempt, Endpoint: r.Endpoint},
		Deadline: r.Deadline, Version: version, Writer: writer,
	}
	if state == qf.IntentAnswered {
		intent.Answer = r.Answer
	}
	return intent
}

func stateOf(outcome qf.FinalOutcome) qf.IntentState {
	switch outcome {
	case qf.OutcomeAnswered:
		return qf.IntentAnswered
	case qf.OutcomeNotRun:
		return intentFree
	default:
		return qf.IntentUnknown
	}
}
