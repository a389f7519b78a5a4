// Package qforder decides which orders to give to endpoints, so that each comes to
// the state that is wanted although orders are lost, late, or given by a former
// holder of the lease. It does no I/O and reads no clock.
package qforder

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// Timing bounds what a former holder's orders can still do.
type Timing struct {
	// MaxLeaseValidity is how long after its last renewal a former holder may have
	// thought that it held the lease.
	MaxLeaseValidity time.Duration
	// MaxOrderDelay is how long an order can be under way.
	MaxOrderDelay time.Duration
	// ResendAfter is how long an order may take to show in a report before it is
	// given again.
	ResendAfter time.Duration
}

// DesiredState is the state that an endpoint should reach.
type DesiredState struct {
	Endpoint qf.Endpoint
	// Order states the end and not a step, so that giving it twice does no harm.
	// Its fencing number is set by the planner.
	Order qf.Order
}

// Action is one order to give.
type Action struct {
	Endpoint qf.Endpoint
	Order    qf.Order
	Reason   qf.Reason
}

// Planner compares what endpoints report with what is wanted. It belongs to one
// holding of the lease and isn't safe for concurrent use.
type Planner struct {
	timing Timing
	// fencing is the number of the holding, heldSince when it began.
	fencing   qf.FencingNumber
	heldSince time.Time
	given     map[qf.EndpointID]given
}

// given is the last order that this holding gave to an endpoint.
type given struct {
	at    time.Time
	order qf.Order
}

// NewPlanner returns the planner of a holding that began at the time.
func NewPlanner(timing Timing, fencing qf.FencingNumber, heldSince time.Time) *Planner {
	return &Planner{timing: timing, fencing: fencing, heldSince: heldSince, given: map[qf.EndpointID]given{}}
}

// The rules by which an order is given.
const (
	ruleDiffers = "ReportDiffers"
	ruleRepeat  = "OrderDidNotShow"
)

// Plan returns the orders to give now. Endpoints without a report are left alone.
func (p *Planner) Plan(now time.Time, wishes []DesiredState, reports map[qf.EndpointID]qf.LoadReport) []Action {
	var actions []Action
	for i := range wishes {
		w := &wishes[i]
		report, ok := reports[w.Endpoint.ID]
		if !ok || p.mustWait(now, &w.Endpoint) {
			continue
		}
		if IsApplied(&report, &w.Order) {
			delete(p.given, w.Endpoint.ID)
			continue
		}
		if action, due := p.order(now, w); due {
			actions = append(actions, action)
		}
	}
	return actions
}

// mustWait reports whether a former holder's order could still overtake ours at
// an endpoint that doesn't refuse old fencing numbers.
func (p *Planner) mustWait(now time.Time, endpoint *qf.Endpoint) bool {
	quiet := p.heldSince.Add(p.timing.MaxLeaseValidity + p.timing.MaxOrderDelay)
	return !endpoint.ChecksFencing && now.Before(quiet)
}

func (p *Planner) order(now time.Time, w *DesiredState) (Action, bool) {
	order := w.Order
	order.Fencing = p.fencing
	rule := ruleDiffers
	if last, ok := p.given[w.Endpoint.ID]; ok && isSame(&last.order, &order) {
		if now.Sub(last.at) < p.timing.ResendAfter {
			return Action{}, false
		}
		rule = ruleRepeat
	}
	p.given[w.Endpoint.ID] = given{at: now, order: order}
	return Action{Endpoint: w.Endpoint, Order: order, Reason: qf.Reason{
		Rule: rule, Figures: []qf.Figure{{Name: "Fencing", Value: float64(p.fencing)}},
	}}, true
}

func isSame(a, b *qf.Order) bool {
	return a.Entry == b.Entry && a.Version == b.Version && a.Role == b.Role && a.Leave == b.Leave &&
		slices.Equal(a.Adapters, b.Adapters)
}

// IsApplied reports whether an endpoint reports the state that an order asks for.
func IsApplied(report *qf.LoadReport, order *qf.Order) bool {
	return report.Entry == order.Entry && report.Version == order.Version && report.Role == order.Role &&
		slices.Equal(report.Adapters, order.Adapters) && (report.Leaving || !order.Leave)
}

// MaxStaleDuration bounds how long the order of a former holder that arrives last can be
// in effect: until a report shows it, and then until our next order arrives. An
// order that we gave just before the stale one arrived is repeated after
// ResendAfter at the latest.
func (t *Timing) MaxStaleDuration(reportEvery time.Duration) time.Duration {
	return 2*reportEvery + t.ResendAfter + t.MaxOrderDelay
}
