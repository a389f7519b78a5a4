package node

import (
	"context"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfaddress"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/pkg/qfapi"
)

// Now implements qfhttp.CallerService.
func (n *Node) Now() time.Time { return n.now() }

// Addresses implements qfhttp.CallerService. A node whose VM is under notice is omitted at
// once, even if it hasn't announced that it leaves.
func (n *Node) Addresses(from qf.Region) []qf.Node {
	nodes := n.LiveNodes()
	n.mu.Lock()
	defer n.mu.Unlock()
	return qfaddress.Pick(qfaddress.Query{Region: from, Nodes: nodes, Random: n.platform.Random})
}

// LiveNodes returns all nodes to which callers may be directed.
func (n *Node) LiveNodes() []qf.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var nodes []qf.Node
	for _, node := range n.membership.Nodes(n.now()) {
		if node.State == qf.NodeLive && node.CallerAddress.IsValid() {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Catalogue implements qfhttp.OperatorService.
func (n *Node) Catalogue() *qfcatalogue.Snapshot { return n.catalogue.Get() }

// Apply implements qfhttp.OperatorService.
func (n *Node) Apply(ctx context.Context, edit qfcatalogue.Edit) qfcatalogue.EditResult {
	edit.At = n.now().UTC()
	result := n.catalogueStore.Apply(ctx, edit)
	if result.State == qfcatalogue.EditAccepted {
		n.pollCatalogue(ctx)
		n.exchange(ctx)
	}
	return result
}

// Settle implements qfhttp.OperatorService.
func (n *Node) Settle(ctx context.Context, editID string) qfcatalogue.EditResult {
	return n.catalogueStore.Settle(ctx, editID)
}

// History implements qfhttp.OperatorService.
func (n *Node) History(ctx context.Context) ([]qfcatalogue.Snapshot, error) {
	return n.catalogueStore.Recent(ctx)
}

// IsReady implements qfhttp.OperatorService.
func (n *Node) IsReady() bool {
	return n.Phase() == PhaseServing && n.catalogue.Revision() > 0 && n.hasJoined()
}

// Report implements qfhttp.OperatorService.
func (n *Node) Report(_ context.Context, name, subject string) (any, error) {
	switch name {
	case "nodes":
		return n.reportNodes(), nil
	case "fleet":
		return n.reportFleet(), nil
	case "rollouts":
		return n.reportRollouts(), nil
	case "request":
		return n.reportRequest(qf.RequestID(subject))
	case "explain":
		return n.explainSubject(subject)
	default:
		return nil, qf.NewError(qf.CodeNotFound, qf.StepReport, "", "no such report: "+name)
	}
}

func (n *Node) reportNodes() []qfapi.NodeReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	var reports []qfapi.NodeReport
	for _, node := range n.membership.Nodes(n.now()) {
		if node.ID == qf.NodeID(n.settings.Node.ID) {
			node.CatalogueRevision, node.CatalogueAge = n.catalogue.Revision(), n.follower.Age(n.now())
		}
		reports = append(reports, qfapi.NodeReport{
			ID: string(node.ID), Region: string(node.Region), AvailabilityZone: string(node.AvailabilityZone),
			State: string(node.State), Address: node.CallerAddress,
			Revision: uint64(node.CatalogueRevision), InProgress: node.Load,
			CatalogueAge: formatDuration(node.CatalogueAge), NewsAge: formatDuration(n.membership.HeartbeatAge(n.now(), node.ID)),
		})
	}
	return reports
}

// formatDuration formats a duration, rounded to milliseconds, for a report.
func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

func (n *Node) reportFleet() qfapi.FleetReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	report := qfapi.FleetReport{AsOf: n.listAsOf}
	for i := range n.endpoints {
		report.Endpoints = append(report.Endpoints, n.reportEndpoint(&n.endpoints[i]))
	}
	return report
}

func (n *Node) reportRequest(id qf.RequestID) (any, error) {
	record := n.records.Get(id)
	if record == nil {
		return nil, qf.NewError(qf.CodeNotFound, qf.StepReport, n.settings.Node.ID, "the node has no record of the request")
	}
	progress := record.FullProgress()
	report := qfapi.RequestReport{
		ID: string(id), Entry: string(record.Request.Entry), Organisation: string(record.Request.Organisation),
		Outcome: string(progress.Outcome), Tokens: len(progress.Text), Recomputed: record.Recomputed(),
	}
	if progress.Moved != nil {
		report.MovedTo = string(progress.Moved.Node.ID)
	}
	for _, d := range record.Decisions() {
		decision := qfapi.DecisionReport{
			At: d.At, Step: string(d.Step), Endpoint: string(d.Endpoint), Rule: d.Reason.Rule, Note: d.Note,
		}
		for _, f := range d.Reason.Figures {
			decision.Figures = append(decision.Figures, qfapi.FigureReport{Name: f.Name, Value: f.Value})
		}
		report.Decisions = append(report.Decisions, decision)
	}
	return report, nil
}

// Endpoints returns the endpoints of the last VM list.
func (n *Node) Endpoints() []qf.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]qf.Endpoint(nil), n.endpoints...)
}
