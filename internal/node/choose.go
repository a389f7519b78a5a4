package node

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// ChooseEndpoint picks a version and an endpoint for a request. It implements
// qfrequest.Chooser.
func (n *Node) ChooseEndpoint(now time.Time, request *qf.Request, resumeTokens int, excluded []qf.EndpointID) (qf.RouteChoice, error) {
	query := n.routeQuery(now, request, resumeTokens, excluded)
	isSuspect, err := n.checkSuspect(now, request)
	if err != nil {
		return qf.RouteChoice{}, err
	}
	choice, err := n.chooseVersionAndEndpoint(&query, isSuspect)
	if err == nil && isSuspect {
		err = n.claimAttempt(request)
	}
	return choice, err
}

// chooseVersionAndEndpoint chooses a version and then one of its endpoints. If that version
// has no endpoint, it chooses from all versions.
func (n *Node) chooseVersionAndEndpoint(query *qf.RouteQuery, isSuspect bool) (qf.RouteChoice, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	request := query.Request
	n.recordSuspectEnd(request.ID)
	version, reason := n.versionChooser.ChooseVersion(qf.VersionQuery{
		Now: query.Now, Entry: request.Entry, Organisation: request.Organisation, Region: query.FromRegion,
		Class: request.Class, OnceOnly: request.OnceOnly(), Draw: n.platform.Random.Float64(),
	})
	query.Version = version
	excluded := query.Excluded
	query.Excluded = append(n.endpointsBeyondShare(request.Entry, version), excluded...)
	choice, err := n.chooseAvoidingSuspects(query, isSuspect)
	if err != nil && version != "" {
		query.Version, query.Excluded = "", excluded
		choice, err = n.chooseAvoidingSuspects(query, isSuspect)
		choice.Forced = true
	}
	choice.Reason.Figures = choice.Prediction.Figures()
	choice.Load = n.loads[choice.Endpoint.ID]
	choice.Reason.Rule = reason.Rule + ", " + choice.Reason.Rule
	return choice, err
}

// IsLeaving implements qfrequest.Chooser.
func (n *Node) IsLeaving(endpoint qf.EndpointID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.endpoints {
		if e := &n.endpoints[i]; e.ID == endpoint {
			return n.membership.IsDeparting(e.VM, e.Incarnation)
		}
	}
	return false
}

// routeQuery returns the inputs of the router's choice for a request.
func (n *Node) routeQuery(now time.Time, request *qf.Request, resumeTokens int, excluded []qf.EndpointID) qf.RouteQuery {
	return qf.RouteQuery{
		Now: now, Request: request,
		FromZone: n.settings.Node.Zone(), FromRegion: qf.Region(n.settings.Node.Region),
		PromptTokens: qfprefix.EstimateTokens(request.Messages), ResumeTokens: resumeTokens,
		Prefixes: qfprefix.HashBlocks(request.Messages), Excluded: excluded,
	}
}

// addPrediction sets the predicted queue and completion times of an admission query. It
// leaves them unset if no endpoint is available. The caller holds the lock.
func (n *Node) addPrediction(query *qf.AdmitQuery, route qf.RouteQuery) {
	choice, err := n.router.PredictEndpoint(route)
	if err != nil {
		return
	}
	query.Queue = choice.Prediction.Queue
	query.Predicted = choice.Prediction.Completion(query.Request.MaxTokens)
}

// RecordAttemptEnd implements qfrequest.Observer.
func (n *Node) RecordAttemptEnd(_ time.Time, observation qf.Observation) {
	n.telemetry.RecordAttempt(&observation)
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.endpoints {
		if e := &n.endpoints[i]; e.ID == observation.Endpoint && n.membership.IsDeparting(e.VM, e.Incarnation) {
			observation.Cut = true
		}
	}
	// Rollouts group observations by this node's region; the runner set Region to the
	// endpoint's.
	observation.EndpointRegion, observation.Region = observation.Region, qf.Region(n.settings.Node.Region)
	n.versionChooser.RecordObservation(observation)
	n.router.RecordObservation(observation)
	n.budget.RecordObservation(&observation)
	n.recordSuspectEnd(observation.Request)
}

// lockedRouter calls the node's router with the lock held, for the runner, which uses it
// from many goroutines.
type lockedRouter struct {
	qf.Router
	node *Node
}

// RecordStart implements qf.Router.
func (l *lockedRouter) RecordStart(at time.Time, endpoint qf.EndpointID, tokens int) {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.node.router.RecordStart(at, endpoint, tokens)
}

// RecordFirstToken implements qf.Router.
func (l *lockedRouter) RecordFirstToken(at time.Time, endpoint qf.EndpointID, took time.Duration) {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.node.router.RecordFirstToken(at, endpoint, took)
}

// RecordEnd implements qf.Router.
func (l *lockedRouter) RecordEnd(at time.Time, endpoint qf.EndpointID, tokens int, ok bool) {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.node.router.RecordEnd(at, endpoint, tokens, ok)
}

// lockedBudget calls the node's retry budget with the lock held, for the runner.
type lockedBudget struct {
	node *Node
}

// Retry implements qfrequest.RetryBudget.
func (l *lockedBudget) Retry(query qf.RetryQuery) qf.RetryDecision {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	query.Draw = l.node.platform.Random.Float64()
	return l.node.budget.Retry(query)
}
