package entry

import (
	"fmt"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfplace"
	"quetzalfront/internal/qf/coordination/qfwarm"
	"quetzalfront/internal/qf/state/qfevent"
)

// placeFilter excludes the endpoints in places where a request may not be. The picker's lock guards it.
type placeFilter struct {
	evacuations *qfplace.Evacuations
	// endedAt holds when zones were given back after an evacuation.
	endedAt map[qf.AvailabilityZone]time.Time
	// places holds where the endpoints are.
	places map[qf.EndpointID]place
}

type place struct {
	region qf.Region
	zone   qf.AvailabilityZone
}

func newPlaceFilter() *placeFilter {
	return &placeFilter{evacuations: qfplace.NewEvacuations(), endedAt: map[qf.AvailabilityZone]time.Time{}, places: map[qf.EndpointID]place{}}
}

// setEndpoints replaces the endpoints.
func (f *placeFilter) setEndpoints(endpoints []qf.Endpoint) {
	f.places = make(map[qf.EndpointID]place, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		f.places[e.ID] = place{region: e.Region, zone: e.AvailabilityZone}
	}
}

// filter returns a function that reports whether a request may be at an endpoint, or nil if it may be at all. It counts
// those that it excludes.
func (f *placeFilter) filter(residency *qf.Residency, withheld *withheldEndpoints) func(qf.EndpointID) bool {
	isLimited, anyEvacuated := residency.IsLimited(), f.evacuations.Any()
	if !isLimited && !anyEvacuated {
		return nil
	}
	return func(id qf.EndpointID) bool {
		at := f.places[id]
		if isLimited && !qfplace.MayBeIn(residency, at.region) {
			withheld.byRegion++
			return false
		}
		if anyEvacuated && f.evacuations.IsEvacuated(at.zone) {
			withheld.byEvacuation++
			return false
		}
		return true
	}
}

// placeRetryAfter is the Retry-After of requests for which no place is left: an endpoint that is ordered elsewhere, or a
// region that comes back, takes seconds.
const placeRetryAfter = 2 * time.Second

// explainPlaces returns the error of a request for which no endpoint was found, if some were excluded by their place.
func (w *withheldEndpoints) explainPlaces(query *qf.RouteQuery, err error) error {
	if w.byRegion+w.byEvacuation == 0 {
		return err
	}
	reason, field := "no endpoint is in a region that the route and the organisation allow", "Regions"
	if w.byEvacuation > 0 {
		reason, field = "the endpoints that are left are in availability zones that are evacuated", "AvailabilityZone"
	}
	return &qf.Error{
		Code: qf.CodeNoEndpoint, Step: qf.StepRoute, Field: field, Reason: reason, Ran: qf.RanNo, RetryAfter: placeRetryAfter,
		Cause: fmt.Errorf("%d endpoints of %s withheld for their region, %d for an evacuation", w.byRegion, query.Request.Entry, w.byEvacuation),
	}
}

// applyEvacuation applies an order to evacuate a zone, or its end.
func (e *Entry) applyEvacuation(order qf.EvacuationOrder) {
	e.picker.mu.Lock()
	isChanged := e.picker.places.evacuations.Apply(order)
	var cold []qfwarm.Change
	if isChanged && order.IsEnded {
		cold = e.picker.endEvacuation(e.now(), order.Zone, order.Stamp)
	}
	e.picker.mu.Unlock()
	if isChanged {
		e.logEvacuation(&order)
	}
	e.observeCold(cold)
}

// mergeEvacuations applies a peer's orders: this node may have started since, or not reach the store.
func (e *Entry) mergeEvacuations(orders []qf.EvacuationOrder) {
	for i := range orders {
		e.applyEvacuation(orders[i])
	}
}

// endMissingEvacuations ends the evacuations whose rows a snapshot no longer has.
func (e *Entry) endMissingEvacuations(listed map[qf.AvailabilityZone]bool, position qf.StorePosition) {
	e.picker.mu.Lock()
	upTo := stampOf(position.Era, position.Version)
	ended := e.picker.places.evacuations.EndMissing(listed, stampOf(position.Era, 0), upTo)
	var cold []qfwarm.Change
	for _, zone := range ended {
		cold = append(cold, e.picker.endEvacuation(e.now(), zone, upTo)...)
	}
	e.picker.mu.Unlock()
	for _, zone := range ended {
		e.logEvacuation(&qf.EvacuationOrder{Zone: zone, Stamp: upTo, IsEnded: true})
	}
	e.observeCold(cold)
}

// endEvacuation records that a zone was given back by an order with a stamp. Its endpoints may be cold. The caller must
// hold p.mu.
func (p *endpointPicker) endEvacuation(now time.Time, zone qf.AvailabilityZone, stamp uint64) []qfwarm.Change {
	p.places.endedAt[zone] = now
	era := eraOfStamp(stamp)
	return p.warm.AssumeCold(p.clock.fleetTime(now), zone, qf.StorePosition{Era: era, Version: stamp - stampOf(era, 0)})
}

func (e *Entry) logEvacuation(order *qf.EvacuationOrder) {
	outcome := "Ordered"
	if order.IsEnded {
		outcome = "Ended"
	}
	era := eraOfStamp(order.Stamp)
	qfevent.ZoneEvacuated.Log(&e.platform.Logger, order.Zone, outcome, order.Stamp-stampOf(era, 0), era)
}

// listEvacuated returns the zones whose endpoints of an entry serve nothing: the evacuated ones, and those that were given
// back so lately that their endpoints may still be cold.
func (p *endpointPicker) listEvacuated(now time.Time, settings *qf.EntrySettings) map[qf.AvailabilityZone]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := map[qf.AvailabilityZone]bool{}
	for zone := range settings.Scaling.Prices {
		endedAt, hasEnded := p.places.endedAt[zone]
		if p.places.evacuations.IsEvacuated(zone) || hasEnded && now.Sub(endedAt) < settings.Cold.For {
			zones[zone] = true
		}
	}
	return zones
}

// logConflicts logs the routes and organisations of a configuration that allow no region in common.
func (e *Entry) logConflicts(configuration *qf.Configuration) {
	conflicts := qfplace.ListConflicts(configuration)
	if len(conflicts) == 0 {
		return
	}
	first := &conflicts[0]
	reason := fmt.Sprintf("the route allows %v, the organisation %v", first.Residency.Route, first.Residency.Organisation)
	qfevent.RegionsDiffer.Log(&e.platform.Logger, configuration.Revision, first.Route, first.Organisation, reason, len(conflicts))
}
