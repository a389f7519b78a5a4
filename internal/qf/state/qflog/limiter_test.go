package qflog

import (
	"testing"
	"time"
)

// TestLimiter checks that the lines per second are bounded under any load, that lines of
// failures take precedence, and that each line is either written or counted as dropped.
func TestLimiter(t *testing.T) {
	tests := []struct {
		name string
		// plain and notable are the requests of each second.
		plain, notable int
		// wantPlain is the most plain lines and wantNotable the fewest notable lines that
		// may be written in a second.
		wantPlain, wantNotable int
	}{
		{name: "a node at full size", plain: 64, notable: 4, wantPlain: 64, wantNotable: 4},
		{name: "five times its load", plain: 320, notable: 20, wantPlain: plainPerSecond, wantNotable: 20},
		{name: "all fail at five times its load", notable: 340, wantNotable: 340},
		{name: "more failures than lines", plain: 1000, notable: 1000, wantPlain: plainPerSecond, wantNotable: notablePerSecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const seconds = 20
			l := NewLimiter()
			start := time.Unix(1_800_000_000, 0)
			plain, notable := 0, 0
			dropped := Dropped{}
			for second := range seconds {
				for i := range max(tt.plain, tt.notable) {
					now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(max(tt.plain, tt.notable)))
					if i < tt.notable && l.Allow(now, ClassNotable) {
						notable++
					}
					if i < tt.plain && l.Allow(now, ClassPlain) {
						plain++
					}
				}
				taken := l.TakeDropped()
				dropped.Plain += taken.Plain
				dropped.Notable += taken.Notable
			}
			if bound := tt.wantPlain*seconds + plainPerSecond; plain > bound {
				t.Errorf("%d plain lines, want at most %d", plain, bound)
			}
			if notable < tt.wantNotable*seconds {
				t.Errorf("%d notable lines, want at least %d", notable, tt.wantNotable*seconds)
			}
			if bound := (plainPerSecond + notablePerSecond) * (seconds + 1); plain+notable > bound {
				t.Errorf("%d lines, want at most %d", plain+notable, bound)
			}
			if got := plain + dropped.Plain; got != tt.plain*seconds {
				t.Errorf("%d plain lines written or counted, want %d", got, tt.plain*seconds)
			}
			if got := notable + dropped.Notable; got != tt.notable*seconds {
				t.Errorf("%d notable lines written or counted, want %d", got, tt.notable*seconds)
			}
		})
	}
}
