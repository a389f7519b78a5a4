package qfprefix

import (
	"testing"
	"time"
)

// TestIndex checks which length of a prefix a lookup finds after stores, evictions and
// expiry, and that the index doesn't grow.
func TestIndex(t *testing.T) {
	origin := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name string
		fill func(x *Index)
		at   time.Duration
		// want is the cached length at endpoint 1, in tokens.
		want int
	}{
		{"unknown", func(*Index) {}, 0, 0},
		{"longest prefix", func(x *Index) { x.Store(origin, 11, 1); x.Store(origin, 12, 1) }, 0, 2 * BlockTokens},
		{"other endpoint", func(x *Index) { x.Store(origin, 11, 2) }, 0, 0},
		{"evicted", func(x *Index) { x.Store(origin, 11, 1); x.Evict(11, 1) }, 0, 0},
		{"evicted elsewhere", func(x *Index) { x.Store(origin, 11, 1); x.Store(origin, 11, 2); x.Evict(11, 2) }, 0, BlockTokens},
		{"too old", func(x *Index) { x.Store(origin, 11, 1) }, 2 * time.Minute, 0},
		{"seen again", func(x *Index) { x.Store(origin, 11, 1); x.Store(origin.Add(time.Minute), 11, 1) }, 2 * time.Minute, BlockTokens},
		{"replaced by newer holders", func(x *Index) {
			for n := range uint32(holders + 1) {
				x.Store(origin.Add(time.Duration(n)*time.Second), 11, n+1)
			}
		}, 10 * time.Second, 0},
		{"replaced by newer prefixes", func(x *Index) {
			x.Store(origin, 11, 1)
			for i := range uint64(1000) {
				x.Store(origin.Add(time.Second), 1000+i, 2)
			}
		}, time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := NewIndex(origin, 64, time.Minute)
			tt.fill(x)
			m := x.Lookup(origin.Add(tt.at), []uint64{11, 12})
			if got := m.tokens(1); got != tt.want {
				t.Errorf("%d tokens, want %d", got, tt.want)
			}
			if len(x.sets)*setSize != 64 {
				t.Errorf("the index grew to %d prefixes", len(x.sets)*setSize)
			}
		})
	}
}
