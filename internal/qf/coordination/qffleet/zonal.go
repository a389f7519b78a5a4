package qffleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

// ZonalSettings holds the settings of a ZonalPlanner.
type ZonalSettings struct {
	// OnDemandShare is the fraction of the need that is always met by on-demand
	// endpoints, so that no reclaim can take it.
	OnDemandShare float64
	// SettleTime is how long an order may take to show its effect, besides the time that
	// an endpoint needs to start; after that the order is repeated.
	SettleTime time.Duration
	// ExhaustedFor is how long no reclaimable endpoints are ordered in a zone after it
	// lost its own, and in all zones after one refused some.
	ExhaustedFor time.Duration
	// HoldDown is how long the need must stay lower before endpoints are given up.
	HoldDown time.Duration
}

// DefaultZonalSettings returns the settings that nodes use.
func DefaultZonalSettings() ZonalSettings {
	return ZonalSettings{OnDemandShare: 0.25, SettleTime: 3 * time.Second, ExhaustedFor: 6 * time.Second, HoldDown: 8 * time.Second}
}

// ZonalView is the input of ZonalPlanner.NextOrder for one entry.
type ZonalView struct {
	Now     time.Time
	Scaling *qf.ScalingSettings
	// Needed is the number of endpoints at which the objective holds also after the loss
	// of a zone. Minimum is the least number, for which on-demand endpoints are ordered
	// if there aren't enough reclaimable ones.
	Needed, Minimum int
	// Endpoints holds the registered endpoints, including those that are leaving.
	Endpoints []qf.RegisteredEndpoint
	// OnDemandOnly rules out orders of reclaimable endpoints, because the refusal of one
	// can't be told from that of a holder whose lease another node has taken.
	OnDemandOnly bool
	// Serving is the version in use. Endpoints of other versions were started for a rollout:
	// they don't count, and orders leave them where they are. If it is empty, all count.
	Serving qf.Version

	// Evacuated zones serve nothing, and their endpoints stay as they are. At least Least endpoints are planned
	// in the other zones.
	Evacuated map[qf.AvailabilityZone]bool
	Least     int

	// present holds the counts of Endpoints by zone.
	present map[qf.AvailabilityZone]*zoneCounts
}

// ZonalPlanner orders numbers of endpoints in each zone: reclaimable ones spread
// over all zones that offer them, and on-demand ones where those don't suffice. It
// does no I/O, reads no clock, and isn't safe for concurrent use.
type ZonalPlanner struct {
	settings ZonalSettings
	pools    map[offerKey]*pool
	// needed and minimum are the numbers in use.
	needed, minimum dampedNumber
}

// dampedNumber follows a number up at once, and down only after a hold-down time,
// because an order that is withdrawn before it takes effect is wasted.
type dampedNumber struct {
	value int
	// lowSince is when a lower number was first seen; it is zero if the last one
	// wasn't lower.
	lowSince time.Time
}

func (s *dampedNumber) update(now time.Time, wanted int, holdDown time.Duration) {
	switch {
	case wanted >= s.value:
		s.value, s.lowSince = wanted, time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
	case now.Sub(s.lowSince) >= holdDown:
		s.value, s.lowSince = wanted, time.Time{}
	}
}

// pool is the state of one class of endpoints in one zone.
type pool struct {
	// ordered is the planned number of the last order, made at orderedAt; it is negative
	// before the first order.
	ordered   int
	orderedAt time.Time
	// isUnconfirmed is true while the outcome of the last order is unknown.
	isUnconfirmed bool
	// exhaustedUntil is when the pool may be ordered from again.
	exhaustedUntil time.Time
	// most is the highest number of endpoints that were there since the last order.
	most int
}

// ZonalOrder is the desired number of endpoints of one class in one zone.
type ZonalOrder struct {
	Zone  qf.AvailabilityZone
	Class qf.VMClass
	// Desired includes the endpoints of versions that aren't in use, planned doesn't.
	Desired, planned int
	Reason           string
}

// NewZonalPlanner returns a planner without orders.
func NewZonalPlanner(settings ZonalSettings) *ZonalPlanner {
	return &ZonalPlanner{settings: settings, pools: map[offerKey]*pool{}}
}

func (p *ZonalPlanner) pool(zone qf.AvailabilityZone, class qf.VMClass) *pool {
	key := offerKey{zone: zone, class: class}
	if p.pools[key] == nil {
		p.pools[key] = &pool{ordered: -1}
	}
	return p.pools[key]
}

// zoneCounts holds the numbers of endpoints in a zone that aren't leaving, by class.
type zoneCounts struct {
	reclaimable, onDemand int
	// leaving is the number of reclaimable endpoints that are being reclaimed.
	leaving int
	// others are the numbers of endpoints of versions that aren't in use.
	others map[qf.VMClass]int
}

// NextOrder returns the order to give now, if one is due. Orders that add endpoints
// go before those that remove some.
func (p *ZonalPlanner) NextOrder(view *ZonalView) (ZonalOrder, bool) {
	zones := zonesByPrice(view.Scaling)
	present := p.count(view)
	view.present = present
	p.needed.update(view.Now, view.Needed, p.settings.HoldDown)
	p.minimum.update(view.Now, view.Minimum, p.settings.HoldDown)
	plan := p.plan(view, zones)
	p.replaceEvacuated(view, plan, zones)
	p.keepUntilReplaced(plan, present, zones)
	var best *ZonalOrder
	for _, zone := range zones {
		if view.Evacuated[zone] {
			continue
		}
		for _, class := range []qf.VMClass{qf.ClassReclaimable, qf.ClassOnDemand} {
			order := p.orderFor(view, zone, class, plan[zone], present[zone])
			if order != nil && (best == nil || addsEndpoints(order, present) && !addsEndpoints(best, present)) {
				best = order
			}
		}
	}
	if best == nil {
		return ZonalOrder{}, false
	}
	return *best, true
}

// addsEndpoints reports whether an order adds endpoints.
func addsEndpoints(order *ZonalOrder, present map[qf.AvailabilityZone]*zoneCounts) bool {
	return order.planned > present[order.Zone].of(order.Class)
}

func (c *zoneCounts) of(class qf.VMClass) int {
	if class == qf.ClassReclaimable {
		return c.reclaimable
	}
	return c.onDemand
}

// zonesByPrice returns the zones of an entry, cheapest first.
func zonesByPrice(scaling *qf.ScalingSettings) []qf.AvailabilityZone {
	zones := make([]qf.AvailabilityZone, 0, len(scaling.Prices))
	for zone := range scaling.Prices {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b qf.AvailabilityZone) int {
		if scaling.Prices[a] != scaling.Prices[b] {
			if scaling.Prices[a] < scaling.Prices[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
	return zones
}

// count counts the endpoints by zone and marks the zones that are being reclaimed as
// exhausted.
func (p *ZonalPlanner) count(view *ZonalView) map[qf.AvailabilityZone]*zoneCounts {
	present := map[qf.AvailabilityZone]*zoneCounts{}
	for zone := range view.Scaling.Prices {
		present[zone] = &zoneCounts{others: map[qf.VMClass]int{}}
	}
	for i := range view.Endpoints {
		e := &view.Endpoints[i]
		c := present[e.AvailabilityZone]
		switch {
		case c == nil:
		case e.Leaving && e.LeavesIn > 0 && e.Class == qf.ClassReclaimable:
			c.leaving++
		case e.Leaving:
		case view.Serving != "" && e.Version != view.Serving:
			c.others[e.Class]++
		case e.Class == qf.ClassReclaimable:
			c.reclaimable++
		default:
			c.onDemand++
		}
	}
	for zone, c := range present {
		if c.leaving > 0 && c.reclaimable == 0 {
			p.pool(zone, qf.ClassReclaimable).exhaustedUntil = view.Now.Add(p.settings.ExhaustedFor)
		}
	}
	return present
}

// plan spreads the need over the zones. Beyond OnDemandShare, on-demand endpoints
// are planned only as far as there aren't enough reclaimable ones.
func (p *ZonalPlanner) plan(view *ZonalView, zones []qf.AvailabilityZone) map[qf.AvailabilityZone]*zoneCounts {
	plan := map[qf.AvailabilityZone]*zoneCounts{}
	base := int(math.Ceil(float64(p.needed.value) * p.settings.OnDemandShare))
	for i, zone := range zones {
		plan[zone] = &zoneCounts{}
		for onDemand := i; onDemand < base; onDemand += len(zones) {
			plan[zone].onDemand++
		}
	}
	reclaimable := p.spread(view, zones, plan, p.needed.value-base, func(c *zoneCounts) *int { return &c.reclaimable },
		func(zone qf.AvailabilityZone) bool { return p.mayBuyReclaimable(view, zone) })
	// Reclaimable endpoints in a zone that offers no more of them still count.
	for _, zone := range zones {
		if !p.mayBuyReclaimable(view, zone) {
			plan[zone].reclaimable = view.present[zone].reclaimable
			reclaimable += plan[zone].reclaimable
		}
	}
	// The minimum must hold also after one more zone loses its reclaimable endpoints.
	atRisk := 0
	for _, zone := range zones {
		atRisk = max(atRisk, plan[zone].reclaimable)
	}
	p.spread(view, zones, plan, p.minimum.value-base-(reclaimable-atRisk), func(c *zoneCounts) *int { return &c.onDemand },
		func(qf.AvailabilityZone) bool { return true })
	return plan
}

// replaceEvacuated plans what the other zones lack while some are evacuated. What is planned beyond the least number stands in
// for a zone that is lost, so that most evacuations need no order.
func (p *ZonalPlanner) replaceEvacuated(view *ZonalView, plan map[qf.AvailabilityZone]*zoneCounts, zones []qf.AvailabilityZone) {
	if len(view.Evacuated) == 0 {
		return
	}
	lacking := view.Least
	for _, zone := range zones {
		if !view.Evacuated[zone] {
			lacking -= plan[zone].reclaimable + plan[zone].onDemand
		}
	}
	lacking -= p.spread(view, zones, plan, lacking, func(c *zoneCounts) *int { return &c.reclaimable },
		func(zone qf.AvailabilityZone) bool { return !view.Evacuated[zone] && p.mayBuyReclaimable(view, zone) })
	p.spread(view, zones, plan, lacking, func(c *zoneCounts) *int { return &c.onDemand },
		func(zone qf.AvailabilityZone) bool { return !view.Evacuated[zone] })
}

// mayBuyReclaimable reports whether reclaimable endpoints can be ordered in a zone.
func (p *ZonalPlanner) mayBuyReclaimable(view *ZonalView, zone qf.AvailabilityZone) bool {
	return view.Scaling.ReclaimablePrice > 0 && !view.OnDemandOnly && !view.Now.Before(p.pool(zone, qf.ClassReclaimable).exhaustedUntil)
}

// spread adds endpoints one by one in the zone with the fewest, up to each zone's
// bound, and returns how many it placed.
func (p *ZonalPlanner) spread(view *ZonalView, zones []qf.AvailabilityZone, plan map[qf.AvailabilityZone]*zoneCounts,
	count int, slot func(*zoneCounts) *int, mayUse func(qf.AvailabilityZone) bool,
) int {
	for placed := range max(count, 0) {
		var least *zoneCounts
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

// keepUntilReplaced keeps surplus endpoints in the plan until their replacements are
// present.
func (p *ZonalPlanner) keepUntilReplaced(plan, present map[qf.AvailabilityZone]*zoneCounts, zones []qf.AvailabilityZone) {
	missing := 0
	for _, zone := range zones {
		missing += max(plan[zone].reclaimable-present[zone].reclaimable, 0) + max(plan[zone].onDemand-present[zone].onDemand, 0)
	}
	for _, zone := range zones {
		for _, pair := range []struct{ planned, present *int }{
			{&plan[zone].onDemand, &present[zone].onDemand}, {&plan[zone].reclaimable, &present[zone].reclaimable},
		} {
			if keep := min(missing, *pair.present-*pair.planned); keep > 0 {
				*pair.planned += keep
				missing -= keep
			}
		}
	}
}

// orderFor returns the order that brings one pool to its planned number, or nil if
// none is due.
func (p *ZonalPlanner) orderFor(view *ZonalView, zone qf.AvailabilityZone, class qf.VMClass, plan, present *zoneCounts) *ZonalOrder {
	c := p.pool(zone, class)
	desired, actual := plan.of(class), present.of(class)
	if class == qf.ClassReclaimable && (view.OnDemandOnly || view.Now.Before(c.exhaustedUntil)) {
		return nil
	}
	effect := p.settings.SettleTime
	if desired > actual {
		effect += view.Scaling.StartTakes
	}
	c.most = max(c.most, actual)
	// Endpoints that were there after the order aren't on their way: they are lost.
	hasLost := actual < c.most && actual < desired
	isDue := c.ordered != desired && (c.ordered >= 0 || desired != actual) || hasLost ||
		(c.isUnconfirmed || actual != desired) && view.Now.Sub(c.orderedAt) >= effect
	if !isDue || c.ordered == desired && actual == desired && !c.isUnconfirmed {
		return nil
	}
	others := present.others[class]
	if others > 0 && desired+others > view.Scaling.Max {
		return nil // The order would take the others away.
	}
	return &ZonalOrder{Zone: zone, Class: class, Desired: desired + others, planned: desired, Reason: fmt.Sprintf(
		"%d needed; %d of %d planned are there, and %d of other versions", p.needed.value, actual, desired, others)}
}

// RecordOrderResult records the outcome of an order.
func (p *ZonalPlanner) RecordOrderResult(now time.Time, order *ZonalOrder, certainty qf.Certainty, isRefused bool) {
	c := p.pool(order.Zone, order.Class)
	c.orderedAt, c.most = now, 0
	c.isUnconfirmed = certainty == qf.Unknown
	switch {
	case certainty == qf.Done || certainty == qf.Unknown:
		c.ordered = order.planned
	case isRefused && order.Class == qf.ClassReclaimable:
		// A refusal follows a reclaim, after which no zone offers any for a while.
		for key, other := range p.pools {
			if key.class == qf.ClassReclaimable {
				other.exhaustedUntil = now.Add(p.settings.ExhaustedFor)
			}
		}
	}
}
