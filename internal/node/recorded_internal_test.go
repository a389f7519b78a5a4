package node

import (
	"testing"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qftest"
)

// TestRolloutPlanEncodingIsStable guards against changes to the stored rollout plans that
// other builds can't read.
func TestRolloutPlanEncodingIsStable(t *testing.T) {
	qftest.CheckPlainJSON[qf.RolloutPlan](t, "plan")
	qftest.CheckLines(t, "keys", rolloutDuty("chat"))
}
