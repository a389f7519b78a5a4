package qffleet

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// rateMemory is the time after which an observation counts 1/e.
const rateMemory = 6 * time.Hour

// ReclaimRates estimates how often a VM of each zone and class is reclaimed:
// reclaims seen divided by VM hours seen, both fading with age.
type ReclaimRates struct {
	at      time.Time
	offers  map[offerKey]*exposure
	leaving map[qf.VMID]qf.Incarnation
}

type exposure struct {
	vmHours  float64
	reclaims float64
}

// NewReclaimRates returns rates without observations.
func NewReclaimRates() *ReclaimRates {
	return &ReclaimRates{offers: map[offerKey]*exposure{}, leaving: map[qf.VMID]qf.Incarnation{}}
}

// Observe takes the VMs of one moment.
func (r *ReclaimRates) Observe(now time.Time, vms []qf.VM) {
	passed := time.Duration(0)
	if !r.at.IsZero() {
		passed = now.Sub(r.at)
	}
	r.at = now
	r.fade(passed)
	seen := map[qf.VMID]bool{}
	for i := range vms {
		vm := &vms[i]
		seen[vm.ID] = true
		e := r.of(keyOf(vm))
		e.vmHours += passed.Hours()
		if vm.State == qf.VMLeaving && r.leaving[vm.ID] != vm.Incarnation {
			r.leaving[vm.ID] = vm.Incarnation
			e.reclaims++
		}
	}
	for id := range r.leaving {
		if !seen[id] {
			delete(r.leaving, id)
		}
	}
}

func (r *ReclaimRates) fade(passed time.Duration) {
	keep := math.Exp(-passed.Hours() / rateMemory.Hours())
	for _, e := range r.offers {
		e.vmHours *= keep
		e.reclaims *= keep
	}
}

func (r *ReclaimRates) of(key offerKey) *exposure {
	e := r.offers[key]
	if e == nil {
		e = &exposure{}
		r.offers[key] = e
	}
	return e
}

// PerHour returns the rate of one VM. An hour without reclaims is assumed before
// anything was seen.
func (r *ReclaimRates) PerHour(zone qf.AvailabilityZone, class qf.VMClass) float64 {
	e := r.offers[offerKey{zone: zone, class: class}]
	if e == nil {
		return 0
	}
	return e.reclaims / (e.vmHours + 1)
}
