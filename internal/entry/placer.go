package entry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfprefix"
)

// placer implements qf.Placer over a router. It guards the router, which isn't safe
// for concurrent use.
type placer struct {
	self qf.Node

	mu       sync.Mutex
	router   qf.Router
	random   *rand.Rand
	versions *versions
	// pressure is how late first tokens are, as a share of the objective: a mean of
	// late, as of pressureAt.
	pressure   float64
	pressureAt time.Time
	forecast   forecast
}

const (
	// pressureWindow is the time over which the pressure is averaged.
	pressureWindow = 2 * time.Second
	// pressed is the pressure from which on more endpoints are needed.
	pressed = 0.4
)

// notePressure averages how late an attempt's first token was.
func (p *placer) notePressure(at time.Time, took, objective time.Duration) {
	if objective <= 0 {
		return
	}
	keep := math.Exp(-at.Sub(p.pressureAt).Seconds() / pressureWindow.Seconds())
	weight := max(1-keep, 1.0/pressureSamples)
	p.pressure += (float64(took)/float64(objective) - p.pressure) * weight
	p.pressureAt = at
}

// pressureSamples bounds the weight of the past by a number of first tokens.
const pressureSamples = 16

// isPressed reports whether first tokens come late.
func (p *placer) isPressed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pressure > pressed && now.Sub(p.pressureAt) < 2*pressureWindow
}

// Place implements qf.Placer.
func (p *placer) Place(query *qf.PlaceQuery) (qf.Placement, error) {
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
		request.MaxTokens = query.Prompt.MaxAnswer
	}
	choice, err := p.router.Choose(question)
	if err != nil {
		return qf.Placement{}, err
	}
	if wait, isHopeless := p.expectHopeless(query, &choice); isHopeless {
		return qf.Placement{}, &qf.Error{
			Code: qf.CodeOverloaded, Step: qf.StepRoute, Peer: string(choice.Endpoint.ID), Ran: qf.RanNo,
			Reason: "the first token would come too late at every endpoint",
			Cause:  fmt.Errorf("%v to wait at the best one, objective %v", wait, query.Route.Objective),
		}
	}
	placement := qf.Placement{
		Endpoint: choice.Endpoint, StartedAt: query.Now, Tokens: max(choice.Prediction.PrefillTokens, 1),
		FirstToken: choice.FirstToken, Reason: choice.Reason, Objective: query.Route.Objective, Route: query.Route.Name,
	}
	p.router.Started(query.Now, placement.Endpoint.ID, placement.Tokens)
	return placement, nil
}

// hopelessFrom is how much of its objective a request may be expected to wait for others
// before its own prompt is computed. Beyond that it is refused: what would be late anyway
// must not make others late. Its own size is no reason.
const hopelessFrom = 0.8

// expectHopeless returns how long a request will wait at the best endpoint, and whether that
// is too long.
func (p *placer) expectHopeless(query *qf.PlaceQuery, choice *qf.RouteChoice) (wait time.Duration, isHopeless bool) {
	objective := query.Route.Objective
	if query.Prompt == nil || objective <= 0 || len(query.Excluded) > 0 {
		return 0, false
	}
	wait = p.forecast.expect(query.Now, choice.Prediction.Queue)
	return wait, float64(wait) > hopelessFrom*float64(objective)
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

// Began implements qf.Placer.
func (p *placer) Began(at time.Time, placement *qf.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	placement.Began = at.Sub(placement.StartedAt)
	p.versions.began(placement)
	p.router.FirstToken(at, placement.Endpoint.ID, at.Sub(placement.StartedAt))
	if placement.Endpoint.Kind == qf.KindModelEngine {
		p.notePressure(at, placement.Began, placement.Objective)
		p.forecast.note(at, placement.FirstToken, placement.Began, placement.Objective)
	}
}

// Ended implements qf.Placer.
func (p *placer) Ended(at time.Time, placement *qf.Placement, end qf.AttemptEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Ended(at, placement.Endpoint.ID, placement.Tokens, end == qf.AttemptAnswered || end == qf.AttemptCancelled)
	p.versions.ended(placement, end)
}

// Told implements qf.Placer.
func (p *placer) Told(at time.Time, endpoint qf.EndpointID, load qf.AnswerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Reported(at, qf.LoadReport{Endpoint: endpoint, At: at, Running: load.Running, Queued: load.Waiting})
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
func (p *placer) peerSent(node qf.NodeID, loads []qf.SentLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sent := range loads {
		sent.Node = node
		p.router.PeerSent(sent)
	}
}

// prefixesOf turns the parts of a prompt into the hashes of its blocks. The last part
// counts too: a session's next request begins with it.
func prefixesOf(prompt *qf.Prompt) []uint64 {
	var prefixes []uint64
	var chain [3]uint64
	tokens := 0
	for _, part := range prompt.Parts {
		chain[0], chain[1] = chain[2], part.ID
		tokens += part.Tokens
		for block := uint64(len(prefixes)); int(block+1)*qfprefix.BlockTokens <= tokens; block++ {
			prefixes = append(prefixes, hash(chain[0], chain[1], block))
		}
		chain[2] = hash(chain[0], chain[1], 0)
	}
	return prefixes
}

// affinityOf names the parts of a prompt that other requests share: all but the last.
func affinityOf(prompt *qf.Prompt) (name uint64, tokens int) {
	for i := range len(prompt.Parts) - 1 {
		name = hash(name, prompt.Parts[i].ID)
		tokens += prompt.Parts[i].Tokens
	}
	return name, tokens
}

func hash(numbers ...uint64) uint64 {
	const bytesOfNumber = 8
	buffer := make([]byte, 0, bytesOfNumber*len(numbers))
	for _, n := range numbers {
		for shift := 0; shift < 64; shift += 8 {
			buffer = append(buffer, byte(n>>shift))
		}
	}
	return xxhash.Sum64(buffer)
}

// healthChanges returns the news of endpoints' health since the last call.
func (p *placer) healthChanges() []qf.HealthChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.HealthChanges()
}
