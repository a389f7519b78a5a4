package qffleet

import (
	"sort"
	"time"

	"quetzalfront/internal/qf"
)

// WeightLoad is one load of model weights onto a VM.
type WeightLoad struct {
	VM      qf.VMID
	Entry   qf.EntryName
	Version qf.Version
	Bytes   uint64
	// Urgency is the number of requests a second that wait for the replica.
	Urgency float64
}

// ScheduledLoad is a load with its begin and end at the rate of the object store.
type ScheduledLoad struct {
	Load  WeightLoad
	Begin time.Time
	End   time.Time
}

// ScheduleLoads orders loads so that the rate of the object store is never exceeded:
// those with the most waiting requests for each byte go first. The loads run one
// after another, because sharing the rate would delay the first without making the
// last any earlier.
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
