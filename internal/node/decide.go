package node

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// ChooseEndpoint picks a version and an endpoint for a request. It implements
// qfrequest.Choosing.
func (n *Node) ChooseEndpoint(now time.Time, request *qf.Request, resumeTokens int, avoid []qf.EndpointID) (qf.RouteChoice, error) {
	query := n.routeQuery(now, request, resumeTokens, avoid)
	isSuspect, err := n.screen(now, request)
	if err != nil {
		return qf.RouteChoice{}, err
	}
	choice, err := n.route(&query, isSuspect)
	if err == nil && isSuspect {
		err = n.claim(request)
	}
	return choice, err
}

// route asks for a version and then for an endpoint.
func (n *Node) route(query *qf.RouteQuery, isSuspect bool) (qf.RouteChoice, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	request := query.Request
	n.suspectOver(request.ID)
	version, reason := n.versions.ChooseVersion(qf.VersionQuery{
		Now: query.Now, Entry: request.Entry, Organisation: request.Organisation, Region: query.FromRegion,
		Class: request.Class, OnceOnly: request.OnceOnly(), Draw: n.platform.Random.Float64(),
	})
	query.Version = version
	avoid := query.Excluded
	query.Excluded = append(n.unusedOf(request.Entry, version), avoid...)
	choice, err := n.choose(query, isSuspect)
	if err != nil && version != "" {
		query.Version, query.Excluded = "", avoid
		choice, err = n.choose(query, isSuspect)
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

func (n *Node) routeQuery(now time.Time, request *qf.Request, resumeTokens int, avoid []qf.EndpointID) qf.RouteQuery {
	return qf.RouteQuery{
		Now: now, Request: request,
		FromZone: n.settings.Node.Zone(), FromRegion: qf.Region(n.settings.Node.Region),
		PromptTokens: qfprefix.EstimateTokens(request.Messages), ResumeTokens: resumeTokens,
		Prefixes: qfprefix.HashBlocks(request.Messages), Excluded: avoid,
	}
}

// predict tells the limiter when the request would be complete. Without an
// endpoint nothing is known. It is called with the lock held.
func (n *Node) predict(query *qf.AdmitQuery, route qf.RouteQuery) {
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
	// A route is the caller's side; the runner tells the endpoint's region.
	observation.EndpointRegion, observation.Region = observation.Region, qf.Region(n.settings.Node.Region)
	n.versions.RecordObservation(observation)
	n.router.RecordObservation(observation)
	n.budget.RecordObservation(&observation)
	n.suspectOver(observation.Request)
}

// lockedRouter guards the node's router for the runner, which uses it from many
// goroutines.
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

// lockedBudget guards the node's retry budget for the runner.
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
