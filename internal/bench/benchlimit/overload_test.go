package benchlimit

import "testing"

// TestGoodputUnderOverload holds the product to its bounds. The baseline, which
// bounds nothing, must fail them, or the check can't.
func TestGoodputUnderOverload(t *testing.T) {
	const leastGoodput = 0.9
	baselineFails := false
	for _, r := range Run(1).Rows {
		holds := r.Goodput >= leastGoodput && r.Recovery.Seconds() <= 5
		if r.Limiter == "Shared" && !holds {
			t.Errorf("at %.0fx: goodput %.2f, recovery %s", r.Load, r.Goodput, r.Recovery)
		}
		if r.Limiter != "Shared" && !holds {
			baselineFails = true
		}
	}
	if !baselineFails {
		t.Error("a limiter without bounds passes: the check can't fail")
	}
}
