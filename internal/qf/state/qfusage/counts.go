// Package qfusage counts how many requests of each organisation began to run in each
// window of time, at this node and at its peers.
package qfusage

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// Counts holds the counts of the last windows. It isn't safe for concurrent use.
type Counts struct {
	self   qf.Node
	window time.Duration
	keep   int64
	// counts is bounded by the windows that are kept.
	counts map[key]int
	newest int64
}

type key struct {
	node         qf.NodeID
	incarnation  qf.Incarnation
	window       int64
	organisation qf.Organisation
}

// New returns empty counts. Windows are kept for some time after their end.
func New(self qf.Node, window, keepFor time.Duration) *Counts {
	return &Counts{self: self, window: window, keep: int64(keepFor/window) + 1, counts: map[key]int{}}
}

// Window returns the number of the window that holds a time.
func (c *Counts) Window(at time.Time) int64 { return at.UnixNano() / int64(c.window) }

// End returns when a window ends.
func (c *Counts) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.window)) }

// Began counts a request of this node.
func (c *Counts) Began(at time.Time, organisation qf.Organisation) {
	window := c.Window(at)
	c.counts[key{c.self.ID, c.self.Incarnation, window, organisation}]++
	c.advance(window)
}

// Heard takes what a run of a peer has counted. Counts only rise.
func (c *Counts) Heard(counts []qf.UsageCount) {
	for i := range counts {
		u := &counts[i]
		k := key{u.Node, u.Incarnation, u.Window, u.Organisation}
		c.counts[k] = max(c.counts[k], u.Count)
	}
}

// advance forgets old windows when a new one begins.
func (c *Counts) advance(window int64) {
	if window <= c.newest {
		return
	}
	c.newest = window
	for k := range c.counts {
		if k.window < window-c.keep {
			delete(c.counts, k)
		}
	}
}

// Own returns this node's counts of the windows that hold or follow a time.
func (c *Counts) Own(since time.Time) []qf.UsageCount {
	first := c.Window(since)
	var own []qf.UsageCount
	for k, count := range c.counts {
		if k.node != c.self.ID || k.incarnation != c.self.Incarnation || k.window < first {
			continue
		}
		own = append(own, qf.UsageCount{
			Node: k.node, Incarnation: k.incarnation, Window: k.window, Organisation: k.organisation, Count: count,
		})
	}
	slices.SortFunc(own, func(a, b qf.UsageCount) int { return int(a.Window - b.Window) })
	return own
}

// Total returns the counts of a window over all nodes that were heard.
func (c *Counts) Total(window int64) map[qf.Organisation]int {
	total := map[qf.Organisation]int{}
	for k, count := range c.counts {
		if k.window == window {
			total[k.organisation] += count
		}
	}
	return total
}
