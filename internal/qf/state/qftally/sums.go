// Package qftally adds up counters of all nodes from what they tell each other. It does
// no I/O and reads no clock.
package qftally

import "quetzalfront/internal/qf"

// Counters holds counters by key. Each node's own only rise; what others tell is added by
// its rises, so that messages which are lost or come twice change nothing. It isn't safe
// for concurrent use.
type Counters[K comparable] struct {
	own     map[K]uint64
	sources map[qf.NodeID]*source[K]
}

// source is a node whose tally was heard.
type source[K comparable] struct {
	qf.TallySource
	told, heard map[K]uint64
}

// New returns sums without counts.
func New[K comparable]() *Counters[K] {
	return &Counters[K]{own: map[K]uint64{}, sources: map[qf.NodeID]*source[K]{}}
}

// Add counts at this node.
func (s *Counters[K]) Add(key K, count uint64) { s.own[key] += count }

// MergeCount takes a counter of a tally. A source's count before it was first heard with this
// scope is left out if it speaks for others, because another node may have told it.
func (s *Counters[K]) MergeCount(from *qf.TallySource, key K, count uint64) {
	known := s.sources[from.Node]
	if known == nil || known.Incarnation != from.Incarnation || known.Scope != from.Scope {
		known = &source[K]{told: map[K]uint64{}, heard: map[K]uint64{}}
		s.sources[from.Node] = known
	}
	known.TallySource = *from
	before, wasTold := known.told[key]
	if count <= before {
		return
	}
	known.told[key] = count
	if wasTold || from.Scope == qf.TallyOwn || len(s.sources) == 1 {
		known.heard[key] += count - before
	}
}

// EachCount calls a function with the counters of the nodes that a tally to a node covers.
func (s *Counters[K]) EachCount(scope qf.TallyScope, to qf.NodeID, do func(key K, count uint64)) {
	total := map[K]uint64{}
	for key, count := range s.own {
		total[key] += count
	}
	for id, known := range s.sources {
		if id == to || !scope.Includes(known.Scope) {
			continue
		}
		for key, count := range known.heard {
			total[key] += count
		}
	}
	for key, count := range total {
		do(key, count)
	}
}

// Total returns a counter over all nodes.
func (s *Counters[K]) Total(key K) uint64 {
	total := s.own[key]
	for _, known := range s.sources {
		total += known.heard[key]
	}
	return total
}

// Keys returns the keys that were counted anywhere.
func (s *Counters[K]) Keys() []K {
	seen := map[K]bool{}
	for key := range s.own {
		seen[key] = true
	}
	for _, known := range s.sources {
		for key := range known.heard {
			seen[key] = true
		}
	}
	keys := make([]K, 0, len(seen))
	for key := range seen {
		keys = append(keys, key)
	}
	return keys
}

// Prune drops the counters that no longer matter.
func (s *Counters[K]) Prune(isOld func(K) bool) {
	drop := func(counts map[K]uint64) {
		for key := range counts {
			if isOld(key) {
				delete(counts, key)
			}
		}
	}
	drop(s.own)
	for _, known := range s.sources {
		drop(known.told)
		drop(known.heard)
	}
}
