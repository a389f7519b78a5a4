package entry

import (
	"fmt"
	"slices"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrate"
	"quetzalfront/internal/qf/state/qfevent"
)

// withheldEndpoints counts the endpoints that were excluded from a choice, and why.
type withheldEndpoints struct{ byRate, byRoom, byPause, byCold, byRegion, byEvacuation int }

// applyLimits excludes the endpoints in places where the request may not be, those that have stated a rate or are cold and take
// no request of this node now, the brittle ones at which it has no place, and the paused ones. The caller must hold p.mu.
func (p *endpointPicker) applyLimits(query *qf.RouteQuery, pick *qf.PickQuery) *withheldEndpoints {
	withheld := &withheldEndpoints{}
	mayBeAt := p.places.filter(&pick.Residency, withheld)
	mayTake := p.capacityFilter(query, pick.IsRecheck, withheld)
	switch {
	case mayBeAt == nil:
		query.MayUse = mayTake
	case mayTake == nil:
		query.MayUse = mayBeAt
	default:
		query.MayUse = func(id qf.EndpointID) bool { return mayBeAt(id) && mayTake(id) }
	}
	return withheld
}

// capacityFilter returns a filter for endpoints that take no more requests of this node now, or nil if there are none.
func (p *endpointPicker) capacityFilter(query *qf.RouteQuery, isRecheck bool, withheld *withheldEndpoints) func(qf.EndpointID) bool {
	now, name := p.clock.fleetTime(query.Now), query.Request.Entry
	hasRates, isBrittle, hasPauses := p.rates.HasRates(), p.rooms.IsBrittle(now, name), p.pauses.HasPauses()
	isAnyCold := p.warm.IsAnyCold(now, name)
	if !hasRates && !isBrittle && !hasPauses && !isAnyCold {
		return nil
	}
	if !isRecheck && (hasRates || isBrittle) {
		p.shares.RecordDemand(now, name)
	}
	if isAnyCold {
		query.IsCold = func(id qf.EndpointID) bool { return p.warm.IsCold(now, id) }
	}
	return func(id qf.EndpointID) bool {
		if hasPauses && !p.pauses.MaySend(query.Now, id) {
			withheld.byPause++
			return false
		}
		if hasRates && !p.rates.MaySend(now, id) {
			withheld.byRate++
			return false
		}
		if isAnyCold && !p.warm.MaySend(now, id) {
			withheld.byCold++
			return false
		}
		if isBrittle && !p.rooms.MayStart(now, id, name) {
			withheld.byRoom++
			return false
		}
		return true
	}
}

// explainRefusal returns the error of a request for which no endpoint was found. If some were excluded by
// limits, the caller should return when one takes a request. The caller must hold p.mu.
func (p *endpointPicker) explainRefusal(query *qf.RouteQuery, withheld *withheldEndpoints, err error) error {
	if withheld.byRate+withheld.byRoom+withheld.byPause+withheld.byCold == 0 {
		return withheld.explainPlaces(query, err)
	}
	now, name := p.clock.fleetTime(query.Now), query.Request.Entry
	var retryAfter time.Duration
	if withheld.byRate > 0 {
		retryAfter = p.rates.RetryAfter(now, name)
	}
	if withheld.byRoom > 0 {
		retryAfter = max(retryAfter, p.rooms.RetryAfter(now, name))
	}
	if withheld.byCold > 0 {
		retryAfter = max(retryAfter, p.warm.RetryAfter(now, name))
		p.coldRefusals[name]++
	}
	if withheld.byRate+withheld.byRoom+withheld.byCold == 0 {
		retryAfter = p.pauses.RetryAfter(query.Now, name)
	}
	return &qf.Error{
		Code: qf.CodeOverloaded, Step: qf.StepRoute, Reason: "the endpoints take no more requests at present", Ran: qf.RanNo,
		RetryAfter: retryAfter,
		Cause: fmt.Errorf("%d endpoints withheld for the rates that they state, %d for want of a place, %d because they are paused, %d because they are cold",
			withheld.byRate, withheld.byRoom, withheld.byPause, withheld.byCold),
	}
}

// observeBrittle logs that the endpoints of an entry are brittle, and tells the peers.
func (e *Entry) observeBrittle(name qf.EntryName, rejections float64) {
	qfevent.EndpointsBrittle.Log(&e.platform.Logger, name, rejections)
	e.updateMembers(e.now())
	e.pushUrgent()
}

// findHolder returns a node that has a place at brittle endpoints of a route, if this one has none.
func (p *endpointPicker) findHolder(now time.Time, entries []qf.WeightedEntry, drawn uint64) (qf.NodeID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rooms.FindHolder(p.clock.fleetTime(now), entries[drawn%uint64(len(entries))].Entry, drawn)
}

// isBrittle reports whether the endpoints of an entry are brittle.
func (p *endpointPicker) isBrittle(now time.Time, name qf.EntryName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rooms.IsBrittle(p.clock.fleetTime(now), name)
}

// mayHaveFallen reports whether endpoints of an entry may fail because they reject requests.
func (p *endpointPicker) mayHaveFallen(now time.Time, name qf.EntryName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rooms.MayHaveFallen(p.clock.fleetTime(now), name)
}

// AwaitPlace implements qf.EndpointPicker.
func (p *endpointPicker) AwaitPlace(now time.Time, entries []qf.WeightedEntry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := entries[0].Entry
	if !p.rooms.MayWait(p.clock.fleetTime(now), name, p.waiting[name]) {
		return false
	}
	p.waiting[name]++
	return true
}

// EndWait implements qf.EndpointPicker.
func (p *endpointPicker) EndWait(entries []qf.WeightedEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[entries[0].Entry]--
}

// observeRates logs changes of the rates that endpoints state, and passes on what is urgent.
func (e *Entry) observeRates(changes []qfrate.Change) {
	isUrgent := false
	for i := range changes {
		change := &changes[i]
		qfevent.RateStated.Log(&e.platform.Logger, change.Endpoint, change.Rate, change.Before)
		isUrgent = isUrgent || change.IsUrgent
	}
	if isUrgent {
		e.updateMembers(e.now())
		e.pushUrgent()
	}
}

// updateMembers sets the nodes that share what endpoints take. Until the list of nodes is
// read, a node that starts sends nothing to these endpoints.
func (e *Entry) updateMembers(now time.Time) {
	if !e.hasNodes.Load() && now.Sub(e.startedAt) <= nodeListFallback {
		return
	}
	e.mu.Lock()
	nodes := e.membership.Nodes(now)
	e.mu.Unlock()
	ids := make([]qf.NodeID, len(nodes))
	for i := range nodes {
		ids[i] = nodes[i].ID
	}
	slices.Sort(ids)
	e.picker.mu.Lock()
	defer e.picker.mu.Unlock()
	e.picker.shares.SetMembers(e.fleetClock.fleetTime(now), ids)
	e.picker.warm.SetMembers(e.fleetClock.fleetTime(now), nodes)
}

// fillLimits adds to a digest the rates that endpoints state, the entries whose endpoints are brittle, the endpoints
// that are cold and, in a small fleet, this node's demand.
func (e *Entry) fillLimits(now time.Time, d *qf.Digest, isGrouped bool) {
	at := e.fleetClock.fleetTime(now)
	e.picker.mu.Lock()
	defer e.picker.mu.Unlock()
	d.Rates, d.Brittle, d.Rejecting = e.picker.rates.ReportRates(at), e.picker.rooms.ListStated(at), e.picker.rooms.ListRejecting(at)
	d.Rooms, d.Cold = e.picker.rooms.ListRooms(at), e.picker.warm.ReportNews(at)
	d.Evacuations = e.picker.places.evacuations.List()
	if entries := append(e.picker.rates.ListEntries(), e.picker.rooms.ListBrittle(at)...); !isGrouped && len(entries) > 0 {
		slices.Sort(entries)
		d.Demands = e.picker.shares.ReportDemands(at, slices.Compact(entries))
	}
}

// mergeLimits merges the limits and the demand in a peer's digest.
func (e *Entry) mergeLimits(now time.Time, d *qf.Digest) {
	e.mergeEvacuations(d.Evacuations)
	e.mergeCold(now, d.Cold)
	if len(d.Rates)+len(d.Demands)+len(d.Brittle)+len(d.Rooms) == 0 {
		return
	}
	at := e.fleetClock.fleetTime(now)
	e.picker.mu.Lock()
	changes := e.picker.rates.MergeRates(at, d.Rates)
	e.picker.shares.MergeDemands(at, d.From.ID, d.Demands)
	wasBrittle := len(e.picker.rooms.ListBrittle(at))
	e.picker.rooms.MergeBrittle(at, d.Brittle)
	e.picker.rooms.MergeRejecting(at, d.Rejecting)
	isNew := e.picker.rooms.MergeRooms(d.Rooms) || len(e.picker.rooms.ListBrittle(at)) > wasBrittle
	e.picker.mu.Unlock()
	if len(changes) == 0 && !isNew {
		return
	}
	for i := range changes {
		qfevent.RateStated.Log(&e.platform.Logger, changes[i].Endpoint, changes[i].Rate, changes[i].Before)
	}
	e.updateMembers(now)
	if e.isRelay.Load() {
		e.pushUrgent()
	}
}
