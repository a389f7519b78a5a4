package qffleet

import (
	"sort"
	"time"

	"quetzalfront/internal/qf"
)

// Load is one load of weights that is wanted.
type Load struct {
	VM      qf.VMID
	Entry   qf.EntryName
	Version qf.Version
	Bytes   uint64
	// Urgency is the number of requests a second that wait for the replica.
	Urgency float64
}

// Scheduled is a load with the time at which the store's rate lets it begin and
// end.
type Scheduled struct {
	Load  Load
	Begin time.Time
	End   time.Time
}

// Schedule orders loads so that the store's rate is never exceeded: those that
// free the most waiting requests for each byte go first. The loads run one after
// another, because sharing the rate would delay the first without helping the
// last.
func Schedule(now time.Time, loads []Load, bytesPerSecond float64) []Scheduled {
	order := append([]Load(nil), loads...)
	sort.SliceStable(order, func(i, j int) bool {
		return order[i].Urgency*float64(order[j].Bytes) > order[j].Urgency*float64(order[i].Bytes)
	})
	schedule := make([]Scheduled, 0, len(order))
	at := now
	for _, load := range order {
		end := at.Add(time.Duration(float64(load.Bytes) / bytesPerSecond * float64(time.Second)))
		schedule = append(schedule, Scheduled{Load: load, Begin: at, End: end})
		at = end
	}
	return schedule
}
