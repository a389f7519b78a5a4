package qffleet

import (
	"testing"

	"quetzalfront/internal/qf"
)

// TestSizeWithSpare fails if spare endpoints are ordered where they aren't cheaper, or beyond the
// bounds of the zones.
func TestSizeWithSpare(t *testing.T) {
	tests := []struct {
		name                 string
		initial, most, zones int
		price                float64
		want                 int
	}{
		{name: "reclaimable ones are cheap", initial: 12, most: 8, zones: 3, price: 0.18, want: 16},
		{name: "none are offered", initial: 12, most: 8, zones: 3, want: 12},
		{name: "they cost as much", initial: 12, most: 8, zones: 3, price: 1, want: 12},
		{name: "the zones are full", initial: 12, most: 5, zones: 3, price: 0.18, want: 15},
		{name: "the operator started with more than the zones hold", initial: 12, most: 3, zones: 3, price: 0.18, want: 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			scaling := &qf.ScalingSettings{Max: tt.most, ReclaimablePrice: tt.price, Prices: map[qf.AvailabilityZone]float64{}}
			for i := range tt.zones {
				scaling.Prices[qf.AvailabilityZone(rune('a'+i))] = 1
			}
			if got := SizeWithSpare(tt.initial, scaling); got != tt.want {
				t.Errorf("%d endpoints, want %d", got, tt.want)
			}
		})
	}
}
