package benchrollout

import (
	"flag"
	"testing"
)

// benchSeeds is the number of seeds for each kind, workload and policy; the
// measurement takes 15, which makes 360 rollouts a policy.
var benchSeeds = flag.Int("rollout-seeds", 1, "seeds of each rollout")

// mostExposed is the largest part of all requests that bad versions may get
// before they are stopped.
const mostExposed = 0.05

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
		if row.Kind == Good && (row.TakenBack > 0 || row.InTime < row.Rollouts) {
			t.Errorf("good versions: %d of %d in time, %d taken back", row.InTime, row.Rollouts, row.TakenBack)
		}
		if row.Kind != Good && (row.TakenBack < row.Rollouts || row.Exposed > mostExposed) {
			t.Errorf("%s: %d of %d taken back, %.2f%% exposed", row.Kind, row.TakenBack, row.Rollouts, 100*row.Exposed)
		}
	}
}
