package qfrate

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// shares are the members' parts of the rates of an entry's endpoints.
type shares struct {
	members []member
	// weights are parallel to members; total is their sum, and ownIndex the node's own.
	weights  []float64
	total    float64
	ownIndex int
	// isEven is true if all weights are equal.
	isEven  bool
	builtAt time.Time
}

// own returns the node's own part.
func (s *shares) own() float64 { return s.weights[s.ownIndex] / s.total }

// isOwn reports whether a turn belongs to the node. Of all members, the one with the best score
// for the turn owns it.
func (s *shares) isOwn(turn uint64) bool {
	own := s.score(s.ownIndex, turn)
	for i := range s.members {
		if i != s.ownIndex && s.score(i, turn) > own {
			return false
		}
	}
	return true
}

// score is distributed such that the highest one belongs to a member with a probability
// proportional to its weight.
func (s *shares) score(index int, turn uint64) float64 {
	drawn := unit(mix(turn ^ s.members[index].hash))
	if s.isEven {
		return drawn
	}
	return math.Log(drawn) / s.weights[index]
}

// sharesRefresh is how long shares are kept while demand changes.
const sharesRefresh = 400 * time.Millisecond

// sharesOf returns the shares of an entry, or nil while this node isn't among the known members.
func (l *Limiter) sharesOf(now time.Time, entry qf.EntryName) *shares {
	if s := l.shares[entry]; s != nil && now.Sub(s.builtAt) < sharesRefresh {
		return s
	}
	s := &shares{members: l.members, weights: make([]float64, len(l.members)), ownIndex: -1, isEven: true, builtAt: now}
	for i := range l.members {
		if l.members[i].id == l.self {
			s.ownIndex = i
		}
		s.weights[i] = l.demands.weight(now, entry, l.members[i].id)
		s.total += s.weights[i]
		s.isEven = s.isEven && s.weights[i] == s.weights[0]
	}
	if s.ownIndex < 0 {
		return nil
	}
	l.shares[entry] = s
	return s
}

// unit maps a hash to a number between 0 and 1, both excluded.
func unit(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// mix spreads the bits of a number over all bits, like the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
