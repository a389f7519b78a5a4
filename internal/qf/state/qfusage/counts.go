// Package qfusage counts how many requests of each organisation began to run in each
// window of time, at this node and at all others, and decides which windows to report.
package qfusage

import (
	"time"

	"quetzalfront/internal/qf"
)

// Counter holds the counts of the last windows. It isn't safe for concurrent use.
type Counter struct {
	window time.Duration
	keep   int64
	// own and heard are bounded by the windows that are kept.
	own    map[cell]int
	heard  map[heardCell]int
	newest int64
}

type cell struct {
	window       int64
	organisation qf.Organisation
}

// heardCell is what one group of nodes has counted. The counts of a group may come
// from several nodes; the highest is the most complete.
type heardCell struct {
	group group
	cell
}

// group names the nodes that a tally covers. Node and Incarnation are set for tallies
// of one node, Zone for those of a zone.
type group struct {
	scope       qf.TallyScope
	node        qf.NodeID
	incarnation qf.Incarnation
	zone        qf.AvailabilityZone
}

// New returns empty counts. Windows are kept for some time after their end.
func New(window, keepFor time.Duration) *Counter {
	return &Counter{window: window, keep: int64(keepFor/window) + 1, own: map[cell]int{}, heard: map[heardCell]int{}}
}

// Window returns the number of the window that holds a time.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.window) }

// WindowEnd returns when a window ends.
func (c *Counter) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.window)) }

// CountRequest counts a request of this node.
func (c *Counter) CountRequest(at time.Time, organisation qf.Organisation) {
	window := c.Window(at)
	c.own[cell{window, organisation}]++
	c.advance(window)
}

// advance forgets old windows when a new one begins.
func (c *Counter) advance(window int64) {
	if window <= c.newest {
		return
	}
	c.newest = window
	for k := range c.own {
		if k.window < window-c.keep {
			delete(c.own, k)
		}
	}
	for k := range c.heard {
		if k.window < window-c.keep {
			delete(c.heard, k)
		}
	}
}

// MergeTally takes a tally. Counts only rise.
func (c *Counter) MergeTally(from qf.TallySource, counts []qf.UsageCount) {
	g := group{scope: from.Scope}
	switch from.Scope {
	case qf.TallyOwn:
		g.node, g.incarnation = from.Node, from.Incarnation
	case qf.TallyZone:
		g.zone = from.Zone
	}
	for i := range counts {
		u := &counts[i]
		k := heardCell{g, cell{u.Window, u.Organisation}}
		c.heard[k] = max(c.heard[k], u.Count)
		c.advance(u.Window)
	}
}

// BuildTally returns the counts, of the windows that hold or follow a time, of the nodes
// that a tally to a node covers.
func (c *Counter) BuildTally(since time.Time, scope qf.TallyScope, to qf.NodeID) []qf.UsageCount {
	first := c.Window(since)
	sums := map[cell]int{}
	for k, count := range c.own {
		if k.window >= first {
			sums[k] += count
		}
	}
	for k, count := range c.heard {
		isCovered := scope != qf.TallyOwn && k.group.scope == qf.TallyOwn || scope == qf.TallyRest && k.group.scope == qf.TallyZone
		if k.window >= first && isCovered && k.group.node != to {
			sums[k.cell] += count
		}
	}
	tally := make([]qf.UsageCount, 0, len(sums))
	for k, count := range sums {
		tally = append(tally, qf.UsageCount{Window: k.window, Organisation: k.organisation, Count: count})
	}
	return tally
}

// Total returns the counts of a window over all nodes that were heard, be it one by one
// or through a relay.
func (c *Counter) Total(window int64) map[qf.Organisation]int {
	total, others, rest := map[qf.Organisation]int{}, map[qf.Organisation]int{}, map[qf.Organisation]int{}
	for k, count := range c.own {
		if k.window == window {
			total[k.organisation] += count
		}
	}
	for k, count := range c.heard {
		switch {
		case k.window != window:
		case k.group.scope == qf.TallyRest:
			rest[k.organisation] = max(rest[k.organisation], count)
		default:
			others[k.organisation] += count
		}
	}
	for organisation, count := range rest {
		others[organisation] = max(others[organisation], count)
	}
	for organisation, count := range others {
		total[organisation] += count
	}
	return total
}
