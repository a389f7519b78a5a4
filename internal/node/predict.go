package node

import (
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

func (n *Node) routeQuery(now time.Time, request *qf.Request, resumeTokens int, avoid []qf.EndpointID) qf.RouteQuery {
	return qf.RouteQuery{
		Now: now, Request: request,
		FromZone: n.settings.Node.Zone(), FromRegion: qf.Region(n.settings.Node.Region),
		PromptTokens: qfprefix.Tokens(request.Messages), ResumeTokens: resumeTokens,
		Prefixes: qfprefix.Hashes(request.Messages), Excluded: avoid,
	}
}

// predict tells the limiter when the request would be complete. Without an
// endpoint nothing is known. It is called with the lock held.
func (n *Node) predict(query *qf.AdmitQuery, route qf.RouteQuery) {
	choice, err := n.router.Predict(route)
	if err != nil {
		return
	}
	query.Queue = choice.Prediction.Queue
	query.Predicted = choice.Prediction.Completion(query.Request.MaxTokens)
}
