package qffleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// ZonalSettings govern the orders of an entry's endpoints by zone.
type ZonalSettings struct {
	// OnDemandShare is the part of the need that no reclaim may take.
	OnDemandShare float64
	// SettleTime is how long after an order its effect should show, besides the time
	// that an endpoint needs to start; the order is then given again.
	SettleTime time.Duration
	// ExhaustedFor is how long a zone that lost its reclaimable endpoints, or refused some,
	// isn't asked for them.
	ExhaustedFor time.Duration
	// HoldDown is how long a lower need must last before endpoints are given up.
	HoldDown time.Duration
}

// DefaultZonalSettings returns the settings of a node.
func DefaultZonalSettings() ZonalSettings {
	return ZonalSettings{OnDemandShare: 0.25, SettleTime: 3 * time.Second, ExhaustedFor: 6 * time.Second, HoldDown: 8 * time.Second}
}

// ZonalView is what is known of an entry.
type ZonalView struct {
	Now     time.Time
	Scaling *qf.ScalingSettings
	// Needed is the number of endpoints at which the objective holds also after the loss
	// of a zone. Minimum is the least number for which on-demand endpoints are paid.
	Needed, Minimum int
	// Endpoints are those that are listed, with those that leave.
	Endpoints []qf.RegisteredEndpoint

	// present holds what is counted of them.
	present map[qf.AvailabilityZone]*counts
}

// ZonalPlanner orders numbers of endpoints in each zone: reclaimable ones spread over
// all zones that have them, and on-demand ones only where those don't suffice. It does
// no I/O, reads no clock, and isn't safe for concurrent use.
type ZonalPlanner struct {
	settings ZonalSettings
	cells    map[offerKey]*cell
	// needed and enough are the numbers in use.
	needed, enough steadyNumber
}

// steadyNumber follows a number up at once, and down only once it has been lower for some
// time: an order that is taken back before it has taken effect helps nobody.
type steadyNumber struct {
	value int
	// lowSince is when a lower number was first seen; it is zero if the last one wasn't.
	lowSince time.Time
}

func (s *steadyNumber) follow(now time.Time, wanted int, holdDown time.Duration) {
	switch {
	case wanted >= s.value:
		s.value, s.lowSince = wanted, time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
	case now.Sub(s.lowSince) >= holdDown:
		s.value, s.lowSince = wanted, time.Time{}
	}
}

// cell is one class of endpoints in one zone.
type cell struct {
	// ordered is the number that was last asked for; it is negative before the first
	// order. orderedAt is when.
	ordered   int
	orderedAt time.Time
	// isOpen says that it isn't known whether the last order took effect.
	isOpen bool
	// dryUntil is until when none are to be had.
	dryUntil time.Time
}

// ZonalOrder is an order to give, and why.
type ZonalOrder struct {
	Zone    qf.AvailabilityZone
	Class   qf.VMClass
	Desired int
	Reason  string
}

// NewZonalPlanner returns a planner that knows of no orders.
func NewZonalPlanner(settings ZonalSettings) *ZonalPlanner {
	return &ZonalPlanner{settings: settings, cells: map[offerKey]*cell{}}
}

func (p *ZonalPlanner) cell(zone qf.AvailabilityZone, class qf.VMClass) *cell {
	key := offerKey{zone: zone, class: class}
	if p.cells[key] == nil {
		p.cells[key] = &cell{ordered: -1}
	}
	return p.cells[key]
}

// counts are the endpoints of each class in a zone that stay.
type counts struct {
	reclaimable, onDemand int
	// reclaimed counts the reclaimable ones that leave.
	reclaimed int
}

// NextOrder returns the order to give now, if there is one. Endpoints are ordered before
// others are given up.
func (p *ZonalPlanner) NextOrder(view *ZonalView) (ZonalOrder, bool) {
	zones := zonesOf(view.Scaling)
	present := p.count(view)
	view.present = present
	p.needed.follow(view.Now, view.Needed, p.settings.HoldDown)
	p.enough.follow(view.Now, view.Minimum, p.settings.HoldDown)
	plan := p.plan(view, zones)
	p.keepUntilReplaced(plan, present, zones)
	var best *ZonalOrder
	for _, zone := range zones {
		for _, class := range []qf.VMClass{qf.ClassReclaimable, qf.ClassOnDemand} {
			order := p.orderFor(view, zone, class, plan[zone], present[zone])
			if order != nil && (best == nil || isMore(order, present) && !isMore(best, present)) {
				best = order
			}
		}
	}
	if best == nil {
		return ZonalOrder{}, false
	}
	return *best, true
}

// isMore reports whether an order adds endpoints.
func isMore(order *ZonalOrder, present map[qf.AvailabilityZone]*counts) bool {
	return order.Desired > present[order.Zone].of(order.Class)
}

func (c *counts) of(class qf.VMClass) int {
	if class == qf.ClassReclaimable {
		return c.reclaimable
	}
	return c.onDemand
}

// zonesOf returns the zones of an entry, the cheapest first.
func zonesOf(traits *qf.ScalingSettings) []qf.AvailabilityZone {
	zones := make([]qf.AvailabilityZone, 0, len(traits.Prices))
	for zone := range traits.Prices {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b qf.AvailabilityZone) int {
		if traits.Prices[a] != traits.Prices[b] {
			if traits.Prices[a] < traits.Prices[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
	return zones
}

// count counts the endpoints and notes the zones that are being reclaimed.
func (p *ZonalPlanner) count(view *ZonalView) map[qf.AvailabilityZone]*counts {
	present := map[qf.AvailabilityZone]*counts{}
	for zone := range view.Scaling.Prices {
		present[zone] = &counts{}
	}
	for i := range view.Endpoints {
		e := &view.Endpoints[i]
		c := present[e.AvailabilityZone]
		switch {
		case c == nil:
		case e.Leaving && e.LeavesIn > 0 && e.Class == qf.ClassReclaimable:
			c.reclaimed++
		case e.Leaving:
		case e.Class == qf.ClassReclaimable:
			c.reclaimable++
		default:
			c.onDemand++
		}
	}
	for zone, c := range present {
		if c.reclaimed > 0 && c.reclaimable == 0 {
			p.cell(zone, qf.ClassReclaimable).dryUntil = view.Now.Add(p.settings.ExhaustedFor)
		}
	}
	return present
}

// plan spreads the need over the zones: on-demand endpoints only as far as there aren't
// enough reclaimable ones.
func (p *ZonalPlanner) plan(view *ZonalView, zones []qf.AvailabilityZone) map[qf.AvailabilityZone]*counts {
	plan := map[qf.AvailabilityZone]*counts{}
	base := int(math.Ceil(float64(p.needed.value) * p.settings.OnDemandShare))
	for i, zone := range zones {
		plan[zone] = &counts{}
		for onDemand := i; onDemand < base; onDemand += len(zones) {
			plan[zone].onDemand++
		}
	}
	reclaimable := p.spread(view, zones, plan, p.needed.value-base, func(c *counts) *int { return &c.reclaimable },
		func(zone qf.AvailabilityZone) bool { return p.hasReclaimable(view, zone) })
	// What is there counts also in a zone that has no more of them.
	for _, zone := range zones {
		if !p.hasReclaimable(view, zone) {
			plan[zone].reclaimable = view.present[zone].reclaimable
			reclaimable += plan[zone].reclaimable
		}
	}
	// There must be enough also when the next zone loses its reclaimable ones.
	atRisk := 0
	for _, zone := range zones {
		atRisk = max(atRisk, plan[zone].reclaimable)
	}
	p.spread(view, zones, plan, p.enough.value-base-(reclaimable-atRisk), func(c *counts) *int { return &c.onDemand },
		func(qf.AvailabilityZone) bool { return true })
	return plan
}

func (p *ZonalPlanner) hasReclaimable(view *ZonalView, zone qf.AvailabilityZone) bool {
	return view.Scaling.ReclaimablePrice > 0 && !view.Now.Before(p.cell(zone, qf.ClassReclaimable).dryUntil)
}

// spread adds endpoints one by one where there are fewest, up to each zone's bound, and
// returns how many found a place.
func (p *ZonalPlanner) spread(view *ZonalView, zones []qf.AvailabilityZone, plan map[qf.AvailabilityZone]*counts,
	count int, slot func(*counts) *int, mayUse func(qf.AvailabilityZone) bool,
) int {
	for placed := range max(count, 0) {
		var least *counts
		for _, zone := range zones {
			c := plan[zone]
			if !mayUse(zone) || c.reclaimable+c.onDemand >= view.Scaling.Max {
				continue
			}
			if least == nil || c.reclaimable+c.onDemand < least.reclaimable+least.onDemand {
				least = c
			}
		}
		if least == nil {
			return placed
		}
		*slot(least)++
	}
	return max(count, 0)
}

// keepUntilReplaced keeps endpoints that would be given up while those that replace
// them aren't there yet.
func (p *ZonalPlanner) keepUntilReplaced(plan, present map[qf.AvailabilityZone]*counts, zones []qf.AvailabilityZone) {
	missing := 0
	for _, zone := range zones {
		missing += max(plan[zone].reclaimable-present[zone].reclaimable, 0) + max(plan[zone].onDemand-present[zone].onDemand, 0)
	}
	for _, zone := range zones {
		for _, pair := range []struct{ planned, there *int }{
			{&plan[zone].onDemand, &present[zone].onDemand}, {&plan[zone].reclaimable, &present[zone].reclaimable},
		} {
			if keep := min(missing, *pair.there-*pair.planned); keep > 0 {
				*pair.planned += keep
				missing -= keep
			}
		}
	}
}

// orderFor returns the order that brings one cell to its plan, or nil if none is due.
func (p *ZonalPlanner) orderFor(view *ZonalView, zone qf.AvailabilityZone, class qf.VMClass, plan, present *counts) *ZonalOrder {
	c := p.cell(zone, class)
	desired, there := plan.of(class), present.of(class)
	if class == qf.ClassReclaimable && view.Now.Before(c.dryUntil) {
		return nil
	}
	effect := p.settings.SettleTime
	if desired > there {
		effect += view.Scaling.StartTakes
	}
	isDue := c.ordered != desired && (c.ordered >= 0 || desired != there) ||
		(c.isOpen || there != desired) && view.Now.Sub(c.orderedAt) >= effect
	if !isDue || c.ordered == desired && there == desired && !c.isOpen {
		return nil
	}
	return &ZonalOrder{Zone: zone, Class: class, Desired: desired, Reason: fmt.Sprintf(
		"%d needed; %d of %d planned are there", p.needed.value, there, desired)}
}

// RecordOrderResult takes what became of an order.
func (p *ZonalPlanner) RecordOrderResult(now time.Time, order *ZonalOrder, certainty qf.Certainty, isRefused bool) {
	c := p.cell(order.Zone, order.Class)
	c.orderedAt = now
	c.isOpen = certainty == qf.Unknown
	switch {
	case certainty == qf.Done || certainty == qf.Unknown:
		c.ordered = order.Desired
	case isRefused && order.Class == qf.ClassReclaimable:
		// After a reclaim there are none anywhere for a while.
		for key, other := range p.cells {
			if key.class == qf.ClassReclaimable {
				other.dryUntil = now.Add(p.settings.ExhaustedFor)
			}
		}
	}
}
