package node

import (
	"context"
	"slices"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfsuspect"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfevent"
)

// probeTimeout bounds the questions whether an endpoint died, which hold up the
// next attempt of a request that broke there; probePause is the time between two.
const (
	probeTimeout = 300 * time.Millisecond
	probePause   = 10 * time.Millisecond
)

// deadFor is how long an endpoint that refused a connection gets no work. The VM
// list drops it meanwhile, or it listens again.
const deadFor = 5 * time.Second

// RecordBrokenAttempt implements qfrequest.Observer. It finds out whether the endpoint
// died before the request can reach another one.
func (n *Node) RecordBrokenAttempt(now time.Time, request *qf.Request, endpoint qf.Endpoint, err error) {
	if qf.RanOf(err) == qf.RanNo {
		n.learnDeath(endpoint, err)
		return
	}
	n.mu.Lock()
	isLeaving := n.membership.IsDeparting(endpoint.VM, endpoint.Incarnation)
	if !isLeaving {
		n.suspects.RecordBrokenAttempt(now, qfsuspect.Fingerprint(request), endpoint.ID)
	}
	n.mu.Unlock()
	if isLeaving {
		return
	}
	n.learnDeath(endpoint, n.probe(endpoint))
}

// probe asks an endpoint whether it lives. A process that is about to end may
// still break a new connection before it refuses the next one.
func (n *Node) probe(endpoint qf.Endpoint) error {
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	for {
		_, err := n.platform.Prober.ProbeEndpoint(ctx, endpoint)
		if err == nil || qfendpoint.IsRefused(err) || ctx.Err() != nil {
			return err
		}
		pause := n.platform.Clock.After(probePause)
		select {
		case <-pause.C():
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// learnDeath takes the error of a call to an endpoint. Only a refused connection
// is a death: a machine that doesn't answer may be cut off.
func (n *Node) learnDeath(endpoint qf.Endpoint, err error) {
	if !qfendpoint.IsRefused(err) {
		return
	}
	n.mu.Lock()
	now := n.now()
	n.deadUntil[endpoint.ID] = now.Add(deadFor)
	isNews := !n.membership.IsDeparting(endpoint.VM, endpoint.Incarnation) &&
		n.suspects.RecordDeath(now, qfsuspect.Death{Endpoint: endpoint.ID, AvailabilityZone: endpoint.AvailabilityZone})
	n.mu.Unlock()
	if isNews {
		go n.exchange(n.ctx) // The caller may repeat the request at a peer before the next regular exchange.
	}
}

// learnVanished takes a new list of endpoints. One that is gone without having been
// announced died. It is called with the lock held.
func (n *Node) learnVanished(now time.Time, listed []qf.Endpoint) {
	for i := range n.endpoints {
		e := &n.endpoints[i]
		isListed := slices.ContainsFunc(listed, func(l qf.Endpoint) bool { return l.ID == e.ID })
		if !isListed && !n.membership.IsDeparting(e.VM, e.Incarnation) {
			n.suspects.RecordDeath(now, qfsuspect.Death{Endpoint: e.ID, AvailabilityZone: e.AvailabilityZone})
		}
	}
}

// dead returns the endpoints that refused a connection a short time ago. It is
// called with the lock held.
func (n *Node) dead() []qf.EndpointID {
	now := n.now()
	var dead []qf.EndpointID
	for e, until := range n.deadUntil {
		if now.After(until) {
			delete(n.deadUntil, e)
			continue
		}
		dead = append(dead, e)
	}
	slices.Sort(dead)
	return dead
}

// screen judges a request before an endpoint is chosen for it.
func (n *Node) screen(now time.Time, request *qf.Request) (isSuspect bool, err error) {
	n.mu.Lock()
	verdict := n.suspects.CheckRequest(now, qfsuspect.Fingerprint(request))
	n.mu.Unlock()
	if verdict.Treatment != qfsuspect.TreatRefused {
		return verdict.Treatment == qfsuspect.TreatIsolated, nil
	}
	qfevent.SuspectRefused.Log(&n.platform.Logger, request.ID, request.Entry)
	return true, &qf.Error{
		Code: qf.CodeSuspect, Step: qf.StepRoute, Peer: n.settings.Node.ID, Ran: qf.RanNo,
		Reason: "endpoints died with this request in progress", RetryAfter: verdict.RetryAfter,
	}
}

// claim takes one of the attempts that all nodes share for a suspect.
func (n *Node) claim(request *qf.Request) error {
	err := n.trials.ClaimAttempt(n.ctx, qfsuspect.Fingerprint(request))
	if err == nil {
		qfevent.SuspectTried.Log(&n.platform.Logger, request.ID, request.Entry)
		return nil
	}
	qfevent.SuspectRefused.Log(&n.platform.Logger, request.ID, request.Entry)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspectOver(request.ID)
	return err
}

// choose asks the router. No work goes to dead endpoints, nor other work to where
// suspects are in progress, if it can go elsewhere. It is called with the lock
// held.
func (n *Node) choose(query *qf.RouteQuery, isSuspect bool) (qf.RouteChoice, error) {
	if isSuspect {
		return n.chooseApart(query)
	}
	alive, apart := *query, *query
	alive.Excluded = append(n.dead(), query.Excluded...)
	apart.Excluded = append(n.suspects.ListOccupiedEndpoints(), alive.Excluded...)
	choice, err := n.router.ChooseEndpoint(apart)
	for _, wider := range []qf.RouteQuery{alive, *query} {
		if err != nil {
			choice, err = n.router.ChooseEndpoint(wider)
		}
	}
	return choice, err
}

// suspectPause is how long a suspect waits while suspects are in progress at all
// endpoints.
const suspectPause = 50 * time.Millisecond

// chooseApart picks an endpoint at which no other suspect is in progress, so that
// an innocent one doesn't share a second death with the guilty one. Nodes keep to
// different endpoints for the same reason. It is called with the lock held.
func (n *Node) chooseApart(query *qf.RouteQuery) (qf.RouteChoice, error) {
	taken := append(n.suspects.ListOccupiedEndpoints(), n.dead()...)
	own := append(n.othersEndpoints(), taken...)
	exclusions := [][]qf.EndpointID{append(slices.Clone(own), query.Excluded...), own}
	if n.ownsNone(query.Request.Entry) {
		exclusions = append(exclusions, taken)
	}
	wider := *query
	for _, excluded := range exclusions {
		wider.Excluded = excluded
		choice, err := n.router.ChooseEndpoint(wider)
		if err == nil {
			n.suspectRuns[query.Request.ID] = choice.Endpoint.ID
			n.suspects.RecordStart(choice.Endpoint.ID)
			return choice, nil
		}
	}
	wider.Excluded = n.dead()
	if choice, err := n.router.ChooseEndpoint(wider); err != nil {
		return choice, err // There is nothing to wait for.
	}
	return qf.RouteChoice{}, &qfrequest.PostponedError{Wait: suspectPause}
}

// othersEndpoints returns the endpoints at which other nodes try suspects.
func (n *Node) othersEndpoints() []qf.EndpointID {
	live := []qf.NodeID{qf.NodeID(n.settings.Node.ID)}
	for _, node := range n.membership.Peers(n.now()) {
		if node.State == qf.NodeLive {
			live = append(live, node.ID)
		}
	}
	var others []qf.EndpointID
	for i := range n.endpoints {
		if e := n.endpoints[i].ID; qfsuspect.ChooseTrialNode(live, e) != live[0] {
			others = append(others, e)
		}
	}
	return others
}

// ownsNone reports whether all live endpoints of an entry are other nodes'.
func (n *Node) ownsNone(entry qf.EntryName) bool {
	others := append(n.othersEndpoints(), n.dead()...)
	return !slices.ContainsFunc(n.endpoints, func(e qf.Endpoint) bool {
		return e.Entry == entry && !slices.Contains(others, e.ID)
	})
}

// suspectOver notes the end of a suspect's attempt. It is called with the lock
// held.
func (n *Node) suspectOver(request qf.RequestID) {
	if endpoint, ok := n.suspectRuns[request]; ok {
		delete(n.suspectRuns, request)
		n.suspects.RecordEnd(endpoint)
	}
}

// acquit takes back the suspicion of a request that was answered.
func (n *Node) acquit(request *qf.Request) {
	fingerprint := qfsuspect.Fingerprint(request)
	n.mu.Lock()
	wasSuspect := n.suspects.RecordAnswer(n.now(), fingerprint)
	n.mu.Unlock()
	if wasSuspect {
		_ = n.trials.ResetAttempts(n.ctx, fingerprint) // The count expires on its own.
	}
}
