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
