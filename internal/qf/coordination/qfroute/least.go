// Package qfroute picks the endpoint for an attempt. Its routers do no I/O and
// read no clock.
package qfroute

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// LeastOutstanding picks the endpoint with the fewest attempts of this node in
// progress. It is a baseline.
type LeastOutstanding struct {
	endpoints []qf.Endpoint
	running   map[qf.EndpointID]int
	departing map[qf.VMID]qf.Incarnation
}

// NewLeastOutstanding returns a router without endpoints.
func NewLeastOutstanding() *LeastOutstanding {
	return &LeastOutstanding{
		running:   map[qf.EndpointID]int{},
		departing: map[qf.VMID]qf.Incarnation{},
	}
}

// SetEndpoints implements qf.Router.
func (l *LeastOutstanding) SetEndpoints(endpoints []qf.Endpoint) { l.endpoints = endpoints }

// Choose implements qf.Router.
func (l *LeastOutstanding) Choose(query qf.RouteQuery) (qf.RouteChoice, error) {
	best := -1
	for i := range l.endpoints {
		if !l.isCandidate(&query, &l.endpoints[i]) {
			continue
		}
		if best < 0 || l.running[l.endpoints[i].ID] < l.running[l.endpoints[best].ID] {
			best = i
		}
	}
	if best < 0 {
		return qf.RouteChoice{}, qf.NewError(qf.CodeNoEndpoint, qf.StepRoute, "", "no endpoint serves the entry at present")
	}
	e := l.endpoints[best]
	return qf.RouteChoice{Endpoint: e, Reason: qf.Reason{
		Rule:    "LeastOutstanding",
		Figures: []qf.Figure{{Name: "Running", Value: float64(l.running[e.ID])}},
	}}, nil
}

func (l *LeastOutstanding) isCandidate(query *qf.RouteQuery, e *qf.Endpoint) bool {
	if e.Entry != query.Request.Entry || slices.Contains(query.Excluded, e.ID) {
		return false
	}
	if query.Version != "" && e.Version != query.Version {
		return false
	}
	return l.departing[e.VM] < e.Incarnation
}

// Started implements qf.Router.
func (l *LeastOutstanding) Started(_ time.Time, endpoint qf.EndpointID, _ int) {
	l.running[endpoint]++
}

// FirstToken implements qf.Router.
func (l *LeastOutstanding) FirstToken(time.Time, qf.EndpointID, time.Duration) {}

// Ended implements qf.Router.
func (l *LeastOutstanding) Ended(_ time.Time, endpoint qf.EndpointID, _ int, _ bool) {
	l.running[endpoint]--
	if l.running[endpoint] <= 0 {
		delete(l.running, endpoint)
	}
}

// Reported implements qf.Router.
func (l *LeastOutstanding) Reported(time.Time, qf.LoadReport) {}

// Departing implements qf.Router.
func (l *LeastOutstanding) Departing(vm qf.VMID, incarnation qf.Incarnation) {
	l.departing[vm] = max(l.departing[vm], incarnation)
}

// PeerSent implements qf.Router.
func (l *LeastOutstanding) PeerSent(qf.SentLoad) {}

// CacheChanged implements qf.Router.
func (l *LeastOutstanding) CacheChanged(qf.CacheEvent) {}
