// Package qforder decides which orders to send to endpoints, so that each reaches its
// desired state although orders are lost, late, or sent by a former holder of the
// lease. It does no I/O and reads no clock.
package qforder

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// Timing holds the bounds within which a former holder's orders can take effect, and the
// time after which an order is sent again.
type Timing struct {
	// MaxLeaseValidity is how long after its last renewal a former holder may have
	// considered its lease valid.
	MaxLeaseValidity time.Duration
	// MaxOrderDelay is how long an order may take to arrive.
	MaxOrderDelay time.Duration
	// ResendAfter is how long an order may take to show in a report before it is sent
	// again.
	ResendAfter time.Duration
}

// DesiredState is the state that an endpoint should reach.
type DesiredState struct {
	Endpoint qf.Endpoint
	// Order states the target, not a step, so it is idempotent. The planner sets its
	// fencing number.
	Order qf.Order
}

// Action is one order to send, and the reason for it.
type Action struct {
	Endpoint qf.Endpoint
	Order    qf.Order
	Reason   qf.Reason
}

// Planner compares the reported states of endpoints with the desired ones. It is used for
// one tenure of the lease and isn't safe for concurrent use.
type Planner struct {
	timing Timing
	// fencing is the fencing number of the tenure, heldSince when it began.
	fencing   qf.FencingNumber
	heldSince time.Time
	sent      map[qf.EndpointID]sentOrder
}

// sentOrder is the last order sent to an endpoint in this tenure.
type sentOrder struct {
	at    time.Time
	order qf.Order
}

// NewPlanner returns the planner for a tenure that began at heldSince.
func NewPlanner(timing Timing, fencing qf.FencingNumber, heldSince time.Time) *Planner {
	return &Planner{timing: timing, fencing: fencing, heldSince: heldSince, sent: map[qf.EndpointID]sentOrder{}}
}

// The rules reported with orders.
const (
	ruleDiffers = "ReportDiffers"
	ruleResend  = "OrderDidNotShow"
)

// Plan returns the orders to send now. Endpoints without a report get none.
func (p *Planner) Plan(now time.Time, desired []DesiredState, reports map[qf.EndpointID]qf.LoadReport) []Action {
	var actions []Action
	for i := range desired {
		state := &desired[i]
		report, ok := reports[state.Endpoint.ID]
		if !ok || p.mustWait(now, &state.Endpoint) {
			continue
		}
		if IsApplied(&report, &state.Order) {
			delete(p.sent, state.Endpoint.ID)
			continue
		}
		if action, due := p.nextAction(now, state); due {
			actions = append(actions, action)
		}
	}
	return actions
}

// mustWait reports whether a former holder's order could still arrive after ours at an
// endpoint that doesn't refuse old fencing numbers.
func (p *Planner) mustWait(now time.Time, endpoint *qf.Endpoint) bool {
	safeAt := p.heldSince.Add(p.timing.MaxLeaseValidity + p.timing.MaxOrderDelay)
	return !endpoint.ChecksFencing && now.Before(safeAt)
}

func (p *Planner) nextAction(now time.Time, state *DesiredState) (Action, bool) {
	order := state.Order
	order.Fencing = p.fencing
	rule := ruleDiffers
	if last, ok := p.sent[state.Endpoint.ID]; ok && isSame(&last.order, &order) {
		if now.Sub(last.at) < p.timing.ResendAfter {
			return Action{}, false
		}
		rule = ruleResend
	}
	p.sent[state.Endpoint.ID] = sentOrder{at: now, order: order}
	return Action{Endpoint: state.Endpoint, Order: order, Reason: qf.Reason{
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

// MaxStaleDuration returns the bound on how long a former holder's order that arrives
// last stays in effect if none of our orders is lost: until a report shows it, and then
// until our next order arrives. An order sent just before the stale one arrived is sent
// again after ResendAfter at the latest.
func (t *Timing) MaxStaleDuration(reportEvery time.Duration) time.Duration {
	return 2*reportEvery + t.ResendAfter + t.MaxOrderDelay
}
