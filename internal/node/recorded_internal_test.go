package node

import (
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
)

// TestPlanRowIsAsRecorded guards that builds read each other's plans of rollouts.
func TestPlanRowIsAsRecorded(t *testing.T) {
	qftest.CheckPlainJSON[qf.RolloutPlan](t, "plan")
	qftest.CheckLines(t, "keys", dutyOf("chat"))
}
