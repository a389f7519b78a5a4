package qffleet

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

// rateDecayTime is the time after which the weight of an observation has fallen to
// 1/e.
const rateDecayTime = 6 * time.Hour

// ReclaimRates estimates how often a VM of each zone and class is reclaimed:
// observed reclaims divided by observed VM hours, with exponential decay of both.
type ReclaimRates struct {
	at        time.Time
	offers    map[offerKey]*exposure
	reclaimed map[qf.VMID]qf.Incarnation
}

type exposure struct {
	vmHours  float64
	reclaims float64
}

// NewReclaimRates returns rates without observations.
func NewReclaimRates() *ReclaimRates {
	return &ReclaimRates{offers: map[offerKey]*exposure{}, reclaimed: map[qf.VMID]qf.Incarnation{}}
}

// Observe records the VMs at one time.
func (r *ReclaimRates) Observe(now time.Time, vms []qf.VM) {
	passed := time.Duration(0)
	if !r.at.IsZero() {
		passed = now.Sub(r.at)
	}
	r.at = now
	r.decay(passed)
	seen := map[qf.VMID]bool{}
	for i := range vms {
		vm := &vms[i]
		seen[vm.ID] = true
		e := r.exposureOf(keyOf(vm))
		e.vmHours += passed.Hours()
		if vm.State == qf.VMLeaving && r.reclaimed[vm.ID] != vm.Incarnation {
			r.reclaimed[vm.ID] = vm.Incarnation
			e.reclaims++
		}
	}
	for id := range r.reclaimed {
		if !seen[id] {
			delete(r.reclaimed, id)
		}
	}
}

func (r *ReclaimRates) decay(passed time.Duration) {
	keep := math.Exp(-passed.Hours() / rateDecayTime.Hours())
	for _, e := range r.offers {
		e.vmHours *= keep
		e.reclaims *= keep
	}
}

func (r *ReclaimRates) exposureOf(key offerKey) *exposure {
	e := r.offers[key]
	if e == nil {
		e = &exposure{}
		r.offers[key] = e
	}
	return e
}

// PerHour returns the reclaims per hour of one VM. An hour without reclaims is
// assumed before the first observation.
func (r *ReclaimRates) PerHour(zone qf.AvailabilityZone, class qf.VMClass) float64 {
	e := r.offers[offerKey{zone: zone, class: class}]
	if e == nil {
		return 0
	}
	return e.reclaims / (e.vmHours + 1)
}
