package qfera

import (
	"testing"

	"quetzalfront/internal/qf"
)

// TestTracker guards against an era that falls, and against a waiter that isn't woken by a
// later era or is woken by the one it knows.
func TestTracker(t *testing.T) {
	tests := []struct {
		name     string
		observed []qf.StoreEra
		want     qf.StoreEra
		// awaited is the era after which a waiter waits from the start.
		awaited qf.StoreEra
		isWoken bool
	}{
		{name: "nothing seen"},
		{name: "first era", observed: []qf.StoreEra{3}, want: 3, isWoken: true},
		{name: "the awaited one only", observed: []qf.StoreEra{3}, want: 3, awaited: 3},
		{name: "an earlier one", observed: []qf.StoreEra{3, 2}, want: 3, awaited: 3},
		{name: "one was missed", observed: []qf.StoreEra{3, 5}, want: 5, awaited: 3, isWoken: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := New()
			if tt.awaited > 0 {
				tracker.ObserveEra(tt.awaited)
			}
			risen := tracker.AwaitEraAfter(tt.awaited)
			for _, era := range tt.observed {
				tracker.ObserveEra(era)
			}
			isWoken := false
			select {
			case <-risen:
				isWoken = true
			default:
			}
			if tracker.Era() != tt.want || isWoken != tt.isWoken {
				t.Errorf("era %d, woken %v; want %d, %v", tracker.Era(), isWoken, tt.want, tt.isWoken)
			}
		})
	}
}
