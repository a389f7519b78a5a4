package node

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfrollout"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfevent"
)

const (
	// rolloutRowPrefix is the prefix of the keys of rollout plans in the table, and of the
	// names of rollout leases.
	rolloutRowPrefix = "rollout/"
	// rolloutInterval is the time between two steps of the rollouts.
	rolloutInterval = time.Second
	// maxPlans limits the plans that a node reads when it starts.
	maxPlans = 10000
)

// rolloutDriver controls the rollouts whose leases the node holds. Its methods are called
// from one goroutine.
type rolloutDriver struct {
	node        *Node
	controllers map[qf.EntryName]*rolloutControl
	// isLoaded is true once the plans were read from the table.
	isLoaded   bool
	lastStepAt time.Time
}

// rolloutControl is this node's control of one entry's rollout under a lease.
type rolloutControl struct {
	controller *qfrollout.Controller
	// version is the version of the plan's row, and fencing the fencing number of the lease
	// under which it was read.
	version uint64
	fencing qf.FencingNumber
}

func newRolloutDriver(n *Node) *rolloutDriver {
	return &rolloutDriver{node: n, controllers: map[qf.EntryName]*rolloutControl{}}
}

// rolloutSpecs returns the desired versions of a catalogue's entries.
func rolloutSpecs(snapshot *qfcatalogue.Snapshot) []qfrollout.RolloutSpec {
	specs := make([]qfrollout.RolloutSpec, 0, len(snapshot.Document.Entries))
	for i := range snapshot.Document.Entries {
		e := &snapshot.Document.Entries[i]
		spec := qfrollout.RolloutSpec{
			Entry: e.Name, Target: e.Target, MoveBy: e.MoveBy, WatchFor: e.WatchFor.Value(),
			HasOnceOnly: len(e.OnceOnly) > 0, Revision: snapshot.Revision,
		}
		for _, v := range e.Versions {
			spec.Versions = append(spec.Versions, v.Name)
		}
		specs = append(specs, spec)
	}
	return specs
}

// rolloutDuty returns the name of the lease, and the key of the plan, of an entry's
// rollout.
func rolloutDuty(entry qf.EntryName) string { return rolloutRowPrefix + string(entry) }

// rolloutDuties lists the leases of the rollouts that aren't complete.
func (n *Node) rolloutDuties() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var duties []string
	for i := range n.catalogue.Get().Document.Entries {
		entry := n.catalogue.Get().Document.Entries[i].Name
		spec := n.versionChooser.Spec(entry)
		if !qfrollout.IsSpecMet(n.versionChooser.Plan(entry), &spec) {
			duties = append(duties, rolloutDuty(entry))
		}
	}
	return duties
}

// step stops the versions that this node's evidence shows to be bad, and advances the
// rollouts that this node controls.
func (r *rolloutDriver) step(ctx context.Context) {
	n := r.node
	now := n.now()
	elapsed := now.Sub(r.lastStepAt)
	if r.lastStepAt.IsZero() {
		elapsed = 0
	}
	r.lastStepAt = now
	n.mu.Lock()
	stops := n.versionChooser.StopBadVersions(now, elapsed)
	n.mu.Unlock()
	r.announceStops(ctx, stops)
	r.loadPlans(ctx)
	for _, duty := range n.rolloutDuties() {
		entry := qf.EntryName(strings.TrimPrefix(duty, rolloutRowPrefix))
		fencing, held := n.leases.Held(duty)
		if !held {
			delete(r.controllers, entry)
			continue
		}
		r.stepRollout(ctx, entry, fencing, elapsed)
	}
}

// announceStops logs stops and sends them to peers at once.
func (r *rolloutDriver) announceStops(ctx context.Context, stops []qf.RolloutStop) {
	for _, stop := range stops {
		qfevent.RolloutStopped.Log(&r.node.platform.Logger, stop.Entry, stop.Version, stop.Reason)
	}
	if len(stops) > 0 {
		r.node.exchange(ctx)
	}
}

// loadPlans reads the plans from the table once, after the node has started.
func (r *rolloutDriver) loadPlans(ctx context.Context) {
	if r.isLoaded {
		return
	}
	rows, err := r.node.platform.Table.Scan(ctx, rolloutRowPrefix, "", maxPlans)
	if err != nil {
		return // The next step tries again; digests carry the plans meanwhile.
	}
	r.isLoaded = true
	for _, row := range rows {
		var plan qf.RolloutPlan
		if json.Unmarshal(row.Value, &plan) == nil {
			r.node.applyPlan(&plan)
		}
	}
}

// applyPlan puts a plan in force if it supersedes the current one.
func (n *Node) applyPlan(plan *qf.RolloutPlan) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyPlanLocked(plan)
}

// applyPlanLocked is applyPlan for callers that hold the lock.
func (n *Node) applyPlanLocked(plan *qf.RolloutPlan) {
	before := n.versionChooser.Plan(plan.Entry)
	now := n.now()
	if !n.versionChooser.SetPlan(now, len(n.membership.Peers(now))+1, plan) {
		return
	}
	n.planReceivedAt[plan.Entry] = now
	if before == nil || before.Phase != plan.Phase || before.Generation != plan.Generation {
		qfevent.RolloutChanged.Log(&n.platform.Logger, plan.Entry, plan.To, plan.Phase, plan.Reason)
	}
	if plan.Late != "" && (before == nil || before.Late == "") {
		qfevent.RolloutLate.Log(&n.platform.Logger, plan.Entry, plan.To, plan.Late)
	}
}

// applyRollouts applies the stops, plans and evidence of a peer's digest. The caller holds
// the lock.
func (n *Node) applyRollouts(now time.Time, digest *qf.Digest) {
	for _, stop := range digest.RolloutStops {
		if n.versionChooser.ApplyStop(stop) {
			n.hasUrgentUpdates.Store(true)
			qfevent.RolloutStopped.Log(&n.platform.Logger, stop.Entry, stop.Version, stop.Reason)
		}
	}
	for i := range digest.RolloutPlans {
		n.applyPlanLocked(&digest.RolloutPlans[i])
	}
	for _, e := range digest.RolloutEvidence {
		if n.peerEvidence[e.Entry] == nil {
			n.peerEvidence[e.Entry] = map[qf.NodeID]qf.RolloutEvidence{}
		}
		n.peerEvidence[e.Entry][e.Node] = e
	}
	n.versionChooser.RefreshShares(now)
}

// evidenceFor returns this node's evidence for the rollouts that a peer controls.
func (n *Node) evidenceFor(peer qf.NodeID) []qf.RolloutEvidence {
	n.mu.Lock()
	defer n.mu.Unlock()
	var evidence []qf.RolloutEvidence
	for _, plan := range n.versionChooser.Plans() {
		if plan.Holder != peer {
			continue
		}
		if e, ok := n.versionChooser.Evidence(plan.Entry); ok {
			evidence = append(evidence, e)
		}
	}
	return evidence
}

// stepRollout advances one rollout under the node's lease.
func (r *rolloutDriver) stepRollout(ctx context.Context, entry qf.EntryName, fencing qf.FencingNumber, elapsed time.Duration) {
	c := r.controllers[entry]
	if c == nil || c.fencing != fencing {
		var err error
		if c, err = r.readPlan(ctx, entry, fencing); err != nil {
			qfevent.RolloutFailed.Log(&r.node.platform.Logger, entry, err)
			return
		}
		r.controllers[entry] = c
		elapsed = 0
	}
	next := r.proposePlan(c, entry, elapsed)
	if next == nil {
		return
	}
	if err := r.commitPlan(ctx, c, next); err != nil {
		qfevent.RolloutFailed.Log(&r.node.platform.Logger, entry, err)
		delete(r.controllers, entry) // The next step reads the plan from the table again.
	}
}

// readPlan reads an entry's plan from the table and returns a controller for it.
func (r *rolloutDriver) readPlan(ctx context.Context, entry qf.EntryName, fencing qf.FencingNumber) (*rolloutControl, error) {
	row, err := r.node.platform.Table.Read(ctx, rolloutDuty(entry))
	if err != nil && !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return nil, err
	}
	var plan qf.RolloutPlan
	if err == nil {
		if err := json.Unmarshal(row.Value, &plan); err != nil {
			return nil, err
		}
		r.node.applyPlan(&plan)
	}
	s := &r.node.settings.Rollout
	timing := qfrollout.Timing{Within: s.Within.Value(), WatchFor: s.WatchFor.Value(), Least: s.LeastWithin.Value()}
	return &rolloutControl{controller: qfrollout.NewController(plan, timing), version: row.Version, fencing: fencing}, nil
}

// proposePlan returns the controller's next plan, or nil. The stop of a rollback takes
// effect on this node before the plan is committed.
func (r *rolloutDriver) proposePlan(c *rolloutControl, entry qf.EntryName, elapsed time.Duration) *qf.RolloutPlan {
	n := r.node
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if own, ok := n.versionChooser.Evidence(entry); ok {
		c.controller.AddEvidence(&own)
	}
	for _, e := range n.peerEvidence[entry] {
		c.controller.AddEvidence(&e)
	}
	spec := n.versionChooser.Spec(entry)
	input := qfrollout.StepInput{Holder: qf.NodeID(n.settings.Node.ID), Fencing: c.fencing, IsFresh: n.follower.IsFresh(now)}
	input.Stop, _ = n.versionChooser.ActiveStop(entry)
	next := c.controller.Step(now, elapsed, &spec, input)
	if next != nil && next.Phase == qf.RolloutRolledBack {
		n.versionChooser.ApplyStop(qf.RolloutStop{Entry: entry, Version: next.To, Epoch: next.Generation, Reason: next.Reason})
	}
	return next
}

// commitPlan writes the plan to the table and puts it in force. It checks the lease right
// before the write, which succeeds only if the row is unchanged since it was read.
func (r *rolloutDriver) commitPlan(ctx context.Context, c *rolloutControl, next *qf.RolloutPlan) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, held := r.node.leases.Held(rolloutDuty(next.Entry)); !held {
		return qf.NewError(qf.CodeStaleFencing, qf.StepLease, "", "the lease was lost before the write")
	}
	result := r.node.platform.Table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(uuid.NewString()),
		Conditions: []qf.Condition{{Key: rolloutDuty(next.Entry), Version: c.version}},
		Writes:     []qf.Write{{Key: rolloutDuty(next.Entry), Value: value}},
	})
	if result.Certainty != qf.Done {
		return result.Err
	}
	c.version++
	phase := c.controller.Plan().Phase
	c.controller.SetPlan(*next)
	r.node.applyPlan(next)
	if phase != next.Phase {
		r.node.exchange(ctx)
	}
	return nil
}

// endpointsBeyondShare returns the endpoints of a version under evaluation that its share
// of the traffic doesn't need yet. It returns nil for other versions. The caller holds the
// lock.
func (n *Node) endpointsBeyondShare(entry qf.EntryName, version qf.Version) []qf.EndpointID {
	evaluated, share := n.versionChooser.EndpointShare(entry)
	if evaluated == "" || version != evaluated || share >= 1 {
		return nil
	}
	var ids []qf.EndpointID
	for i := range n.endpoints {
		e := &n.endpoints[i]
		if e.Entry == entry && e.Version == version && !n.membership.IsDeparting(e.VM, e.Incarnation) {
			ids = append(ids, e.ID)
		}
	}
	slices.Sort(ids)
	used := max(1, int(math.Ceil(share*float64(len(ids)))))
	return ids[min(used, len(ids)):]
}
