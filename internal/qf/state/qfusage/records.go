package qfusage

import (
	"time"

	"quetzalfront/internal/qf"
)

// ListRecords returns the counts of single nodes, this one included, from the window that contains the given
// time on. A node that has started a short time ago needs them: it may have to report these windows, or to sum
// them for others, and the runs that have ended don't send theirs again.
func (c *Counter) ListRecords(since time.Time, self *qf.Node) []qf.UsageRecord {
	first := c.Window(since)
	var records []qf.UsageRecord
	add := func(of group, k cell, count int) {
		if k.window >= first {
			usage := qf.UsageCount{Window: k.window, Organisation: k.organisation, Count: count}
			records = append(records, qf.UsageRecord{Node: of.node, Incarnation: of.incarnation, Zone: of.zone, UsageCount: usage})
		}
	}
	own := group{scope: qf.TallyOwn, node: self.ID, incarnation: self.Incarnation, zone: self.AvailabilityZone}
	for k, count := range c.own {
		add(own, k, count)
	}
	for k, count := range c.reported {
		if k.group.scope == qf.TallyOwn {
			add(k.group, k.cell, count)
		}
	}
	return records
}

// MergeRecords merges the counts of single nodes that another node has recorded.
func (c *Counter) MergeRecords(self *qf.Node, records []qf.UsageRecord) {
	for i := range records {
		r := &records[i]
		if r.Node == self.ID && r.Incarnation == self.Incarnation {
			continue
		}
		source := qf.TallySource{Node: r.Node, Incarnation: r.Incarnation, Zone: r.Zone, Scope: qf.TallyOwn}
		c.MergeTally(source, []qf.UsageCount{r.UsageCount})
	}
}
