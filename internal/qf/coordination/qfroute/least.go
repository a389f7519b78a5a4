// Package qfroute contains the routers, which choose the endpoint for an attempt. They do
// no I/O and read no clock.
package qfroute

import (
	"time"

	"quetzalfront/internal/qf"
)

// LeastOutstanding picks the endpoint with the fewest attempts of this node in progress.
// It is a baseline for benchmarks.
type LeastOutstanding struct {
	baseline
	running map[qf.EndpointID]int
}

// NewLeastOutstanding returns a router without endpoints.
func NewLeastOutstanding() *LeastOutstanding {
	return &LeastOutstanding{baseline: newBaseline(), running: map[qf.EndpointID]int{}}
}

// ChooseEndpoint implements qf.Router.
func (l *LeastOutstanding) ChooseEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	best := -1
	for _, i := range l.candidates(&query) {
		if best < 0 || l.running[l.endpoints[i].ID] < l.running[l.endpoints[best].ID] {
			best = i
		}
	}
	return l.buildChoice(&query, best, "LeastOutstanding")
}

// PredictEndpoint implements qf.Router.
func (l *LeastOutstanding) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	return l.ChooseEndpoint(query)
}

// RecordStart implements qf.Router.
func (l *LeastOutstanding) RecordStart(_ time.Time, endpoint qf.EndpointID, _ int) {
	l.running[endpoint]++
}

// RecordEnd implements qf.Router.
func (l *LeastOutstanding) RecordEnd(_ time.Time, endpoint qf.EndpointID, _ int, _ bool) {
	l.running[endpoint]--
	if l.running[endpoint] <= 0 {
		delete(l.running, endpoint)
	}
}
