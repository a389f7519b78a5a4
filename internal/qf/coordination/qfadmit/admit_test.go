package qfadmit

import (
	"testing"
	"time"
)

// TestWaitEstimator guards against estimates that don't follow the measured waits, and
// against a node without recent samples that expects such long waits that it refuses the
// requests that would give new ones.
func TestWaitEstimator(t *testing.T) {
	const objective = time.Second
	start := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name string
		// ratio is that of measured to predicted waits; 0 means no samples.
		ratio float64
		// pause is the time since the last sample.
		pause       time.Duration
		least, most time.Duration
	}{
		{name: "nothing measured", least: 500 * time.Millisecond, most: 800 * time.Millisecond},
		{name: "as predicted", ratio: 1, least: 1800 * time.Millisecond, most: 2100 * time.Millisecond},
		{name: "much shorter than predicted", ratio: 0.1, least: 190 * time.Millisecond, most: 300 * time.Millisecond},
		{name: "as predicted, a minute ago", ratio: 1, pause: time.Minute, least: 500 * time.Millisecond, most: 800 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w WaitEstimator
			now := start
			for range 40 {
				if tt.ratio > 0 {
					w.RecordFirstToken(now, time.Second, time.Duration(tt.ratio*float64(time.Second)), objective)
				}
				now = now.Add(50 * time.Millisecond)
			}
			got := w.EstimateWait(now.Add(tt.pause), 2*time.Second)
			if got < tt.least || got > tt.most {
				t.Errorf("estimated wait %v, want %v to %v", got, tt.least, tt.most)
			}
		})
	}
}

// TestPressure guards against late first tokens that don't soon raise the pressure, and
// against old ones that still count.
func TestPressure(t *testing.T) {
	const objective = time.Second
	start := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name string
		// took are the times to first token, of first tokens 100 ms apart.
		took []time.Duration
		// pause is the time since the last first token.
		pause  time.Duration
		isHigh bool
	}{
		{name: "none"},
		{name: "in time", took: []time.Duration{100e6, 200e6, 100e6, 200e6}},
		{name: "one late", took: []time.Duration{100e6, 100e6, 100e6, 900e6}},
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
				t.Errorf("IsHigh is %v, want %v", got, tt.isHigh)
			}
		})
	}
}
