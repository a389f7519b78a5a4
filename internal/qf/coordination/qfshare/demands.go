package qfshare

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// demandMemory is the time constant with which a node's own demand is averaged.
	demandMemory = 4 * time.Second
	// demandExpiry is the age at which a report of demand is dropped.
	demandExpiry = 6 * time.Second
	// leastDemand is the demand, as a part of the average, with which each member counts at least.
	leastDemand = 0.02
	// reportStep is the factor by which a demand changes until it is reported anew.
	reportStep = 1.5
)

// demands holds how many requests a second the nodes would send to an entry's endpoints.
type demands struct {
	own map[qf.EntryName]*ownDemand
	// reported holds the last reports, those of this node included: it counts with the demand that
	// the others know.
	reported map[qf.EntryName]map[qf.NodeID]reportedDemand
}

type ownDemand struct {
	// perSecond decays with demandMemory since at.
	perSecond float64
	at        time.Time
	// reported is the demand that was last reported.
	reported float64
}

type reportedDemand struct {
	perSecond float64
	at        time.Time
}

func newDemands() demands {
	return demands{own: map[qf.EntryName]*ownDemand{}, reported: map[qf.EntryName]map[qf.NodeID]reportedDemand{}}
}

func (d *ownDemand) decayed(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(now.Sub(d.at), 0).Seconds()/demandMemory.Seconds())
}

// weight returns a member's weight: its reported demand, or the average of those that reported.
func (d *demands) weight(now time.Time, entry qf.EntryName, node qf.NodeID) float64 {
	total, count := 0.0, 0
	for _, report := range d.reported[entry] {
		if now.Sub(report.at) < demandExpiry {
			total += report.perSecond
			count++
		}
	}
	if total == 0 {
		return 1
	}
	average := total / float64(count)
	report, ok := d.reported[entry][node]
	if !ok || now.Sub(report.at) >= demandExpiry {
		return average
	}
	return max(report.perSecond, leastDemand*average)
}

// RecordDemand counts a request that is to be sent to an endpoint of an entry.
func (t *Table) RecordDemand(now time.Time, entry qf.EntryName) {
	d := t.demands.own[entry]
	if d == nil {
		d = &ownDemand{at: now}
		t.demands.own[entry] = d
	}
	d.perSecond = d.decayed(now) + 1/demandMemory.Seconds()
	d.at = now
}

// ReportDemands returns the node's own demand for entries. The node counts with it from now on, like at the
// others.
func (t *Table) ReportDemands(now time.Time, entries []qf.EntryName) []qf.EntryDemand {
	list := make([]qf.EntryDemand, len(entries))
	for i, name := range entries {
		list[i].Entry = name
		if d := t.demands.own[name]; d != nil {
			list[i].PerSecond = d.reportable(now)
		}
	}
	t.MergeDemands(now, t.self, list)
	return list
}

// reportable returns the demand to report: the last one, until it has changed by more than
// reportStep. Small changes move no shares.
func (d *ownDemand) reportable(now time.Time) float64 {
	present := d.decayed(now)
	if present > d.reported*reportStep || present < d.reported/reportStep {
		d.reported = present
	}
	return d.reported
}

// MergeDemands records a node's report.
func (t *Table) MergeDemands(now time.Time, node qf.NodeID, list []qf.EntryDemand) {
	for i := range list {
		entry := list[i].Entry
		if t.demands.reported[entry] == nil {
			t.demands.reported[entry] = map[qf.NodeID]reportedDemand{}
		}
		t.demands.reported[entry][node] = reportedDemand{perSecond: max(list[i].PerSecond, 0), at: now}
	}
}
