package qfmember

import (
	"testing"
	"time"
)

// TestSharedInterval checks that any number of nodes together stays within the platform's
// read budget, and that few nodes don't read less often than the given interval.
func TestSharedInterval(t *testing.T) {
	const budget = 200
	tests := []struct {
		live int
		want time.Duration
	}{
		{1, 500 * time.Millisecond},
		{7, 500 * time.Millisecond},
		{100, 500 * time.Millisecond},
		{200, time.Second},
		{640, 3200 * time.Millisecond},
	}
	for _, tt := range tests {
		got := SharedInterval(500*time.Millisecond, tt.live, budget)
		if got != tt.want {
			t.Errorf("%d nodes: %s, want %s", tt.live, got, tt.want)
		}
		if reads := float64(tt.live) / got.Seconds(); reads > budget {
			t.Errorf("%d nodes read %.0f times a second", tt.live, reads)
		}
	}
}
