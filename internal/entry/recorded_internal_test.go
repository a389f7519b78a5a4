package entry

import (
	"context"
	"encoding/json"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
)

// oneRow is a table with one row under every key.
type oneRow struct {
	qf.Table
	value []byte
	// key is the one that was read last.
	key string
}

// Read implements qf.Table.
func (o *oneRow) Read(_ context.Context, key string) (qf.Row, error) {
	o.key = key
	return qf.Row{Key: key, Version: 1, Value: o.value}, nil
}

// Commit implements qf.Table.
func (o *oneRow) Commit(_ context.Context, transaction qf.Transaction) qf.Result[qf.Committed] {
	o.value = transaction.Writes[0].Value
	return qf.DoneWith(qf.Committed{ID: transaction.ID})
}

func entryOn(table qf.Table) *Entry {
	e := &Entry{}
	e.platform.Table = table
	return e
}

// marshal encodes rows that only a complete entry node writes.
func marshal[T any](value *T) ([]byte, error) { return json.Marshal(value) }

// TestPlanRowIsAsRecorded fails if builds can't read each other's rollout plans.
func TestPlanRowIsAsRecorded(t *testing.T) {
	decode := func(data []byte) (qf.RolloutPlan, error) {
		var plan qf.RolloutPlan
		err := json.Unmarshal(data, &plan)
		return plan, err
	}
	qftest.CheckJSON(t, "plan", decode, func(plan *qf.RolloutPlan) ([]byte, error) {
		table := &oneRow{}
		err := newRolloutDriver(entryOn(table)).storePlan(t.Context(), plan)
		return table.value, err
	})
}

// TestUsageRowIsAsRecorded fails if a successor of another build can't repeat a report.
func TestUsageRowIsAsRecorded(t *testing.T) {
	table := &oneRow{}
	qftest.CheckJSON(t, "usage", func(data []byte) (qf.UsageReport, error) {
		table.value = data
		d := &duties{entry: entryOn(table)}
		return d.freezeReport(t.Context(), 7)
	}, marshal)
	qftest.CheckLines(t, "usage-key", table.key)
}

// TestSizeRowIsAsRecorded fails if a successor of another build reads another number of
// endpoints.
func TestSizeRowIsAsRecorded(t *testing.T) {
	table := &oneRow{}
	qftest.CheckJSON(t, "size", func(data []byte) (int, error) {
		table.value = data
		d := &duties{entry: entryOn(table), desiredSizes: map[qf.EntryName]int{}, storedSizes: map[qf.EntryName]bool{}}
		return d.desiredSize(t.Context(), "chat")
	}, marshal)
	qftest.CheckLines(t, "size-key", table.key)
}

// TestNodeRowIsAsRecorded fails if nodes of different builds can't read each other's rows.
func TestNodeRowIsAsRecorded(t *testing.T) {
	qftest.CheckPlainJSON[qf.Node](t, "node")
	qftest.CheckLines(t, "keys", rolloutKeyPrefix, nodeKeyPrefix)
}

// TestRefusedPartsRowIsAsRecorded fails if builds can't read each other's refused parts.
func TestRefusedPartsRowIsAsRecorded(t *testing.T) {
	qftest.CheckPlainJSON[refusedParts](t, "refused-parts")
	qftest.CheckLines(t, "refused-parts-key", refusedPartsKey)
}

// TestSuspectedRequestsRowIsAsRecorded fails if builds can't read each other's suspicions of requests.
func TestSuspectedRequestsRowIsAsRecorded(t *testing.T) {
	qftest.CheckPlainJSON[suspectedRequests](t, "suspected-requests")
	qftest.CheckLines(t, "suspected-requests-key", suspectedRequestsKey)
}
