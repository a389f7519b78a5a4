package qfholder

import (
	"testing"

	"quetzalfront/internal/qf/coordination/qflease"
	"quetzalfront/internal/qftest"
)

// TestLeaseRowIsAsRecorded guards that builds read each other's leases.
func TestLeaseRowIsAsRecorded(t *testing.T) {
	qftest.CheckPlainJSON[qflease.Record](t, "lease")
	qftest.CheckLines(t, "keys", rowLeasePrefix)
}
