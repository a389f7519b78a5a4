package benchfleet

import (
	"os"
	"testing"
)

// TestTable prints the table of docs/measurements/fleet.md. It catches a planner that
// costs as much as all on-demand or the fixed spread, or is short of replicas for as long
// as the cheapest plan.
func TestTable(t *testing.T) {
	seeds := make([]uint64, 10)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	rows := Run(seeds)
	if testing.Verbose() {
		if err := rows.Print(os.Stdout); err != nil {
			t.Fatal(err)
		}
	}
	for i := 0; i < len(rows); i += 4 {
		planner, onDemand, cheapest, fixed := rows[i], rows[i+1], rows[i+2], rows[i+3]
		if planner.Cost >= onDemand.Cost || planner.Cost >= fixed.Cost {
			t.Errorf("%s: the planner costs %.1f, all on-demand %.1f, fixed spread %.1f",
				planner.Day, planner.Cost, onDemand.Cost, fixed.Cost)
		}
		if planner.ShortMinutes >= cheapest.ShortMinutes {
			t.Errorf("%s: the planner is short for %d minutes, the cheapest plan for %d",
				planner.Day, planner.ShortMinutes, cheapest.ShortMinutes)
		}
	}
}
