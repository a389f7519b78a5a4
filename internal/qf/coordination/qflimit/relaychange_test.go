package qflimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestQuotaHoldsWhileRelaysChange fails if an organisation gets more than its quota and the allowed
// excess while the relays of a large fleet change, which hides what was used around each change.
func TestQuotaHoldsWhileRelaysChange(t *testing.T) {
	const (
		size, steps = 66, 300
		step        = 100 * time.Millisecond
	)
	all := make([]int, size)
	for i := range all {
		all[i] = i
	}
	for _, every := range []time.Duration{1300 * time.Millisecond, 2600 * time.Millisecond, 5 * time.Second} {
		for _, quiet := range []time.Duration{0, 10 * time.Second} {
			t.Run(fmt.Sprintf("every %v, much more than the quota from %v", every, quiet), func(t *testing.T) {
				f := newQuotaFleet(size, true)
				random := rand.New(rand.NewPCG(1, 2))
				start := f.now
				admitted := make([]float64, steps)
				owed := 0.0
				for i := range steps {
					f.now = start.Add(time.Duration(i) * step)
					demand := 7.5
					if f.now.Sub(start) < quiet {
						demand = 0.7
					}
					if i%4 == 0 {
						relay := int(f.now.Sub(start)/every) % size
						f.exchangeThroughFirst(slices.Concat(all[relay:], all[:relay]))
					}
					for owed += demand * fleetRate * step.Seconds(); owed > 0; owed -= 8000 {
						units := 8000 * (0.5 + random.Float64())
						if f.nodes[random.IntN(size)].Admit(f.now, "north", units).IsAdmitted {
							admitted[i] += units
						}
					}
				}
				checkWindows(t, admitted)
			})
		}
	}
}
