package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrollout"
	"quetzalfront/internal/qf/state/qfevent"
)

// rolloutKeyPrefix begins the rows that keep the plans of rollouts.
const rolloutKeyPrefix = "rollouts/"

// rollouts drives the rollouts that the operator orders, while the node holds the lease.
type rollouts struct {
	entry *Entry
	// kept holds the version of each entry's row, once it was read.
	kept map[qf.EntryName]uint64
	// told holds the plans whose state the operator was told.
	told map[qf.EntryName]qf.RolloutPlan
}

func newRollouts(e *Entry) *rollouts {
	return &rollouts{entry: e, kept: map[qf.EntryName]uint64{}, told: map[qf.EntryName]qf.RolloutPlan{}}
}

// step brings each ordered rollout one step further.
func (r *rollouts) step(ctx context.Context) {
	for _, order := range r.entry.placer.rolloutOrders() {
		if err := r.stepEntry(ctx, order); err != nil {
			qfevent.RolloutFailed.Log(&r.entry.platform.Logger, order.Entry, err)
		}
	}
}

func (r *rollouts) stepEntry(ctx context.Context, order qf.RolloutOrder) error {
	e := r.entry
	if err := r.load(ctx, order.Entry); err != nil {
		return err
	}
	plan, facts := e.placer.rollout(e.clock.agreed(e.now()), order)
	if next := qfrollout.StepTimed(plan, facts); next != nil {
		if next.Phase == qf.RolloutRolledBack {
			e.adoptRollout(next) // A stop is in force before it is kept.
		}
		if err := r.keep(ctx, next); err != nil {
			return err
		}
		e.adoptRollout(next)
		plan = next
	}
	return r.tell(ctx, plan)
}

// load reads the plan that an earlier holder kept.
func (r *rollouts) load(ctx context.Context, entry qf.EntryName) error {
	if _, isRead := r.kept[entry]; isRead {
		return nil
	}
	row, err := r.entry.platform.Table.Read(ctx, rolloutKeyPrefix+string(entry))
	if errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		r.kept[entry] = 0
		return nil
	}
	if err != nil {
		return err
	}
	var plan qf.RolloutPlan
	if err := json.Unmarshal(row.Value, &plan); err != nil {
		return err
	}
	r.kept[entry] = row.Version
	r.entry.adoptRollout(&plan)
	return nil
}

// keep writes a plan for successors.
func (r *rollouts) keep(ctx context.Context, plan *qf.RolloutPlan) error {
	value, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	key := rolloutKeyPrefix + string(plan.Entry)
	result := r.entry.platform.Table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(fmt.Sprintf("%s/%d/%d", key, plan.Generation, plan.Step)),
		Conditions: []qf.Condition{{Key: key, Version: r.kept[plan.Entry]}},
		Writes:     []qf.Write{{Key: key, Value: value}},
	})
	if result.Certainty != qf.Done {
		delete(r.kept, plan.Entry) // It is read again: another holder or this write may have changed it.
		return result.Err
	}
	r.kept[plan.Entry]++
	return nil
}

// tell writes the state of a rollout for the operator, once for each change.
func (r *rollouts) tell(ctx context.Context, plan *qf.RolloutPlan) error {
	if plan == nil {
		return nil
	}
	told := r.told[plan.Entry]
	state := stateOfRollout(plan.Phase)
	if told.Generation == plan.Generation && stateOfRollout(told.Phase) == state {
		return nil
	}
	result := r.entry.platform.Rollouts.WriteRolloutState(ctx, plan.Entry, plan.To, state)
	if result.Certainty == qf.Done {
		r.told[plan.Entry] = *plan
	}
	return result.Err
}

func stateOfRollout(phase qf.RolloutPhase) qf.RolloutState {
	switch phase {
	case qf.RolloutDone:
		return qf.RolloutStateSucceeded
	case qf.RolloutRolledBack:
		return qf.RolloutStateRolledBack
	default:
		return qf.RolloutStateRunning
	}
}

// adoptRollout puts a plan in force at this node.
func (e *Entry) adoptRollout(plan *qf.RolloutPlan) {
	e.placer.mu.Lock()
	isNews := e.placer.versions.adopt(plan)
	e.placer.mu.Unlock()
	if isNews {
		qfevent.RolloutChanged.Log(&e.platform.Logger, plan.Entry, plan.To, plan.Phase, plan.Reason)
	}
}

// rolloutOrders returns the orders of the operator.
func (p *placer) rolloutOrders() []qf.RolloutOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	orders := make([]qf.RolloutOrder, 0, len(p.versions.orders))
	for _, order := range p.versions.orders {
		orders = append(orders, order)
	}
	return orders
}

// rollout returns the plan in force and the facts for its next step.
func (p *placer) rollout(now time.Time, order qf.RolloutOrder) (*qf.RolloutPlan, *qfrollout.TimedInput) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.plans[order.Entry], p.versions.facts(now, order)
}

// rolloutPlans returns the plans in force, for peers.
func (p *placer) rolloutPlans() []qf.RolloutPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	plans := make([]qf.RolloutPlan, 0, len(p.versions.plans))
	for _, plan := range p.versions.plans {
		plans = append(plans, *plan)
	}
	return plans
}
