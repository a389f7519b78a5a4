package node

import (
	"fmt"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/pkg/qfapi"
)

// reportRollouts returns the state of all rollouts of which this node has a plan.
func (n *Node) reportRollouts() []qfapi.RolloutReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	var reports []qfapi.RolloutReport
	for i := range n.catalogue.Get().Document.Entries {
		if report := n.reportRollout(n.catalogue.Get().Document.Entries[i].Name); report != nil {
			reports = append(reports, *report)
		}
	}
	return reports
}

// reportRollout returns the state of one entry's rollout, or nil if the node has no plan.
// The caller holds the lock.
func (n *Node) reportRollout(entry qf.EntryName) *qfapi.RolloutReport {
	plan := n.versionChooser.Plan(entry)
	if plan == nil {
		return nil
	}
	stop, isStopped := n.versionChooser.ActiveStop(entry)
	report := &qfapi.RolloutReport{
		Entry: string(entry), From: string(plan.From), To: string(plan.To), Phase: string(plan.Phase),
		Summary: summariseRollout(plan, stop, isStopped), Late: plan.Late, Generation: plan.Generation, Step: plan.Step,
		Revision: uint64(plan.Revision), MoveBy: plan.MoveBy, Holder: string(plan.Holder), Fencing: uint64(plan.Fencing),
		Age: formatDuration(n.now().Sub(n.planReceivedAt[entry])),
	}
	for i := range plan.Routes {
		r := &plan.Routes[i]
		share := r.Share
		if isStopped {
			share = 0
		}
		report.Routes = append(report.Routes, qfapi.RouteReport{
			Organisation: string(r.Route.Organisation), Region: string(r.Route.Region), Class: string(r.Route.Class),
			OnceOnly: r.Route.OnceOnly, Stage: r.Stage, Share: share, New: r.New, Old: r.Old,
		})
	}
	return report
}

// summariseRollout describes a rollout's state and its reason in a sentence.
func summariseRollout(plan *qf.RolloutPlan, stop qf.RolloutStop, isStopped bool) string {
	switch {
	case plan.From == plan.To:
		return fmt.Sprintf("%s serves all traffic: %s", plan.To, plan.Reason)
	case plan.Phase == qf.RolloutRolledBack:
		return fmt.Sprintf("%s was rolled back, %s serves all traffic: %s", plan.To, plan.From, plan.Reason)
	case isStopped:
		return fmt.Sprintf("%s is stopped, %s serves all traffic: %s", plan.To, plan.From, stop.Reason)
	case plan.Phase == qf.RolloutDone:
		return fmt.Sprintf("the rollout of %s is done: %s", plan.To, plan.Reason)
	case plan.Late != "":
		return fmt.Sprintf("the rollout from %s to %s will be late: %s", plan.From, plan.To, plan.Late)
	case plan.Phase == qf.RolloutWatching:
		return fmt.Sprintf("%s serves all traffic and is being watched: %s", plan.To, plan.Reason)
	default:
		return fmt.Sprintf("traffic moves from %s to %s until %s: %s", plan.From, plan.To, plan.MoveBy.UTC().Format(time.RFC3339), plan.Reason)
	}
}

// explainSubject reports on what the identifier names: a request, an entry's rollout or a
// VM.
func (n *Node) explainSubject(subject string) (any, error) {
	if n.records.Get(qf.RequestID(subject)) != nil {
		report, err := n.reportRequest(qf.RequestID(subject))
		request, ok := report.(qfapi.RequestReport)
		if err != nil || !ok {
			return nil, err
		}
		return qfapi.ExplainReport{Request: &request}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalogue.Get().Document.Entry(qf.EntryName(subject)) != nil {
		if rollout := n.reportRollout(qf.EntryName(subject)); rollout != nil {
			return qfapi.ExplainReport{Rollout: rollout}, nil
		}
	}
	for i := range n.endpoints {
		e := &n.endpoints[i]
		if string(e.VM) != subject {
			continue
		}
		return qfapi.ExplainReport{VM: &qfapi.VMReport{
			Endpoint: n.reportEndpoint(e), Load: n.loads[e.ID], ListAge: formatDuration(n.now().Sub(n.listAsOf)),
			Revision: uint64(n.catalogue.Revision()), Rollout: n.reportRollout(e.Entry),
		}}, nil
	}
	return nil, qf.NewError(qf.CodeNotFound, qf.StepReport, n.settings.Node.ID, "the node has no request, entry or VM of that name")
}

// reportEndpoint describes an endpoint. The caller holds the lock.
func (n *Node) reportEndpoint(e *qf.Endpoint) qfapi.EndpointReport {
	state := qf.VMLive
	if n.membership.IsDeparting(e.VM, e.Incarnation) {
		state = qf.VMLeaving
	}
	return qfapi.EndpointReport{
		VM: string(e.VM), Entry: string(e.Entry), Version: string(e.Version), State: string(state),
		Region: string(e.Region), AvailabilityZone: string(e.AvailabilityZone), Class: string(e.Class), Address: e.Address,
	}
}
