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

// rolloutKeyPrefix begins the keys of the rows that hold rollout plans.
const rolloutKeyPrefix = "rollouts/"

// rolloutDriver drives the rollouts that the operator orders, while the node holds the lease.
type rolloutDriver struct {
	entry *Entry
	// rows holds the version of each entry's row, once read.
	rows map[qf.EntryName]planRow
	// reported holds the plans whose state was last reported to the operator.
	reported map[qf.EntryName]qf.RolloutPlan
}

// planRow is the row of a plan: its version, and the store's era in which it was read. The
// version is 0 if there is no row.
type planRow struct {
	version uint64
	era     qf.StoreEra
	plan    qf.RolloutPlan
}

func newRolloutDriver(e *Entry) *rolloutDriver {
	return &rolloutDriver{entry: e, rows: map[qf.EntryName]planRow{}, reported: map[qf.EntryName]qf.RolloutPlan{}}
}

// step advances each ordered rollout by one step.
func (r *rolloutDriver) step(ctx context.Context) {
	for _, order := range r.entry.picker.rolloutOrders() {
		if err := r.stepRollout(ctx, order); err != nil {
			qfevent.RolloutFailed.Log(&r.entry.platform.Logger, order.Entry, err)
		}
	}
}

func (r *rolloutDriver) stepRollout(ctx context.Context, order qf.RolloutOrder) error {
	e := r.entry
	if err := r.loadPlan(ctx, order.Entry); err != nil {
		return err
	}
	plan, input := e.picker.rolloutInput(e.now(), e.fleetClock.fleetTime(e.now()), order)
	if stored := r.rows[order.Entry]; plan != nil && qfrollout.ReplacesTimed(plan, &stored.plan) {
		if err := r.storePlan(ctx, plan); err != nil { // Another node has rolled the version back.
			return err
		}
	}
	if next := qfrollout.StepTimed(plan, input); next != nil {
		if next.Phase == qf.RolloutRolledBack {
			e.applyRolloutPlan(next) // A rollback takes effect before it is stored.
		}
		if err := r.storePlan(ctx, next); err != nil {
			return err
		}
		e.applyRolloutPlan(next)
		plan = next
	}
	return r.reportState(ctx, plan)
}

// loadPlan reads the plan that an earlier holder stored. If the plan in force is newer, because
// the store has lost the row, the plan is stored again.
func (r *rolloutDriver) loadPlan(ctx context.Context, entry qf.EntryName) error {
	if _, isRead := r.rows[entry]; isRead {
		return nil
	}
	key := rolloutKeyPrefix + string(entry)
	row, err := r.entry.platform.Table.Read(ctx, key)
	isAbsent := errors.Is(err, &qf.Error{Code: qf.CodeNotFound})
	if err != nil && !isAbsent {
		return err
	}
	var stored qf.RolloutPlan
	if !isAbsent {
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return err
		}
		r.entry.applyRolloutPlan(&stored)
	}
	r.rows[entry] = planRow{version: row.Version, era: row.Era, plan: stored}
	inForce := r.entry.picker.rolloutPlan(entry)
	if inForce == nil || !isAbsent && !qfrollout.ReplacesTimed(inForce, &stored) {
		return nil
	}
	qfevent.RowRewritten.Log(&r.entry.platform.Logger, key, row.Era)
	return r.storePlan(ctx, inForce)
}

// storePlan stores a plan for the next lease holder.
func (r *rolloutDriver) storePlan(ctx context.Context, plan *qf.RolloutPlan) error {
	value, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	key, known := rolloutKeyPrefix+string(plan.Entry), r.rows[plan.Entry]
	result := r.entry.platform.Table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(fmt.Sprintf("%s/%d/%d", key, plan.Generation, plan.Step)),
		Conditions: []qf.Condition{{Key: key, Version: known.version, Era: known.era}},
		Writes:     []qf.Write{{Key: key, Value: value}},
	})
	if result.Certainty != qf.Done {
		delete(r.rows, plan.Entry) // It is read again: another holder or this write may have changed it.
		return result.Err
	}
	r.rows[plan.Entry] = planRow{version: known.version + 1, era: result.Value.Era, plan: *plan}
	return nil
}

// reportState reports each change of a rollout's state to the operator.
func (r *rolloutDriver) reportState(ctx context.Context, plan *qf.RolloutPlan) error {
	if plan == nil {
		return nil
	}
	reported := r.reported[plan.Entry]
	state := rolloutState(plan.Phase)
	if reported.Generation == plan.Generation && rolloutState(reported.Phase) == state {
		return nil
	}
	result := r.entry.platform.Rollouts.WriteRolloutState(ctx, plan.Entry, plan.To, state)
	if result.Certainty == qf.Done {
		r.reported[plan.Entry] = *plan
	}
	return result.Err
}

func rolloutState(phase qf.RolloutPhase) qf.RolloutState {
	switch phase {
	case qf.RolloutDone:
		return qf.RolloutStateSucceeded
	case qf.RolloutRolledBack:
		return qf.RolloutStateRolledBack
	default:
		return qf.RolloutStateRunning
	}
}

// applyRolloutPlan puts a plan in force at this node.
func (e *Entry) applyRolloutPlan(plan *qf.RolloutPlan) {
	e.picker.mu.Lock()
	isNew := e.picker.versions.applyPlan(plan)
	e.picker.mu.Unlock()
	if isNew {
		qfevent.RolloutChanged.Log(&e.platform.Logger, plan.Entry, plan.To, plan.Phase, plan.Reason)
	}
}

// rollbackInterval is the time between two looks of a node at the versions under judgement. A version is rolled back that
// looks bad twice in a row, so that counts which arrive in parts don't decide.
const rollbackInterval = 200 * time.Millisecond

// rollBackLoop rolls back versions that look bad to this node until the context ends.
func (e *Entry) rollBackLoop(ctx context.Context) {
	suspected := map[qf.EntryName]uint64{}
	e.runEvery(ctx, rollbackInterval, func(context.Context) { e.rollBackBadVersions(suspected) })
}

// rollBackBadVersions rolls back the versions that look bad to this node, because the holder of the lease may be lost.
// suspected holds the rollouts whose version looked bad the last time.
func (e *Entry) rollBackBadVersions(suspected map[qf.EntryName]uint64) {
	now := e.now()
	for _, order := range e.picker.rolloutOrders() {
		plan, input := e.picker.rolloutInput(now, e.fleetClock.fleetTime(now), order)
		if plan == nil || plan.Generation != order.Stamp {
			continue
		}
		next := qfrollout.RollBackTimed(plan, input)
		if next == nil {
			delete(suspected, order.Entry)
			continue
		}
		wasSuspected := suspected[order.Entry] == plan.Generation
		suspected[order.Entry] = plan.Generation
		if wasSuspected {
			e.applyRolloutPlan(next)
			e.pushUrgent()
		}
	}
}

// rolloutOrders returns the operator's rollout orders.
func (p *endpointPicker) rolloutOrders() []qf.RolloutOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	orders := make([]qf.RolloutOrder, 0, len(p.versions.orders))
	for _, order := range p.versions.orders {
		orders = append(orders, order)
	}
	return orders
}

// rolloutInput returns the plan in force and the input of its next step. The nodes agree on
// fleetNow only.
func (p *endpointPicker) rolloutInput(now, fleetNow time.Time, order qf.RolloutOrder) (*qf.RolloutPlan, *qfrollout.TimedInput) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.plans[order.Entry], p.versions.timedInput(now, fleetNow, order)
}

// servingVersion returns the version in use of an entry.
func (p *endpointPicker) servingVersion(entry qf.EntryName) qf.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.servingVersion(entry)
}

// rolloutPlan returns the plan in force for an entry, or nil.
func (p *endpointPicker) rolloutPlan(entry qf.EntryName) *qf.RolloutPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.plans[entry]
}

// rolloutPlans returns the plans in force, for peers.
func (p *endpointPicker) rolloutPlans() []qf.RolloutPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	plans := make([]qf.RolloutPlan, 0, len(p.versions.plans))
	for _, plan := range p.versions.plans {
		plans = append(plans, *plan)
	}
	return plans
}
