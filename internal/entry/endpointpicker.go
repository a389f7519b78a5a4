package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfadmit"
	"quetzalfront/internal/qf/coordination/qfpause"
	"quetzalfront/internal/qf/coordination/qfrate"
	"quetzalfront/internal/qf/coordination/qfroom"
	"quetzalfront/internal/qf/coordination/qfshare"
	"quetzalfront/internal/qf/coordination/qfwarm"
)

// endpointPicker implements qf.EndpointPicker with a router. Its lock guards the router, which isn't
// safe for concurrent use.
type endpointPicker struct {
	self qf.Node

	mu       sync.Mutex
	router   qf.Router
	random   *rand.Rand
	versions *versionSelector
	dead     deadEndpoints
	// shares are the nodes' shares of what endpoints take, rates holds the rates that they state, in the time of clock. observeRates is called with
	// changes of them, without the lock.
	shares *qfshare.Table
	rates  *qfrate.Limiter
	// rooms holds the places at brittle endpoints.
	rooms *qfroom.Limiter
	// pauses holds the endpoints that want no requests of this node for some time.
	pauses *qfpause.Table
	// places limits the places of endpoints.
	places *placeFilter
	// warm holds the endpoints that are cold, in the time of clock. coldRefusals counts the requests that were refused
	// because of them since the last line of the log.
	warm         *qfwarm.Table
	coldRefusals map[qf.EntryName]int
	// nodes is the number of nodes of the fleet.
	nodes int
	// waiting counts the requests that wait for a place, by the first entry of their routes.
	waiting      map[qf.EntryName]int
	clock        *fleetClock
	observeRates func(changes []qfrate.Change)
	// observeCold is called without the lock with the endpoints that have become cold.
	observeCold func(changes []qfwarm.Change)
	// observeBrittle is called without the lock when the endpoints of an entry become brittle.
	observeBrittle func(entry qf.EntryName, rejections float64)
	// observeLeave is called without the lock when an answer states that its sender leaves, and observePause when
	// an endpoint wants no requests of this node for some time.
	observeLeave func(asked *qf.Endpoint, sender qf.EndpointID)
	observePause func(endpoint *qf.Endpoint, length time.Duration)
	// unreadable counts the loads that can't be read; observeUnreadable is called without the lock with those to be logged.
	unreadable        unreadableLoads
	observeUnreadable func(load *unreadableLoad)
	// pressure and waitEstimator are updated with the times to first tokens.
	pressure      qfadmit.Pressure
	waitEstimator qfadmit.WaitEstimator
	// fair is nil unless the deployment has fair shares.
	fair *fairShares
}

// newEndpointPicker returns a picker without endpoints.
func newEndpointPicker(self qf.Node, random *rand.Rand, router qf.Router, clock *fleetClock) *endpointPicker {
	shares := qfshare.NewTable(self.ID)
	return &endpointPicker{
		self: self, shares: shares, router: router, random: random, versions: newVersionSelector(), dead: deadEndpoints{},
		rates: qfrate.NewLimiter(shares), rooms: qfroom.NewLimiter(shares), pauses: qfpause.NewTable(random), places: newPlaceFilter(),
		warm: qfwarm.NewTable(self.ID), coldRefusals: map[qf.EntryName]int{}, waiting: map[qf.EntryName]int{}, clock: clock,
		observeRates: func([]qfrate.Change) {}, observeCold: func([]qfwarm.Change) {}, observeBrittle: func(qf.EntryName, float64) {},
		observeLeave: func(*qf.Endpoint, qf.EndpointID) {}, observePause: func(*qf.Endpoint, time.Duration) {},
		observeUnreadable: func(*unreadableLoad) {},
	}
}

// hasLimits reports whether any endpoint states a rate, is brittle or may become cold.
func (p *endpointPicker) hasLimits(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rates.HasRates() || p.warm.HasSettings() || len(p.rooms.ListBrittle(p.clock.fleetTime(now))) > 0
}

// isPressureHigh reports whether first tokens are late.
func (p *endpointPicker) isPressureHigh(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pressure.IsHigh(now)
}

// PickEndpoint implements qf.EndpointPicker.
func (p *endpointPicker) PickEndpoint(query *qf.PickQuery) (qf.PickedEndpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := query.Entry
	if entry == "" {
		entry = p.drawEntry(query.Route.Entries)
	}
	request := &qf.Request{Entry: entry, Class: qf.ClassInteractive, Organisation: query.Organisation, Deadline: query.Deadline}
	fair := p.beginFairCheck(query, entry)
	routeQuery := qf.RouteQuery{
		Now: query.Now, Request: request, FromZone: p.self.AvailabilityZone, FromRegion: p.self.Region,
		ResumeTokens: query.ResumeTokens, Excluded: query.Excluded, Version: p.versions.chooseVersion(entry, p.random),
		MaxQueue: p.maxQueue(query, fair.objective),
	}
	if query.Prompt != nil {
		routeQuery.PromptTokens = query.Prompt.Tokens
		routeQuery.Prefixes = prefixHashes(query.Prompt)
		routeQuery.Affinity, routeQuery.AffinityTokens = affinityKey(query.Prompt)
		request.MaxTokens = query.Prompt.MaxAnswerTokens
	}
	routeQuery.Excluded = p.dead.with(query.Now, query.Excluded)
	withheld := p.applyLimits(&routeQuery, query)
	choice, err := p.router.ChooseEndpoint(routeQuery)
	if err != nil && len(routeQuery.Excluded) > len(query.Excluded) {
		routeQuery.Excluded = query.Excluded
		choice, err = p.router.ChooseEndpoint(routeQuery)
	}
	if err != nil {
		return qf.PickedEndpoint{}, fair.recordRefusal(p.explainRefusal(&routeQuery, withheld, err))
	}
	if err := fair.check(choice.Prediction.Queue, routeQuery.MaxQueue); err != nil {
		return qf.PickedEndpoint{}, err
	}
	if queue := choice.Prediction.Queue; routeQuery.MaxQueue > 0 && queue > routeQuery.MaxQueue {
		return qf.PickedEndpoint{}, fair.recordRefusal(&qf.Error{
			Code: qf.CodeOverloaded, Step: qf.StepRoute, Peer: string(choice.Endpoint.ID), Ran: qf.RanNo,
			Reason: "the first token would come too late at every endpoint",
			Cause: fmt.Errorf("%v to wait at the best one, objective %v",
				p.waitEstimator.EstimateWait(query.Now, queue), fair.objective),
		})
	}
	fair.recordAdmission()
	picked := qf.PickedEndpoint{
		Endpoint: choice.Endpoint, StartedAt: query.Now, Tokens: max(choice.Prediction.PrefillTokens, 1),
		FirstToken: choice.FirstToken, Reason: choice.Reason, Objective: query.Route.Objective, Route: query.Route.Name,
	}
	picked.Judgement = p.versions.judge.start(&picked)
	p.router.RecordStart(query.Now, picked.Endpoint.ID, picked.Tokens)
	if p.rates.HasRates() {
		p.rates.RecordSend(p.clock.fleetTime(query.Now), picked.Endpoint.ID)
	}
	p.warm.RecordSend(p.clock.fleetTime(query.Now), picked.Endpoint.ID)
	p.rooms.RecordStart(&picked.Endpoint)
	p.pauses.RecordSend(query.Now, picked.Endpoint.ID)
	return picked, nil
}

// maxQueue returns the longest predicted queue in which a request can wait and still meet its
// objective, or 0 if any will do. Retries are exempt, since they have waited already.
func (p *endpointPicker) maxQueue(query *qf.PickQuery, objective time.Duration) time.Duration {
	if query.Prompt == nil || objective <= 0 || len(query.Excluded) > 0 {
		return 0
	}
	return p.waitEstimator.MaxQueue(query.Now, objective)
}

// drawEntry picks one of a route's entries by weight.
func (p *endpointPicker) drawEntry(entries []qf.WeightedEntry) qf.EntryName {
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
func (p *endpointPicker) RecordFirstToken(at time.Time, picked *qf.PickedEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	picked.Began = at.Sub(picked.StartedAt)
	p.versions.judge.recordFirstToken(picked)
	p.router.RecordFirstToken(at, picked.Endpoint.ID, at.Sub(picked.StartedAt))
	if picked.Endpoint.Kind == qf.KindModelEngine {
		p.pressure.RecordFirstToken(at, picked.Began, picked.Objective)
		p.waitEstimator.RecordFirstToken(at, picked.FirstToken, picked.Began, picked.Objective)
	}
}

// RecordProgress implements qf.EndpointPicker.
func (p *endpointPicker) RecordProgress(at time.Time, picked *qf.PickedEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.judge.recordProgress(at, picked)
}

// RecordAttemptEnd implements qf.EndpointPicker.
func (p *endpointPicker) RecordAttemptEnd(at time.Time, picked *qf.PickedEndpoint, end qf.AttemptEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hasRejected := p.rooms.HasRejected(p.clock.fleetTime(at), &picked.Endpoint) || !p.pauses.MaySend(at, picked.Endpoint.ID)
	isFull := end == qf.AttemptNotRun && hasRejected
	p.router.RecordEnd(at, picked.Endpoint.ID, picked.Tokens, end == qf.AttemptAnswered || end == qf.AttemptCancelled || isFull)
	p.versions.judge.recordAttemptEnd(at, picked, end)
	p.rooms.RecordEnd(&picked.Endpoint, at.Sub(picked.StartedAt))
}

// RecordResponse implements qf.EndpointPicker.
func (p *endpointPicker) RecordResponse(at time.Time, picked *qf.PickedEndpoint, answer *qf.EndpointResponse) {
	endpoint := picked.Endpoint.ID
	p.mu.Lock()
	var changes []qfrate.Change
	var cold []qfwarm.Change
	var unreadable *unreadableLoad
	isBrittle, isNewPause := false, false
	if answer.Status == http.StatusMisdirectedRequest { // Another endpoint sent it.
		p.dead.recordMisdirected(at, &picked.Endpoint)
	} else {
		p.dead.recordFound(endpoint)
		unreadable = p.recordLoad(at, picked, answer)
		sentAt := p.clock.fleetTime(picked.StartedAt)
		if change, ok := p.rates.RecordAnswer(p.clock.fleetTime(at), sentAt, &picked.Endpoint, answer.Traits.Rate); ok {
			changes = append(changes, change)
		}
		if change, ok := p.warm.RecordAnswer(p.clock.fleetTime(at), sentAt, &picked.Endpoint, answer.Traits.ColdFor); ok {
			cold = append(cold, change)
		}
		isBrittle = p.rooms.RecordAnswer(p.clock.fleetTime(at), &picked.Endpoint, &answer.Traits)
		isNewPause = p.recordPause(at, picked, answer)
	}
	p.mu.Unlock()
	if sender := senderOf(answer, endpoint); answer.Traits.Leaving && sender != "" {
		p.observeLeave(&picked.Endpoint, sender)
	}
	if unreadable != nil {
		p.observeUnreadable(unreadable)
	}
	if isNewPause {
		p.observePause(&picked.Endpoint, answer.Traits.RetryAfter)
	}
	p.observeRates(changes)
	p.observeCold(cold)
	if isBrittle {
		p.observeBrittle(picked.Endpoint.Entry, answer.Traits.Brittle.Value)
	}
}

// recordLoad passes the load that an endpoint states to the router. It returns what is to be logged if the load can't be
// read, or nil. The caller must hold p.mu.
func (p *endpointPicker) recordLoad(at time.Time, picked *qf.PickedEndpoint, answer *qf.EndpointResponse) *unreadableLoad {
	if load := answer.Traits.Load; load != nil {
		p.router.RecordLoadReport(at, qf.LoadReport{
			Endpoint: picked.Endpoint.ID, At: at, Running: load.Running, Queued: load.Waiting,
			Slowdown: load.Slowdown, Slots: load.Slots,
		})
	}
	return p.unreadable.recordAnswer(at, &picked.Endpoint, &answer.Traits)
}

// setEndpoints replaces the endpoints that may get work.
func (p *endpointPicker) setEndpoints(now time.Time, endpoints []qf.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead.keepListed(endpoints)
	p.pauses.SetListed(now, endpoints)
	p.router.SetEndpoints(endpoints)
	p.versions.setEndpoints(endpoints)
	p.places.setEndpoints(endpoints)
	p.rates.KeepListed(endpoints)
	p.rooms.KeepListed(endpoints)
	p.warm.KeepListed(p.clock.fleetTime(now), endpoints)
	p.unreadable.keepListed(endpoints)
}

// recordUnreached records that there was no connection to an endpoint.
func (p *endpointPicker) recordUnreached(now time.Time, endpoint *qf.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead.record(now, endpoint)
}

// setNodes sets the number of nodes of the fleet.
func (p *endpointPicker) setNodes(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes = nodes
}

// setRolloutOrder sets the operator's order of a rollout.
func (p *endpointPicker) setRolloutOrder(order qf.RolloutOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.setOrder(order)
}

// recordPeerLoads records a peer's load in progress and the speeds that it has measured.
func (p *endpointPicker) recordPeerLoads(node qf.NodeID, loads []qf.InFlightLoad, speeds []qf.EndpointSpeed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sent := range loads {
		sent.Node = node
		p.router.RecordPeerLoad(sent)
	}
	p.router.RecordPeerSpeeds(node, speeds)
}

// takeHealthChanges returns the changes of endpoints' health since the last call.
func (p *endpointPicker) takeHealthChanges() []qf.HealthChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.TakeHealthChanges()
}
