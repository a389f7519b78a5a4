package qfretry

import (
	"testing"
	"time"
)

// TestFleetRetriesStayWithinBounds checks that all nodes together retry no more than a
// share of a window's requests plus the slack, although each decides alone, and that some
// retries are allowed.
func TestFleetRetriesStayWithinBounds(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
		// perSecond is the rate of requests at each node; each of them asks for a retry.
		perSecond int
	}{
		{"six nodes", 6, 10},
		{"six idle nodes", 6, 1},
		{"many nodes", 80, 8},
	}
	bounds := FleetBounds{Share: 0.2, Slack: 52, Window: 10 * time.Second}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const seconds = 30
			now := time.Unix(1_800_000_000, 0)
			nodes := make([]*FleetBudget, tt.nodes)
			for i := range nodes {
				nodes[i] = NewFleetBudget(bounds)
				nodes[i].SetNodes(tt.nodes)
			}
			taken := make([]int, seconds)
			for second := range seconds {
				for _, node := range nodes {
					for range tt.perSecond {
						node.CountRequest(now, "chat")
						if node.TakeRetry(now, "chat") {
							taken[second]++
						}
					}
				}
				now = now.Add(time.Second)
			}
			all := 0
			for first := 0; first+10 <= seconds; first++ {
				sum := 0
				for _, count := range taken[first : first+10] {
					sum += count
				}
				all += sum
				if bound := float64(10*tt.perSecond*tt.nodes)*bounds.Share + bounds.Slack; float64(sum) > bound {
					t.Errorf("%d retries from second %d, want at most %.0f", sum, first, bound)
				}
			}
			if all == 0 {
				t.Error("no retry is ever allowed")
			}
		})
	}
}
