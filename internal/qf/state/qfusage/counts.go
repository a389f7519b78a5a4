// Package qfusage counts how many requests of each organisation started in each time
// window, at this node and at all others, and decides which windows to report.
package qfusage

import (
	"time"

	"quetzalfront/internal/qf"
)

// Counter holds the counts of the latest windows. It isn't safe for concurrent use.
type Counter struct {
	window time.Duration
	keep   int64
	// own holds this node's counts and reported those received from other nodes. Both are
	// bounded by the number of windows that are kept.
	own      map[cell]int
	reported map[reportedCell]int
	newest   int64
}

type cell struct {
	window       int64
	organisation qf.Organisation
}

// reportedCell identifies a count of one group of nodes. Several nodes may report the
// counts of one group; the highest is the most complete.
type reportedCell struct {
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

// New returns an empty counter. Windows are kept for keepFor after their end.
func New(window, keepFor time.Duration) *Counter {
	return &Counter{window: window, keep: int64(keepFor/window) + 1, own: map[cell]int{}, reported: map[reportedCell]int{}}
}

// Window returns the number of the window that contains a time.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.window) }

// WindowEnd returns the time at which a window ends.
func (c *Counter) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.window)) }

// CountRequest counts a request that started at this node.
func (c *Counter) CountRequest(at time.Time, organisation qf.Organisation) {
	window := c.Window(at)
	c.own[cell{window, organisation}]++
	c.advance(window)
}

// advance deletes old windows when a new one begins.
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
	for k := range c.reported {
		if k.window < window-c.keep {
			delete(c.reported, k)
		}
	}
}

// MergeTally merges a tally received from another node. Counts only grow.
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
		k := reportedCell{g, cell{u.Window, u.Organisation}}
		c.reported[k] = max(c.reported[k], u.Count)
		c.advance(u.Window)
	}
}

// BuildTally returns the counts to send to a node: those of the nodes that the scope
// covers, from the window that contains the given time on.
func (c *Counter) BuildTally(since time.Time, scope qf.TallyScope, to qf.NodeID) []qf.UsageCount {
	first := c.Window(since)
	sums := map[cell]int{}
	for k, count := range c.own {
		if k.window >= first {
			sums[k] += count
		}
	}
	for k, count := range c.reported {
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

// Total returns the counts of a window, summed over all nodes whose tallies were received
// directly or through a relay.
func (c *Counter) Total(window int64) map[qf.Organisation]int {
	total, others, rest := map[qf.Organisation]int{}, map[qf.Organisation]int{}, map[qf.Organisation]int{}
	for k, count := range c.own {
		if k.window == window {
			total[k.organisation] += count
		}
	}
	for k, count := range c.reported {
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
