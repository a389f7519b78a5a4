package qfrate

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
func (l *Limiter) RecordDemand(now time.Time, entry qf.EntryName) {
	d := l.demands.own[entry]
	if d == nil {
		d = &ownDemand{at: now}
		l.demands.own[entry] = d
	}
	d.perSecond = d.decayed(now) + 1/demandMemory.Seconds()
	d.at = now
}

// ReportDemands returns the node's own demand for the entries whose endpoints state rates.
func (l *Limiter) ReportDemands(now time.Time) []qf.EntryDemand {
	var list []qf.EntryDemand
	for _, e := range l.endpoints {
		if e.rate == 0 || hasDemand(list, e.entry) {
			continue
		}
		report := qf.EntryDemand{Entry: e.entry}
		if d := l.demands.own[e.entry]; d != nil {
			report.PerSecond = d.decayed(now)
		}
		list = append(list, report)
	}
	l.MergeDemands(now, l.self, list)
	return list
}

func hasDemand(list []qf.EntryDemand, entry qf.EntryName) bool {
	for i := range list {
		if list[i].Entry == entry {
			return true
		}
	}
	return false
}

// MergeDemands records a node's report.
func (l *Limiter) MergeDemands(now time.Time, node qf.NodeID, list []qf.EntryDemand) {
	for i := range list {
		entry := list[i].Entry
		if l.demands.reported[entry] == nil {
			l.demands.reported[entry] = map[qf.NodeID]reportedDemand{}
		}
		l.demands.reported[entry][node] = reportedDemand{perSecond: max(list[i].PerSecond, 0), at: now}
	}
}
