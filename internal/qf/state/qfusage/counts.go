// Package qfusage counts how many requests of each organisation started in each time
// window, at this node and at all others, and decides which windows to report.
package qfusage

import (
	"time"

	"quetzalfront/internal/qf"
)

// Counter holds the counts of the latest windows. It isn't safe for concurrent use.
type Counter struct {
	// zone is the node's own: a relay sums its zone's nodes, and may have received counts of others.
	zone   qf.AvailabilityZone
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
// of one node, Zone for these and for those of a zone.
type group struct {
	scope       qf.TallyScope
	node        qf.NodeID
	incarnation qf.Incarnation
	zone        qf.AvailabilityZone
}

// New returns an empty counter of a node in a zone. Windows are kept for keepFor after their end.
func New(zone qf.AvailabilityZone, window, keepFor time.Duration) *Counter {
	return &Counter{zone: zone, window: window, keep: int64(keepFor/window) + 1, own: map[cell]int{}, reported: map[reportedCell]int{}}
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
		g.node, g.incarnation, g.zone = from.Node, from.Incarnation, from.Zone
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

// BuildTally returns the counts to send to a run of a node: those of the nodes that the scope
// covers, from the window that contains the given time on. The counts of its earlier runs are among them.
func (c *Counter) BuildTally(since time.Time, scope qf.TallyScope, to *qf.Node) []qf.UsageCount {
	first := c.Window(since)
	isIn := func(window int64) bool { return window >= first }
	sums := map[cell]int{}
	for k, count := range c.own {
		if isIn(k.window) {
			sums[k] += count
		}
	}
	for k, count := range c.sumOthers(isIn, to) {
		if scope == qf.TallyRest || scope == qf.TallyZone && k.zone == c.zone {
			sums[k.cell] += count
		}
	}
	tally := make([]qf.UsageCount, 0, len(sums))
	for k, count := range sums {
		tally = append(tally, qf.UsageCount{Window: k.window, Organisation: k.organisation, Count: count})
	}
	return tally
}

// zoneCell is a count of the other nodes of a zone.
type zoneCell struct {
	zone qf.AvailabilityZone
	cell
}

// sumOthers returns the counts of the other nodes by zone, without one run of a node: those of single nodes, or the
// sum that the zone's relay has sent if it is higher. Neither contains the other.
func (c *Counter) sumOthers(isIn func(window int64) bool, without *qf.Node) map[zoneCell]int {
	sums, relayed := map[zoneCell]int{}, map[zoneCell]int{}
	for k, count := range c.reported {
		if !isIn(k.window) {
			continue
		}
		of := zoneCell{k.group.zone, k.cell}
		isWithout := without != nil && k.group.node == without.ID && k.group.incarnation == without.Incarnation
		switch {
		case k.group.scope == qf.TallyZone:
			relayed[of] = count
		case k.group.scope == qf.TallyOwn && !isWithout:
			sums[of] += count
		}
	}
	for of, count := range relayed {
		sums[of] = max(sums[of], count)
	}
	return sums
}

// Total returns the counts of a window, summed over all nodes whose tallies were received
// directly or through a relay.
func (c *Counter) Total(window int64) map[qf.Organisation]int {
	isIn := func(w int64) bool { return w == window }
	total, others := map[qf.Organisation]int{}, map[qf.Organisation]int{}
	for k, count := range c.sumOthers(isIn, nil) {
		others[k.organisation] += count
	}
	for k, count := range c.reported {
		if isIn(k.window) && k.group.scope == qf.TallyRest {
			others[k.organisation] = max(others[k.organisation], count)
		}
	}
	for k, count := range c.own {
		if isIn(k.window) {
			total[k.organisation] += count
		}
	}
	for organisation, count := range others {
		total[organisation] += count
	}
	return total
}
