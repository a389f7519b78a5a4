package qflimit

import "time"

// windowSlots is the number of slots of a slidingSum: its sum covers at most one slot more than
// its window.
const windowSlots = 32

// slidingSum is the sum of the units that were added within a window.
type slidingSum struct {
	window time.Duration
	slots  [windowSlots]float64
	// newest is the number of the newest slot, counted from the start of time. Slot n is at
	// n modulo windowSlots.
	newest int64
}

// slotWidth returns the length of a slot.
func (s *slidingSum) slotWidth() time.Duration { return s.window / (windowSlots - 1) }

// advance clears the slots that have left the window.
func (s *slidingSum) advance(now time.Time) {
	slot := now.UnixNano() / int64(s.slotWidth())
	for n := max(s.newest+1, slot-windowSlots+1); n <= slot; n++ {
		s.slots[n%windowSlots] = 0
	}
	s.newest = max(s.newest, slot)
}

// add adds units.
func (s *slidingSum) add(now time.Time, units float64) {
	s.advance(now)
	s.slots[s.newest%windowSlots] += units
}

// sum returns the units that were added within the window.
func (s *slidingSum) sum(now time.Time) float64 {
	s.advance(now)
	total := 0.0
	for _, units := range s.slots {
		total += units
	}
	return total
}

// fallsBy returns the time until the sum has fallen by a number of units, if none are added.
func (s *slidingSum) fallsBy(now time.Time, units float64) time.Duration {
	s.advance(now)
	for n := s.newest - windowSlots + 1; n <= s.newest; n++ {
		units -= s.slots[n%windowSlots]
		if units <= 0 {
			return time.Unix(0, (n+windowSlots)*int64(s.slotWidth())).Sub(now)
		}
	}
	return s.window
}
