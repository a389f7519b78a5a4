package qfadmit

import (
	"testing"
	"time"
)

// TestForecast guards that waits are expected as they were measured, and that a node which
// has measured none of late lets enough pass to learn.
func TestForecast(t *testing.T) {
	const objective = time.Second
	start := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name string
		// ratio is measured to foreseen waits; 0 is none.
		ratio float64
		// pause is the time since.
		pause       time.Duration
		least, most time.Duration
	}{
		{name: "nothing measured", least: 500 * time.Millisecond, most: 800 * time.Millisecond},
		{name: "as foreseen", ratio: 1, least: 1800 * time.Millisecond, most: 2100 * time.Millisecond},
		{name: "much sooner", ratio: 0.1, least: 190 * time.Millisecond, most: 300 * time.Millisecond},
		{name: "as foreseen, a minute ago", ratio: 1, pause: time.Minute, least: 500 * time.Millisecond, most: 800 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var f WaitEstimator
			now := start
			for range 40 {
				if tt.ratio > 0 {
					f.RecordFirstToken(now, time.Second, time.Duration(tt.ratio*float64(time.Second)), objective)
				}
				now = now.Add(50 * time.Millisecond)
			}
			got := f.EstimateWait(now.Add(tt.pause), 2*time.Second)
			if got < tt.least || got > tt.most {
				t.Errorf("%v expected, want %v to %v", got, tt.least, tt.most)
			}
		})
	}
}

// TestPressure guards that late first tokens show soon, and that old ones are forgotten.
func TestPressure(t *testing.T) {
	const objective = time.Second
	start := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name string
		// took are the times of first tokens, a tenth of a second apart.
		took []time.Duration
		// pause is the time since the last one.
		pause  time.Duration
		isHigh bool
	}{
		{name: "none"},
		{name: "in time", took: []time.Duration{100e6, 200e6, 100e6, 200e6}},
		{name: "one was late", took: []time.Duration{100e6, 100e6, 100e6, 900e6}},
		{name: "late", took: []time.Duration{900e6, 900e6, 900e6, 900e6, 900e6, 900e6, 900e6}, isHigh: true},
		{name: "late a while ago", took: []time.Duration{900e6, 900e6, 900e6, 900e6, 900e6, 900e6}, pause: 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p Pressure
			now := start
			for _, took := range tt.took {
				now = now.Add(100 * time.Millisecond)
				p.RecordFirstToken(now, took, objective)
			}
			if got := p.IsHigh(now.Add(tt.pause)); got != tt.isHigh {
				t.Errorf("high %v, want %v", got, tt.isHigh)
			}
		})
	}
}
