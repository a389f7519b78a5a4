package benchrollout

import (
	"flag"
	"testing"
)

// benchSeeds is the number of seeds for each kind, workload and policy. The
// measurement uses 15, which makes 360 rollouts for each policy.
var benchSeeds = flag.Int("rollout-seeds", 1, "number of seeds for each kind, workload and policy")

// maxExposed is the largest share of all requests that may reach bad versions before
// they are stopped.
const maxExposed = 0.05

// TestRollouts catches a good version that is rolled back or late, and a bad version
// that isn't rolled back, is exposed too much, or gets requests after its stop.
func TestRollouts(t *testing.T) {
	result := Run(*benchSeeds)
	t.Logf("\n%s", result.Text())
	for _, row := range result.Rows {
		if row.Policy != policyStaged {
			continue
		}
		if row.Late > 0 {
			t.Errorf("%s: %d requests reached a bad version more than %s after its stop", row.Kind, row.Late, stopLimit)
		}
		if row.Kind == Good && (row.RolledBack > 0 || row.InTime < row.Rollouts) {
			t.Errorf("good versions: %d of %d in time, %d rolled back", row.InTime, row.Rollouts, row.RolledBack)
		}
		if row.Kind != Good && (row.RolledBack < row.Rollouts || row.Exposed > maxExposed) {
			t.Errorf("%s: %d of %d rolled back, %.2f%% exposed", row.Kind, row.RolledBack, row.Rollouts, 100*row.Exposed)
		}
	}
}
