package qftrial

import (
	"context"
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
)

// noRows is a table without rows.
type noRows struct{ qf.Table }

// Read implements qf.Table.
func (noRows) Read(_ context.Context, key string) (qf.Row, error) {
	return qf.Row{}, qf.NewError(qf.CodeNotFound, qf.StepTableRead, key, "there is no such row")
}

// TestRowIsAsRecorded checks that the stored format of the counts hasn't changed, so that
// builds of different releases read each other's rows.
func TestRowIsAsRecorded(t *testing.T) {
	qftest.CheckPlainJSON[row](t, "suspect")
	found, _, err := New(nil, noRows{}, Options{}).read(t.Context(), 0xabc)
	if err != nil {
		t.Fatal(err)
	}
	qftest.CheckLines(t, "keys", found.Key)
}
