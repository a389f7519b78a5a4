// Package qffleet plans which VMs to start and to drain, so that the latency target
// holds at the least cost, also after the loss of any one availability zone. It does
// no I/O and reads no clock.
package qffleet

import (
	"math"
	"sort"
	"time"

	"quetzalfront/internal/qf"
)

// Offer is a class of VMs that can be bought in a zone.
type Offer struct {
	AvailabilityZone qf.AvailabilityZone
	Class            qf.VMClass
	// PerHour is the price in thousandths of the currency unit.
	PerHour float64
	// ReclaimsPerHour is the observed rate at which one VM of the offer is
	// reclaimed.
	ReclaimsPerHour float64
}

// effectivePrice returns the price with the cost of reclaims: while a reclaimed VM
// is replaced, its work is lost and has to be paid for twice.
func (o *Offer) effectivePrice(startTakes time.Duration) float64 {
	return o.PerHour * (1 + o.ReclaimsPerHour*startTakes.Hours())
}

// OfferCount is a number of VMs of one offer.
type OfferCount struct {
	Offer Offer
	VMs   int
}

// Need holds the requirements of an entry.
type Need struct {
	// Replicas is the number of VMs at which the latency target holds.
	Replicas int
	// StartTakes is the time from the order of a VM to its first request.
	StartTakes time.Duration
	// MinOnDemand is the least number of on-demand VMs, which aren't reclaimed.
	MinOnDemand int
	// MaxPerHour bounds the price of a VM; 0 means no bound.
	MaxPerHour float64
}

// Spread chooses the cheapest counts such that Need.Replicas remain after the loss
// of any one zone. With a single zone it meets Need.Replicas only without such a
// loss. The second result is false if the offers can't meet the need.
func Spread(need Need, offers []Offer) ([]OfferCount, bool) {
	zones := cheapestByZone(need, offers)
	if len(zones) == 0 || need.Replicas <= 0 {
		return nil, need.Replicas <= 0
	}
	if len(zones) == 1 {
		return withOnDemand(need, offers, []OfferCount{{Offer: zones[0], VMs: need.Replicas}}), false
	}
	best := cheapestSpread(need, zones)
	return withOnDemand(need, offers, best), true
}

// cheapestByZone returns the cheapest offer of each zone, cheapest zone first. Ties
// are broken by the zone's name, so that a plan doesn't change without cause.
func cheapestByZone(need Need, offers []Offer) []Offer {
	best := map[qf.AvailabilityZone]Offer{}
	for _, o := range offers {
		if need.MaxPerHour > 0 && o.PerHour > need.MaxPerHour {
			continue
		}
		known, ok := best[o.AvailabilityZone]
		if !ok || o.effectivePrice(need.StartTakes) < known.effectivePrice(need.StartTakes) {
			best[o.AvailabilityZone] = o
		}
	}
	zones := make([]Offer, 0, len(best))
	for _, o := range best {
		zones = append(zones, o)
	}
	sort.Slice(zones, func(i, j int) bool {
		a, b := zones[i].effectivePrice(need.StartTakes), zones[j].effectivePrice(need.StartTakes)
		if a != b {
			return a < b
		}
		return zones[i].AvailabilityZone < zones[j].AvailabilityZone
	})
	return zones
}

// cheapestSpread tries each size of the largest zone. If that has m VMs, the other
// zones need Replicas together, so the cheapest zones are filled up to m each until
// Replicas + m are placed.
func cheapestSpread(need Need, zones []Offer) []OfferCount {
	bestCost := math.Inf(1)
	var best []OfferCount
	smallest := (need.Replicas + len(zones) - 2) / (len(zones) - 1)
	for m := smallest; m <= need.Replicas; m++ {
		counts, cost := fill(need, zones, m)
		if cost < bestCost {
			bestCost, best = cost, counts
		}
	}
	return best
}

// fill places Replicas + largest VMs, at most largest in each zone, in the cheapest
// zones first, and returns their cost.
func fill(need Need, zones []Offer, largest int) ([]OfferCount, float64) {
	left := need.Replicas + largest
	cost := 0.0
	var counts []OfferCount
	for i := range zones {
		n := min(left, largest)
		if n == 0 {
			break
		}
		counts = append(counts, OfferCount{Offer: zones[i], VMs: n})
		cost += float64(n) * zones[i].effectivePrice(need.StartTakes)
		left -= n
	}
	return counts, cost
}

// withOnDemand replaces reclaimable VMs by on-demand ones, where that costs least,
// until there are MinOnDemand.
func withOnDemand(need Need, offers []Offer, counts []OfferCount) []OfferCount {
	missing := need.MinOnDemand
	for _, c := range counts {
		if c.Offer.Class == qf.ClassOnDemand {
			missing -= c.VMs
		}
	}
	for missing > 0 {
		i, replacement, ok := cheapestSwap(need, offers, counts)
		if !ok {
			return counts
		}
		n := min(missing, counts[i].VMs)
		counts[i].VMs -= n
		counts = append(counts, OfferCount{Offer: replacement, VMs: n})
		missing -= n
	}
	return nonZero(counts)
}

// cheapestSwap returns the reclaimable count whose replacement by an on-demand offer
// of its zone costs least.
func cheapestSwap(need Need, offers []Offer, counts []OfferCount) (index int, replacement Offer, ok bool) {
	least := math.Inf(1)
	for i := range counts {
		if counts[i].Offer.Class == qf.ClassOnDemand || counts[i].VMs == 0 {
			continue
		}
		for _, o := range offers {
			if o.Class != qf.ClassOnDemand || o.AvailabilityZone != counts[i].Offer.AvailabilityZone {
				continue
			}
			if need.MaxPerHour > 0 && o.PerHour > need.MaxPerHour {
				continue
			}
			extra := o.PerHour - counts[i].Offer.effectivePrice(need.StartTakes)
			if extra < least {
				least, index, replacement, ok = extra, i, o, true
			}
		}
	}
	return index, replacement, ok
}

func nonZero(counts []OfferCount) []OfferCount {
	kept := counts[:0]
	for _, c := range counts {
		if c.VMs > 0 {
			kept = append(kept, c)
		}
	}
	return kept
}
