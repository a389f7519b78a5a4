package benchroute

import (
	"testing"
)

// TestSteadyAgainstBaselines catches a router that is slower or dearer than a baseline
// under steady load, or computes more than 0.6 times the prompt tokens of TwoChoices.
func TestSteadyAgainstBaselines(t *testing.T) {
	const maxComputedShare = 0.6
	for _, d := range Deployments() {
		rows := RunScenario(Scenarios(d)[0], 1)
		ours := rows[len(rows)-1]
		for _, r := range rows[:len(rows)-1] {
			if ours.FirstToken >= r.FirstToken {
				t.Errorf("%s: first token %s, %s has %s", d.Name, ours.FirstToken, r.Policy, r.FirstToken)
			}
			if ours.CostPerThousand >= r.CostPerThousand {
				t.Errorf("%s: cost %.3f, %s has %.3f", d.Name, ours.CostPerThousand, r.Policy, r.CostPerThousand)
			}
			if r.Policy == policyTwoChoices && ours.ComputedThousands > maxComputedShare*r.ComputedThousands {
				t.Errorf("%s: computed %.0fk tokens, two choices %.0fk", d.Name, ours.ComputedThousands, r.ComputedThousands)
			}
		}
	}
}

// TestRunsRepeat catches results that differ between two runs with the same seed.
func TestRunsRepeat(t *testing.T) {
	s := Scenarios(Deployments()[0])[1]
	a, b := RunScenario(s, 7), RunScenario(s, 7)
	for i := range a {
		if a[i] != b[i] {
			t.Errorf("same seed, different results: %+v and %+v", a[i], b[i])
		}
	}
}
