package benchlimit

import "testing"

// TestGoodputUnderOverload catches a limiter that loses goodput under overload or takes
// too long to recover. The baseline must miss these bounds; otherwise the check could
// not fail.
func TestGoodputUnderOverload(t *testing.T) {
	const minGoodput = 0.9
	baselineFails := false
	for _, r := range Run(1).Rows {
		isWithinBounds := r.Goodput >= minGoodput && r.Recovery.Seconds() <= 5
		if r.Limiter == "Shared" && !isWithinBounds {
			t.Errorf("at %.0fx: goodput %.2f, recovery %s", r.Load, r.Goodput, r.Recovery)
		}
		if r.Limiter != "Shared" && !isWithinBounds {
			baselineFails = true
		}
	}
	if !baselineFails {
		t.Error("the baseline meets the bounds: the workload is too light for this check")
	}
}
