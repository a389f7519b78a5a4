package qfrollout

import (
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var (
	testStart  = time.Unix(1_000_000, 0)
	testTiming = Timing{Within: 30 * time.Minute, WatchFor: 5 * time.Minute, Least: time.Minute}
)

// TestPlanFor catches a spec that starts, continues or rolls back the wrong rollout: each
// row is a spec and the phase of the rollout in which it arrives.
func TestPlanFor(t *testing.T) {
	soon := testStart.Add(20 * time.Minute)
	settled := qf.RolloutPlan{Entry: "e", From: "v1", To: "v1", Generation: 4, Step: 1, Phase: qf.RolloutDone, Revision: 5}
	ramping := qf.RolloutPlan{Entry: "e", From: "v1", To: "v2", Generation: 4, Step: 9, Phase: qf.RolloutRamping, Revision: 5, MoveBy: soon, WatchFor: testTiming.WatchFor}
	with := func(plan qf.RolloutPlan, phase qf.RolloutPhase) qf.RolloutPlan {
		plan.Phase = phase
		return plan
	}
	rows := []struct {
		name string
		plan qf.RolloutPlan
		spec RolloutSpec
		// want is From>To:Generation:Phase; empty means that nothing changes.
		want string
		late string
	}{
		{"first version", qf.RolloutPlan{}, RolloutSpec{Target: "v1", Revision: 1}, "v1>v1:1:Done", ""},
		{"first plan, but another version is listed", qf.RolloutPlan{}, RolloutSpec{Target: "v2", Versions: []qf.Version{"v1", "v2"}, Revision: 2, MoveBy: soon}, "v1>v2:1:Ramping", ""},
		{"nothing new", settled, RolloutSpec{Target: "v1", Revision: 6}, "", ""},
		{"new version", settled, RolloutSpec{Target: "v2", Revision: 6, MoveBy: soon}, "v1>v2:5:Ramping", ""},
		{"new version, deadline past", settled, RolloutSpec{Target: "v2", Revision: 6, MoveBy: testStart.Add(-time.Hour)}, "v1>v2:5:Ramping", "was past"},
		{"new version, deadline too near", settled, RolloutSpec{Target: "v2", Revision: 6, MoveBy: testStart.Add(30 * time.Second)}, "v1>v2:5:Ramping", "only 30s away"},
		{"an older catalogue", settled, RolloutSpec{Target: "v0", Revision: 4}, "", ""},
		{"same spec under way", ramping, RolloutSpec{Target: "v2", Revision: 6, MoveBy: soon}, "", ""},
		{"another deadline under way", ramping, RolloutSpec{Target: "v2", Revision: 6, MoveBy: soon.Add(time.Hour)}, "v1>v2:4:Ramping", ""},
		{"a second rollout under way", ramping, RolloutSpec{Target: "v3", Revision: 6}, "v1>v3:5:Ramping", ""},
		{"rollback under way", ramping, RolloutSpec{Target: "v1", Revision: 6}, "v1>v1:5:Done", ""},
		{"rollback in the watch", with(ramping, qf.RolloutWatching), RolloutSpec{Target: "v1", Revision: 6}, "v1>v1:5:Done", ""},
		{"bad, requested again", with(ramping, qf.RolloutRolledBack), RolloutSpec{Target: "v2", Revision: 6}, "", ""},
		{"bad, target set back", with(ramping, qf.RolloutRolledBack), RolloutSpec{Target: "v1", Revision: 6}, "v1>v1:5:Done", ""},
		{"bad, another version", with(ramping, qf.RolloutRolledBack), RolloutSpec{Target: "v3", Revision: 6}, "v1>v3:5:Ramping", ""},
		{"done, back to the old one", with(ramping, qf.RolloutDone), RolloutSpec{Target: "v1", Revision: 6}, "v2>v1:5:Ramping", ""},
		{"rollback of a rollback", settled, RolloutSpec{Target: "v2", Revision: 7}, "v1>v2:5:Ramping", ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			row.spec.Entry = "e"
			next := planFor(testStart, &row.plan, &row.spec, testTiming)
			got, late := "", ""
			if next != nil {
				got = string(next.From) + ">" + string(next.To) + ":" + string(rune('0'+next.Generation)) + ":" + string(next.Phase)
				late = next.Late
				if !next.IsNewerThan(&row.plan) {
					t.Error("the plan isn't newer than the previous one")
				}
			}
			if got != row.want || !strings.Contains(late, row.late) || (late != "") != (row.late != "") {
				t.Errorf("plan %q late %q, want %q %q", got, late, row.want, row.late)
			}
		})
	}
}
