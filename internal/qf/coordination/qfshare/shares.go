package qfshare

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// Shares are the members' shares of what an entry's endpoints take.
type Shares struct {
	members []member
	// weights are parallel to members; total is their sum, and ownIndex the node's own.
	weights  []float64
	total    float64
	ownIndex int
	// isEven is true if all weights are equal.
	isEven  bool
	builtAt time.Time
}

// Own returns the node's own share, between 0 and 1.
func (s *Shares) Own() float64 { return s.weights[s.ownIndex] / s.total }

// IsOwn reports whether a unit belongs to the node. Of all members, the one with the best score for
// the unit owns it.
func (s *Shares) IsOwn(unit uint64) bool {
	own := s.score(s.ownIndex, unit)
	for i := range s.members {
		if i != s.ownIndex && s.score(i, unit) > own {
			return false
		}
	}
	return true
}

// Portion returns how many of the units of a thing belong to the node: the whole part of its share, and
// one of those that are left over if its score for the thing is among the best.
func (s *Shares) Portion(thing uint64, units int) int {
	whole := func(index int) float64 { return math.Floor(s.weights[index] / s.total * float64(units)) }
	left := float64(units)
	for i := range s.members {
		left -= whole(i)
	}
	own, better := s.remainderScore(s.ownIndex, thing, units), 0.0
	for i := range s.members {
		if i != s.ownIndex && s.remainderScore(i, thing, units) > own {
			better++
		}
	}
	portion := int(whole(s.ownIndex))
	if better < left {
		portion++
	}
	return portion
}

// remainderScore is a member's score for a unit that is left over; it is higher the larger the
// fraction is by which its whole units fall short of its share.
func (s *Shares) remainderScore(index int, thing uint64, units int) float64 {
	share := s.weights[index] / s.total * float64(units)
	fraction := max(share-math.Floor(share), minFraction)
	return math.Log(Fraction(Mix(thing^s.members[index].hash))) / fraction
}

// minFraction keeps scores finite.
const minFraction = 1e-9

// Owner returns the member that owns a unit.
func (s *Shares) Owner(unit uint64) qf.NodeID {
	best := 0
	for i := range s.members {
		if s.score(i, unit) > s.score(best, unit) {
			best = i
		}
	}
	return s.members[best].id
}

// score is distributed such that the highest one belongs to a member with a probability
// proportional to its weight.
func (s *Shares) score(index int, unit uint64) float64 {
	drawn := Fraction(Mix(unit ^ s.members[index].hash))
	if s.isEven {
		return drawn
	}
	return math.Log(drawn) / s.weights[index]
}

// Refresh is how long shares are kept while demand changes.
const Refresh = 400 * time.Millisecond

// Of returns the shares of an entry, or nil while this node isn't among the known members.
func (t *Table) Of(now time.Time, entry qf.EntryName) *Shares {
	if s := t.shares[entry]; s != nil && now.Sub(s.builtAt) < Refresh {
		return s
	}
	s := &Shares{members: t.members, weights: make([]float64, len(t.members)), ownIndex: -1, isEven: true, builtAt: now}
	for i := range t.members {
		if t.members[i].id == t.self {
			s.ownIndex = i
		}
		s.weights[i] = t.demands.weight(now, entry, t.members[i].id)
		s.total += s.weights[i]
		s.isEven = s.isEven && s.weights[i] == s.weights[0]
	}
	if s.ownIndex < 0 {
		return nil
	}
	t.shares[entry] = s
	return s
}

// Fraction maps a hash to a number between 0 and 1, both excluded.
func Fraction(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// Mix spreads the bits of a number over all bits, like the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
