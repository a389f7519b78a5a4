// Package qftally sums the counters of all nodes from the tallies that they send each
// other. It does no I/O and reads no clock.
package qftally

import "quetzalfront/internal/qf"

// Counters holds counters by key. Each node's own counters only grow. Of a counter that
// another node reports, only the increase is added, so that lost and repeated messages
// change nothing. It isn't safe for concurrent use.
type Counters[K comparable] struct {
	own     map[K]uint64
	sources map[qf.NodeID]*source[K]
}

// source is a node from which a tally was received.
type source[K comparable] struct {
	qf.TallySource
	// reported holds the highest count received for each key, counted the part of it
	// that is included in the totals.
	reported, counted map[K]uint64
}

// New returns counters without counts.
func New[K comparable]() *Counters[K] {
	return &Counters[K]{own: map[K]uint64{}, sources: map[qf.NodeID]*source[K]{}}
}

// Add increases a counter of this node.
func (c *Counters[K]) Add(key K, count uint64) { c.own[key] += count }

// MergeCount merges one counter of a received tally. If the source reports for other nodes
// too and isn't the only source, the first count that it reports of a key in this scope is
// not added, because another node may have reported it already.
func (c *Counters[K]) MergeCount(from *qf.TallySource, key K, count uint64) {
	src := c.sources[from.Node]
	if src == nil || src.Incarnation != from.Incarnation || src.Scope != from.Scope {
		src = &source[K]{reported: map[K]uint64{}, counted: map[K]uint64{}}
		c.sources[from.Node] = src
	}
	src.TallySource = *from
	before, wasReported := src.reported[key]
	if count <= before {
		return
	}
	src.reported[key] = count
	if wasReported || from.Scope == qf.TallyOwn || len(c.sources) == 1 {
		src.counted[key] += count - before
	}
}

// EachCount calls a function with each counter, summed over the nodes that a tally sent to
// a node covers.
func (c *Counters[K]) EachCount(scope qf.TallyScope, to qf.NodeID, do func(key K, count uint64)) {
	total := map[K]uint64{}
	for key, count := range c.own {
		total[key] += count
	}
	for id, src := range c.sources {
		if id == to || !scope.Includes(src.Scope) {
			continue
		}
		for key, count := range src.counted {
			total[key] += count
		}
	}
	for key, count := range total {
		do(key, count)
	}
}

// Total returns a counter, summed over all nodes.
func (c *Counters[K]) Total(key K) uint64 {
	total := c.own[key]
	for _, src := range c.sources {
		total += src.counted[key]
	}
	return total
}

// Keys returns the keys that any node has counted.
func (c *Counters[K]) Keys() []K {
	seen := map[K]bool{}
	for key := range c.own {
		seen[key] = true
	}
	for _, src := range c.sources {
		for key := range src.counted {
			seen[key] = true
		}
	}
	keys := make([]K, 0, len(seen))
	for key := range seen {
		keys = append(keys, key)
	}
	return keys
}

// Prune deletes the counters whose keys are old.
func (c *Counters[K]) Prune(isOld func(K) bool) {
	drop := func(counts map[K]uint64) {
		for key := range counts {
			if isOld(key) {
				delete(counts, key)
			}
		}
	}
	drop(c.own)
	for _, src := range c.sources {
		drop(src.reported)
		drop(src.counted)
	}
}
