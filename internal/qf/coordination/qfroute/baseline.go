package qfroute

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// baseline holds what the simple routers have in common: the candidates and the
// VMs that leave. It takes every other event without using it.
type baseline struct {
	endpoints []qf.Endpoint
	departing map[qf.VMID]qf.Incarnation
}

func newBaseline() baseline { return baseline{departing: map[qf.VMID]qf.Incarnation{}} }

// SetEndpoints implements qf.Router.
func (b *baseline) SetEndpoints(endpoints []qf.Endpoint) { b.endpoints = endpoints }

// Departing implements qf.Router.
func (b *baseline) Departing(vm qf.VMID, incarnation qf.Incarnation) {
	b.departing[vm] = max(b.departing[vm], incarnation)
}

func (b *baseline) isCandidate(query *qf.RouteQuery, e *qf.Endpoint) bool {
	if e.Entry != query.Request.Entry || slices.Contains(query.Excluded, e.ID) {
		return false
	}
	if query.Version != "" && e.Version != query.Version {
		return false
	}
	leaving, ok := b.departing[e.VM]
	return !ok || leaving < e.Incarnation
}

// candidates returns the indices of the endpoints that may be chosen.
func (b *baseline) candidates(query *qf.RouteQuery) []int {
	var list []int
	for i := range b.endpoints {
		if b.isCandidate(query, &b.endpoints[i]) {
			list = append(list, i)
		}
	}
	return list
}

func (b *baseline) choice(query *qf.RouteQuery, index int, rule string) (qf.RouteChoice, error) {
	if index < 0 {
		return qf.RouteChoice{}, errNoEndpoint()
	}
	return qf.RouteChoice{
		Endpoint:   b.endpoints[index],
		Prediction: qf.Prediction{PrefillTokens: query.PromptTokens + query.ResumeTokens},
		Reason:     qf.Reason{Rule: rule},
	}, nil
}

func errNoEndpoint() *qf.Error {
	return qf.NewError(qf.CodeNoEndpoint, qf.StepRoute, "", "no endpoint serves the entry at present")
}

// Started implements qf.Router.
func (b *baseline) Started(time.Time, qf.EndpointID, int) {}

// FirstToken implements qf.Router.
func (b *baseline) FirstToken(time.Time, qf.EndpointID, time.Duration) {}

// Ended implements qf.Router.
func (b *baseline) Ended(time.Time, qf.EndpointID, int, bool) {}

// Reported implements qf.Router.
func (b *baseline) Reported(time.Time, qf.LoadReport) {}

// PeerSent implements qf.Router.
func (b *baseline) PeerSent(qf.SentLoad) {}

// CacheChanged implements qf.Router.
func (b *baseline) CacheChanged(qf.CacheEvent) {}

// Observed implements qf.Router.
func (b *baseline) Observed(qf.Observation) {}

// SetPrices implements qf.Router.
func (b *baseline) SetPrices([]qf.Price) {}

// Sent implements qf.Router.
func (b *baseline) Sent(time.Time) []qf.SentLoad { return nil }

// HealthChanges implements qf.Router.
func (b *baseline) HealthChanges() []qf.HealthChange { return nil }
