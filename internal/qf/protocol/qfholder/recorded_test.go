package qfholder

import (
	"testing"

	"quetzalfront/internal/qf/coordination/qflease"
	"quetzalfront/internal/qftest"
)

// TestLeaseRowIsAsRecorded guards against a change of the stored lease row that other
// builds can't read.
func TestLeaseRowIsAsRecorded(t *testing.T) {
	qftest.CheckPlainJSON[qflease.Record](t, "lease")
	qftest.CheckLines(t, "keys", rowLeasePrefix)
}
