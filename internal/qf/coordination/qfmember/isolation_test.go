package qfmember

import (
	"fmt"
	"testing"
	"time"
)

// TestViewsRecoverFromIsolation fails if nodes that were all cut off from each other don't see each other again soon: one that had
// lost so many members from its view that it took the fleet for a small one got no lists of members any more.
func TestViewsRecoverFromIsolation(t *testing.T) {
	const mostTime = 15 * time.Second
	limit := timing.FullExchangeUpTo
	for _, members := range []int{2, limit, limit + 1, limit + 6, 2 * limit, 5 * limit} {
		for _, zones := range []int{1, 2, 3, 6} {
			for _, outage := range []time.Duration{5 * time.Second, 20 * time.Second, 2 * time.Minute} {
				t.Run(fmt.Sprintf("%d members, %d zones, %s", members, zones, outage), func(t *testing.T) {
					s := newSimulated(members, zones)
					s.runUntil(30*time.Second, func() bool { return s.countNotLive() == 0 })
					s.run(10 * time.Second)
					s.cut = func(int, int) bool { return true }
					s.run(outage)
					s.cut = func(int, int) bool { return false }
					if took := s.runUntil(time.Minute, func() bool { return s.countNotLive() == 0 }); took > mostTime {
						t.Errorf("nodes see each other again after %s (%d pairs don't)", took, s.countNotLive())
					}
				})
			}
		}
	}
}
