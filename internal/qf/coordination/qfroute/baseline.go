package qfroute

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// baseline is the common part of the simple routers: it holds the endpoints and the
// departing VMs, and ignores every other event.
type baseline struct {
	endpoints []qf.Endpoint
	departing map[qf.VMID]qf.Incarnation
}

func newBaseline() baseline { return baseline{departing: map[qf.VMID]qf.Incarnation{}} }

// SetEndpoints implements qf.Router.
func (b *baseline) SetEndpoints(endpoints []qf.Endpoint) { b.endpoints = endpoints }

// MarkDeparting implements qf.Router.
func (b *baseline) MarkDeparting(vm qf.VMID, incarnation qf.Incarnation) {
	b.departing[vm] = max(b.departing[vm], incarnation)
}

// isCandidate reports whether an endpoint serves the query's entry and version, isn't
// excluded, and isn't on a departing VM.
func (b *baseline) isCandidate(query *qf.RouteQuery, e *qf.Endpoint) bool {
	if e.Entry != query.Request.Entry || slices.Contains(query.Excluded, e.ID) {
		return false
	}
	if query.MayUse != nil && !query.MayUse(e.ID) {
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

// buildChoice returns the choice of the endpoint at an index. A negative index means
// that there is no candidate.
func (b *baseline) buildChoice(query *qf.RouteQuery, index int, rule string) (qf.RouteChoice, error) {
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

// RecordStart implements qf.Router.
func (b *baseline) RecordStart(time.Time, qf.EndpointID, int) {}

// RecordFirstToken implements qf.Router.
func (b *baseline) RecordFirstToken(time.Time, qf.EndpointID, time.Duration) {}

// RecordEnd implements qf.Router.
func (b *baseline) RecordEnd(time.Time, qf.EndpointID, int, bool) {}

// RecordLoadReport implements qf.Router.
func (b *baseline) RecordLoadReport(time.Time, qf.LoadReport) {}

// RecordPeerLoad implements qf.Router.
func (b *baseline) RecordPeerLoad(qf.InFlightLoad) {}

// ApplyCacheEvent implements qf.Router.
func (b *baseline) ApplyCacheEvent(qf.CacheEvent) {}

// RecordObservation implements qf.Router.
func (b *baseline) RecordObservation(qf.Observation) {}

// SetPrices implements qf.Router.
func (b *baseline) SetPrices([]qf.Price) {}

// ReportSpeeds implements qf.Router.
func (b *baseline) ReportSpeeds(time.Time) []qf.EndpointSpeed { return nil }

// RecordPeerSpeeds implements qf.Router.
func (b *baseline) RecordPeerSpeeds(qf.NodeID, []qf.EndpointSpeed) {}

// ReportInFlight implements qf.Router.
func (b *baseline) ReportInFlight(time.Time) []qf.InFlightLoad { return nil }

// TakeHealthChanges implements qf.Router.
func (b *baseline) TakeHealthChanges() []qf.HealthChange { return nil }
