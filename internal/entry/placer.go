package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfadmit"
)

// placer implements qf.EndpointPicker over a router. It guards the router, which isn't safe
// for concurrent use.
type placer struct {
	self qf.Node

	mu       sync.Mutex
	router   qf.Router
	random   *rand.Rand
	versions *versions
	// pressure and forecast learn from first tokens.
	pressure qfadmit.Pressure
	forecast qfadmit.WaitEstimator
}

// isPressed reports whether first tokens come late.
func (p *placer) isPressed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pressure.IsHigh(now)
}

// PickEndpoint implements qf.EndpointPicker.
func (p *placer) PickEndpoint(query *qf.PickQuery) (qf.PickedEndpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := query.Entry
	if entry == "" {
		entry = p.draw(query.Route.Entries)
	}
	request := &qf.Request{Entry: entry, Class: qf.ClassInteractive, Organisation: query.Organisation, Deadline: query.Deadline}
	question := qf.RouteQuery{
		Now: query.Now, Request: request, FromZone: p.self.AvailabilityZone, FromRegion: p.self.Region,
		ResumeTokens: query.ResumeTokens, Excluded: query.Excluded, Version: p.versions.choose(entry, p.random),
	}
	if query.Prompt != nil {
		question.PromptTokens = query.Prompt.Tokens
		question.Prefixes = prefixesOf(query.Prompt)
		question.Affinity, question.AffinityTokens = affinityOf(query.Prompt)
		request.MaxTokens = query.Prompt.MaxAnswerTokens
	}
	choice, err := p.router.ChooseEndpoint(question)
	if err != nil {
		return qf.PickedEndpoint{}, err
	}
	if wait, isHopeless := p.expectHopeless(query, &choice); isHopeless {
		return qf.PickedEndpoint{}, &qf.Error{
			Code: qf.CodeOverloaded, Step: qf.StepRoute, Peer: string(choice.Endpoint.ID), Ran: qf.RanNo,
			Reason: "the first token would come too late at every endpoint",
			Cause:  fmt.Errorf("%v to wait at the best one, objective %v", wait, query.Route.Objective),
		}
	}
	placement := qf.PickedEndpoint{
		Endpoint: choice.Endpoint, StartedAt: query.Now, Tokens: max(choice.Prediction.PrefillTokens, 1),
		FirstToken: choice.FirstToken, Reason: choice.Reason, Objective: query.Route.Objective, Route: query.Route.Name,
	}
	p.router.RecordStart(query.Now, placement.Endpoint.ID, placement.Tokens)
	return placement, nil
}

// expectHopeless returns how long a request will wait at the best endpoint, and whether that
// is too long. Repeats have waited already.
func (p *placer) expectHopeless(query *qf.PickQuery, choice *qf.RouteChoice) (wait time.Duration, isHopeless bool) {
	objective := query.Route.Objective
	if query.Prompt == nil || objective <= 0 || len(query.Excluded) > 0 {
		return 0, false
	}
	return p.forecast.CheckObjective(query.Now, choice.Prediction.Queue, objective)
}

// draw picks one of a route's entries by weight.
func (p *placer) draw(entries []qf.WeightedEntry) qf.EntryName {
	total := 0.0
	for i := range entries {
		total += entries[i].Weight
	}
	drawn := p.random.Float64() * total
	for i := range entries {
		drawn -= entries[i].Weight
		if drawn < 0 {
			return entries[i].Entry
		}
	}
	return entries[len(entries)-1].Entry
}

// RecordFirstToken implements qf.EndpointPicker.
func (p *placer) RecordFirstToken(at time.Time, placement *qf.PickedEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	placement.Began = at.Sub(placement.StartedAt)
	p.versions.began(placement)
	p.router.RecordFirstToken(at, placement.Endpoint.ID, at.Sub(placement.StartedAt))
	if placement.Endpoint.Kind == qf.KindModelEngine {
		p.pressure.RecordFirstToken(at, placement.Began, placement.Objective)
		p.forecast.RecordFirstToken(at, placement.FirstToken, placement.Began, placement.Objective)
	}
}

// RecordAttemptEnd implements qf.EndpointPicker.
func (p *placer) RecordAttemptEnd(at time.Time, placement *qf.PickedEndpoint, end qf.AttemptEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.RecordEnd(at, placement.Endpoint.ID, placement.Tokens, end == qf.AttemptAnswered || end == qf.AttemptCancelled)
	p.versions.ended(placement, end)
}

// RecordLoad implements qf.EndpointPicker.
func (p *placer) RecordLoad(at time.Time, endpoint qf.EndpointID, load qf.ResponseLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.RecordLoadReport(at, qf.LoadReport{Endpoint: endpoint, At: at, Running: load.Running, Queued: load.Waiting})
}

// setEndpoints replaces the endpoints that may get work.
func (p *placer) setEndpoints(endpoints []qf.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.SetEndpoints(endpoints)
	p.versions.setListed(endpoints)
}

// setOrder takes the operator's order of a rollout.
func (p *placer) setOrder(order qf.RolloutOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.setOrder(order)
}

// peerSent takes what a peer has in progress.
func (p *placer) peerSent(node qf.NodeID, loads []qf.InFlightLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sent := range loads {
		sent.Node = node
		p.router.RecordPeerLoad(sent)
	}
}

// healthChanges returns the news of endpoints' health since the last call.
func (p *placer) healthChanges() []qf.HealthChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.TakeHealthChanges()
}
