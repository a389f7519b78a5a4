package entry

import (
	"fmt"
	"slices"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrate"
	"quetzalfront/internal/qf/state/qfevent"
)

// applyRates excludes the endpoints that have stated a rate and take no request of this node now.
// The returned number rises with each that is excluded. The caller must hold p.mu.
func (p *endpointPicker) applyRates(query *qf.RouteQuery) *int {
	withheld := new(int)
	if !p.rates.HasRates() {
		return withheld
	}
	now := p.clock.fleetTime(query.Now)
	p.shares.RecordDemand(now, query.Request.Entry)
	query.MayUse = func(id qf.EndpointID) bool {
		maySend := p.rates.MaySend(now, id)
		if !maySend {
			*withheld++
		}
		return maySend
	}
	return withheld
}

// explainRefusal returns the error of a request for which no endpoint was found. If some were excluded for
// their rates, the caller should return when one takes a request. The caller must hold p.mu.
func (p *endpointPicker) explainRefusal(query *qf.RouteQuery, withheld *int, err error) error {
	if *withheld == 0 {
		return err
	}
	return &qf.Error{
		Code: qf.CodeOverloaded, Step: qf.StepRoute, Reason: "the endpoints take no more requests at present", Ran: qf.RanNo,
		RetryAfter: p.rates.RetryAfter(p.clock.fleetTime(query.Now), query.Request.Entry),
		Cause:      fmt.Errorf("%d endpoints withheld for the rates that they state", *withheld),
	}
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
		e.updateRateMembers(e.now())
		e.pushUrgent()
	}
}

// updateRateMembers sets the nodes that share the rates of endpoints. Until the list of nodes is
// read, a node that starts sends nothing to these endpoints.
func (e *Entry) updateRateMembers(now time.Time) {
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
}

// fillRates adds the rates that endpoints state to a digest, and in a small fleet this node's demand.
func (e *Entry) fillRates(now time.Time, d *qf.Digest, isGrouped bool) {
	at := e.fleetClock.fleetTime(now)
	e.picker.mu.Lock()
	defer e.picker.mu.Unlock()
	d.Rates = e.picker.rates.ReportRates(at)
	if !isGrouped && e.picker.rates.HasRates() {
		d.Demands = e.picker.shares.ReportDemands(at, e.picker.rates.ListEntries())
	}
}

// mergeRates merges the rates and the demand in a peer's digest.
func (e *Entry) mergeRates(now time.Time, d *qf.Digest) {
	if len(d.Rates) == 0 && len(d.Demands) == 0 {
		return
	}
	at := e.fleetClock.fleetTime(now)
	e.picker.mu.Lock()
	changes := e.picker.rates.MergeRates(at, d.Rates)
	e.picker.shares.MergeDemands(at, d.From.ID, d.Demands)
	e.picker.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	for i := range changes {
		qfevent.RateStated.Log(&e.platform.Logger, changes[i].Endpoint, changes[i].Rate, changes[i].Before)
	}
	e.updateRateMembers(now)
	if e.isRelay.Load() {
		e.pushUrgent()
	}
}
