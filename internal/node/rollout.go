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
	rowRolloutPrefix = "rollout/"
	rolloutStep      = time.Second
	// maxPlans bounds the plans that a node reads when it starts.
	maxPlans = 10000
)

// rollouts drives the rollouts whose leases the node holds. Its step runs in one
// goroutine.
type rollouts struct {
	node        *Node
	controllers map[qf.EntryName]*rollout
	// areLoaded is true once the plans were read from the table.
	areLoaded bool
	steppedAt time.Time
}

// rollout is one entry's rollout under this node's lease.
type rollout struct {
	controller *qfrollout.Controller
	// version is that of the plan's row, and fencing the lease's number under
	// which it was read.
	version uint64
	fencing qf.FencingNumber
}

func newRollouts(n *Node) *rollouts {
	return &rollouts{node: n, controllers: map[qf.EntryName]*rollout{}}
}

// wishesOf returns what a catalogue asks of its entries' versions.
func wishesOf(snapshot *qfcatalogue.Snapshot) []qfrollout.RolloutSpec {
	wishes := make([]qfrollout.RolloutSpec, 0, len(snapshot.Document.Entries))
	for i := range snapshot.Document.Entries {
		e := &snapshot.Document.Entries[i]
		wish := qfrollout.RolloutSpec{
			Entry: e.Name, Target: e.Target, MoveBy: e.MoveBy, WatchFor: e.WatchFor.Value(),
			HasOnceOnly: len(e.OnceOnly) > 0, Revision: snapshot.Revision,
		}
		for _, v := range e.Versions {
			wish.Versions = append(wish.Versions, v.Name)
		}
		wishes = append(wishes, wish)
	}
	return wishes
}

func dutyOf(entry qf.EntryName) string { return rowRolloutPrefix + string(entry) }

// duties lists the duties that need a holder now.
func (n *Node) duties() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var duties []string
	for i := range n.catalogue.Get().Document.Entries {
		entry := n.catalogue.Get().Document.Entries[i].Name
		wish := n.versions.Spec(entry)
		if !qfrollout.IsSpecMet(n.versions.Plan(entry), &wish) {
			duties = append(duties, dutyOf(entry))
		}
	}
	return duties
}

// step judges this node's evidence and drives the rollouts that it controls.
func (r *rollouts) step(ctx context.Context) {
	n := r.node
	now := n.now()
	elapsed := now.Sub(r.steppedAt)
	if r.steppedAt.IsZero() {
		elapsed = 0
	}
	r.steppedAt = now
	n.mu.Lock()
	stops := n.versions.StopBadVersions(now, elapsed)
	n.mu.Unlock()
	r.announce(ctx, stops)
	r.load(ctx)
	for _, duty := range n.duties() {
		entry := qf.EntryName(strings.TrimPrefix(duty, rowRolloutPrefix))
		fencing, held := n.leases.Held(duty)
		if !held {
			delete(r.controllers, entry)
			continue
		}
		r.control(ctx, entry, fencing, elapsed)
	}
}

// announce tells peers of stops at once.
func (r *rollouts) announce(ctx context.Context, stops []qf.RolloutStop) {
	for _, stop := range stops {
		qfevent.RolloutStopped.Log(&r.node.platform.Logger, stop.Entry, stop.Version, stop.Reason)
	}
	if len(stops) > 0 {
		r.node.exchange(ctx)
	}
}

// load reads the plans once after the node has started.
func (r *rollouts) load(ctx context.Context) {
	if r.areLoaded {
		return
	}
	rows, err := r.node.platform.Table.Scan(ctx, rowRolloutPrefix, "", maxPlans)
	if err != nil {
		return // Peers tell the plans meanwhile.
	}
	r.areLoaded = true
	for _, row := range rows {
		var plan qf.RolloutPlan
		if json.Unmarshal(row.Value, &plan) == nil {
			r.node.offerPlan(&plan)
		}
	}
}

// offerPlan puts a plan in force if it replaces the one that is.
func (n *Node) offerPlan(plan *qf.RolloutPlan) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takePlan(plan)
}

// takePlan is called with the lock held.
func (n *Node) takePlan(plan *qf.RolloutPlan) {
	before := n.versions.Plan(plan.Entry)
	now := n.now()
	if !n.versions.SetPlan(now, len(n.membership.Peers(now))+1, plan) {
		return
	}
	n.planAt[plan.Entry] = now
	if before == nil || before.Phase != plan.Phase || before.Generation != plan.Generation {
		qfevent.RolloutChanged.Log(&n.platform.Logger, plan.Entry, plan.To, plan.Phase, plan.Reason)
	}
	if plan.Late != "" && (before == nil || before.Late == "") {
		qfevent.RolloutLate.Log(&n.platform.Logger, plan.Entry, plan.To, plan.Late)
	}
}

// learnRollouts takes a peer's stops, plans and evidence. It is called with the
// lock held.
func (n *Node) learnRollouts(now time.Time, digest *qf.Digest) {
	for _, stop := range digest.RolloutStops {
		if n.versions.ApplyStop(stop) {
			n.hasUrgentNews.Store(true)
			qfevent.RolloutStopped.Log(&n.platform.Logger, stop.Entry, stop.Version, stop.Reason)
		}
	}
	for i := range digest.RolloutPlans {
		n.takePlan(&digest.RolloutPlans[i])
	}
	for _, e := range digest.RolloutEvidence {
		if n.evidence[e.Entry] == nil {
			n.evidence[e.Entry] = map[qf.NodeID]qf.RolloutEvidence{}
		}
		n.evidence[e.Entry][e.Node] = e
	}
	n.versions.RefreshShares(now)
}

// evidenceFor returns this node's evidence of the rollouts that a peer controls.
func (n *Node) evidenceFor(peer qf.NodeID) []qf.RolloutEvidence {
	n.mu.Lock()
	defer n.mu.Unlock()
	var evidence []qf.RolloutEvidence
	for _, plan := range n.versions.Plans() {
		if plan.Holder != peer {
			continue
		}
		if e, ok := n.versions.Evidence(plan.Entry); ok {
			evidence = append(evidence, e)
		}
	}
	return evidence
}

// control lets one rollout take a step under the node's lease.
func (r *rollouts) control(ctx context.Context, entry qf.EntryName, fencing qf.FencingNumber, elapsed time.Duration) {
	c := r.controllers[entry]
	if c == nil || c.fencing != fencing {
		var err error
		if c, err = r.open(ctx, entry, fencing); err != nil {
			qfevent.RolloutFailed.Log(&r.node.platform.Logger, entry, err)
			return
		}
		r.controllers[entry] = c
		elapsed = 0
	}
	next := r.propose(c, entry, elapsed)
	if next == nil {
		return
	}
	if err := r.write(ctx, c, next); err != nil {
		qfevent.RolloutFailed.Log(&r.node.platform.Logger, entry, err)
		delete(r.controllers, entry) // What the table holds is read again.
	}
}

// open reads the plan from the table.
func (r *rollouts) open(ctx context.Context, entry qf.EntryName, fencing qf.FencingNumber) (*rollout, error) {
	row, err := r.node.platform.Table.Read(ctx, dutyOf(entry))
	if err != nil && !errors.Is(err, &qf.Error{Code: qf.CodeNotFound}) {
		return nil, err
	}
	var plan qf.RolloutPlan
	if err == nil {
		if err := json.Unmarshal(row.Value, &plan); err != nil {
			return nil, err
		}
		r.node.offerPlan(&plan)
	}
	s := &r.node.settings.Rollout
	pace := qfrollout.Timing{Within: s.Within.Value(), WatchFor: s.WatchFor.Value(), Least: s.LeastWithin.Value()}
	return &rollout{controller: qfrollout.NewController(plan, pace), version: row.Version, fencing: fencing}, nil
}

// propose asks the controller for the next plan. A stop is in force before it is
// written.
func (r *rollouts) propose(c *rollout, entry qf.EntryName, elapsed time.Duration) *qf.RolloutPlan {
	n := r.node
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if own, ok := n.versions.Evidence(entry); ok {
		c.controller.AddEvidence(&own)
	}
	for _, e := range n.evidence[entry] {
		c.controller.AddEvidence(&e)
	}
	wish := n.versions.Spec(entry)
	facts := qfrollout.StepInput{Holder: qf.NodeID(n.settings.Node.ID), Fencing: c.fencing, IsFresh: n.follower.IsFresh(now)}
	facts.Stop, _ = n.versions.ActiveStop(entry)
	next := c.controller.Step(now, elapsed, &wish, facts)
	if next != nil && next.Phase == qf.RolloutRolledBack {
		n.versions.ApplyStop(qf.RolloutStop{Entry: entry, Version: next.To, Epoch: next.Generation, Reason: next.Reason})
	}
	return next
}

// write puts the plan into the table and in force. The lease is looked at once
// more right before, and the row must be as it was read.
func (r *rollouts) write(ctx context.Context, c *rollout, next *qf.RolloutPlan) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, held := r.node.leases.Held(dutyOf(next.Entry)); !held {
		return qf.NewError(qf.CodeStaleFencing, qf.StepLease, "", "the lease was lost before the write")
	}
	result := r.node.platform.Table.Commit(ctx, qf.Transaction{
		ID:         qf.TransactionID(uuid.NewString()),
		Conditions: []qf.Condition{{Key: dutyOf(next.Entry), Version: c.version}},
		Writes:     []qf.Write{{Key: dutyOf(next.Entry), Value: value}},
	})
	if result.Certainty != qf.Done {
		return result.Err
	}
	c.version++
	phase := c.controller.Plan().Phase
	c.controller.SetPlan(*next)
	r.node.offerPlan(next)
	if phase != next.Phase {
		r.node.exchange(ctx)
	}
	return nil
}

// unusedOf returns the endpoints of a version that is judged which its share
// doesn't need yet. It is called with the lock held.
func (n *Node) unusedOf(entry qf.EntryName, version qf.Version) []qf.EndpointID {
	judged, part := n.versions.EndpointShare(entry)
	if judged == "" || version != judged || part >= 1 {
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
	used := max(1, int(math.Ceil(part*float64(len(ids)))))
	return ids[min(used, len(ids)):]
}
