package qffleet

import (
	"sort"
	"time"

	"quetzalfront/internal/qf"
)

// WeightLoad is one load of weights that is wanted.
type WeightLoad struct {
	VM      qf.VMID
	Entry   qf.EntryName
	Version qf.Version
	Bytes   uint64
	// Urgency is the number of requests a second that wait for the replica.
	Urgency float64
}

// ScheduledLoad is a load with the time at which the store's rate lets it begin and
// end.
type ScheduledLoad struct {
	Load  WeightLoad
	Begin time.Time
	End   time.Time
}

// ScheduleLoads orders loads so that the store's rate is never exceeded: those that
// free the most waiting requests for each byte go first. The loads run one after
// another, because sharing the rate would delay the first without helping the
// last.
func ScheduleLoads(now time.Time, loads []WeightLoad, bytesPerSecond float64) []ScheduledLoad {
	order := append([]WeightLoad(nil), loads...)
	sort.SliceStable(order, func(i, j int) bool {
		return order[i].Urgency*float64(order[j].Bytes) > order[j].Urgency*float64(order[i].Bytes)
	})
	schedule := make([]ScheduledLoad, 0, len(order))
	at := now
	for _, load := range order {
		end := at.Add(time.Duration(float64(load.Bytes) / bytesPerSecond * float64(time.Second)))
		schedule = append(schedule, ScheduledLoad{Load: load, Begin: at, End: end})
		at = end
	}
	return schedule
}
