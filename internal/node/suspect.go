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

// probeTimeout limits the probes of whether an endpoint died, which delay the next attempt
// of a request that broke there. probeInterval is the time between two probes.
const (
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 10 * time.Millisecond
)

// deadDuration is how long an endpoint that refused a connection gets no requests. By
// then the VM list omits it, or it listens again.
const deadDuration = 5 * time.Second

// RecordBrokenAttempt implements qfrequest.Observer. It checks whether the endpoint
// died before the request can reach another one.
func (n *Node) RecordBrokenAttempt(now time.Time, request *qf.Request, endpoint qf.Endpoint, err error) {
	if qf.RanOf(err) == qf.RanNo {
		n.recordDeathIfRefused(endpoint, err)
		return
	}
	n.mu.Lock()
	isLeaving := n.membership.IsDeparting(endpoint.VM, endpoint.Incarnation)
	if !isLeaving {
		n.suspects.RecordBrokenAttempt(time.Time{}, now, qfsuspect.Fingerprint(request), endpoint.ID)
	}
	n.mu.Unlock()
	if isLeaving {
		return
	}
	n.recordDeathIfRefused(endpoint, n.probeUntilDecided(endpoint))
}

// probeUntilDecided probes an endpoint until it answers, refuses a connection or
// probeTimeout has passed. A single failure doesn't decide, because a process that is
// ending may break a new connection before it refuses the next one.
func (n *Node) probeUntilDecided(endpoint qf.Endpoint) error {
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	for {
		_, err := n.platform.Prober.ProbeEndpoint(ctx, endpoint)
		if err == nil || qfendpoint.IsRefused(err) || ctx.Err() != nil {
			return err
		}
		pause := n.platform.Clock.After(probeInterval)
		select {
		case <-pause.C():
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// recordDeathIfRefused records that an endpoint died if a call to it failed with a refused
// connection. Other errors are no proof, because an endpoint that doesn't answer may only
// be unreachable from here.
func (n *Node) recordDeathIfRefused(endpoint qf.Endpoint, err error) {
	if !qfendpoint.IsRefused(err) {
		return
	}
	n.mu.Lock()
	now := n.now()
	n.deadUntil[endpoint.ID] = now.Add(deadDuration)
	isNew := !n.membership.IsDeparting(endpoint.VM, endpoint.Incarnation) &&
		n.suspects.RecordDeath(now, qfsuspect.Death{Endpoint: endpoint.ID, AvailabilityZone: endpoint.AvailabilityZone})
	n.mu.Unlock()
	if isNew {
		go n.exchange(n.ctx) // The caller may repeat the request at a peer before the next regular exchange.
	}
}

// recordVanished compares a new list of endpoints with the last one. An endpoint that is
// missing although its departure wasn't announced has died. The caller holds the lock.
func (n *Node) recordVanished(now time.Time, listed []qf.Endpoint) {
	for i := range n.endpoints {
		e := &n.endpoints[i]
		isListed := slices.ContainsFunc(listed, func(l qf.Endpoint) bool { return l.ID == e.ID })
		if !isListed && !n.membership.IsDeparting(e.VM, e.Incarnation) {
			n.suspects.RecordDeath(now, qfsuspect.Death{Endpoint: e.ID, AvailabilityZone: e.AvailabilityZone})
		}
	}
}

// deadEndpoints returns the endpoints that refused a connection within deadDuration. The
// caller holds the lock.
func (n *Node) deadEndpoints() []qf.EndpointID {
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

// checkSuspect reports whether a request is suspected of crashing endpoints. It returns an
// error with CodeSuspect if the request must not run.
func (n *Node) checkSuspect(now time.Time, request *qf.Request) (isSuspect bool, err error) {
	n.mu.Lock()
	fingerprint := qfsuspect.Fingerprint(request)
	decision := n.suspects.CheckRequest(now, fingerprint)
	if decision.Treatment == qfsuspect.TreatTrial && n.suspects.ClaimTrial(now, fingerprint) {
		decision.Treatment = qfsuspect.TreatIsolated // All nodes together permit one by claimAttempt.
	}
	n.mu.Unlock()
	switch decision.Treatment {
	case qfsuspect.TreatNormally:
		return false, nil
	case qfsuspect.TreatIsolated:
		return true, nil
	}
	qfevent.SuspectRefused.Log(&n.platform.Logger, request.ID, request.Entry)
	return true, &qf.Error{
		Code: qf.CodeSuspect, Step: qf.StepRoute, Peer: n.settings.Node.ID, Ran: qf.RanNo,
		Reason: "endpoints died with this request in progress", RetryAfter: decision.RetryAfter,
	}
}

// claimAttempt claims one of the attempts that all nodes together permit a suspect
// request. If none is granted, it returns an error.
func (n *Node) claimAttempt(request *qf.Request) error {
	err := n.attemptLimiter.ClaimAttempt(n.ctx, qfsuspect.Fingerprint(request))
	if err == nil {
		qfevent.SuspectTried.Log(&n.platform.Logger, request.ID, request.Entry)
		return nil
	}
	qfevent.SuspectRefused.Log(&n.platform.Logger, request.ID, request.Entry)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordSuspectEnd(request.ID)
	return err
}

// chooseAvoidingSuspects chooses an endpoint: by chooseIsolated for a suspect request. For
// others it avoids, if possible, dead endpoints and those at which suspect requests are in
// progress. The caller holds the lock.
func (n *Node) chooseAvoidingSuspects(query *qf.RouteQuery, isSuspect bool) (qf.RouteChoice, error) {
	if isSuspect {
		return n.chooseIsolated(query)
	}
	alive, isolated := *query, *query
	alive.Excluded = append(n.deadEndpoints(), query.Excluded...)
	isolated.Excluded = append(n.suspects.ListOccupiedEndpoints(), alive.Excluded...)
	choice, err := n.router.ChooseEndpoint(isolated)
	for _, wider := range []qf.RouteQuery{alive, *query} {
		if err != nil {
			choice, err = n.router.ChooseEndpoint(wider)
		}
	}
	return choice, err
}

// suspectRetryDelay is how long a suspect request waits while others are in progress at
// all endpoints.
const suspectRetryDelay = 50 * time.Millisecond

// chooseIsolated chooses an endpoint for a suspect request at which no other suspect is in
// progress. Otherwise a harmless suspect would be in progress at a second crash that
// another one caused. Nodes use different endpoints for the same reason. The caller holds
// the lock.
func (n *Node) chooseIsolated(query *qf.RouteQuery) (qf.RouteChoice, error) {
	taken := append(n.suspects.ListOccupiedEndpoints(), n.deadEndpoints()...)
	own := append(n.peerTrialEndpoints(), taken...)
	exclusions := [][]qf.EndpointID{append(slices.Clone(own), query.Excluded...), own}
	if n.hasNoTrialEndpoint(query.Request.Entry) {
		exclusions = append(exclusions, taken)
	}
	wider := *query
	for _, excluded := range exclusions {
		wider.Excluded = excluded
		choice, err := n.router.ChooseEndpoint(wider)
		if err == nil {
			n.suspectEndpoints[query.Request.ID] = choice.Endpoint.ID
			n.suspects.RecordStart(choice.Endpoint.ID)
			return choice, nil
		}
	}
	wider.Excluded = n.deadEndpoints()
	if choice, err := n.router.ChooseEndpoint(wider); err != nil {
		return choice, err // No endpoint would become available by waiting.
	}
	return qf.RouteChoice{}, &qfrequest.PostponedError{Wait: suspectRetryDelay}
}

// peerTrialEndpoints returns the endpoints that are assigned to other nodes for suspect
// requests.
func (n *Node) peerTrialEndpoints() []qf.EndpointID {
	live := []qf.NodeID{qf.NodeID(n.settings.Node.ID)}
	for _, node := range n.membership.Peers(n.now()) {
		if node.State == qf.NodeLive {
			live = append(live, node.ID)
		}
	}
	var others []qf.EndpointID
	for i := range n.endpoints {
		if e := n.endpoints[i].ID; qfsuspect.ChooseTrialNode(live, string(e)) != live[0] {
			others = append(others, e)
		}
	}
	return others
}

// hasNoTrialEndpoint reports whether all endpoints of an entry that aren't dead are
// assigned to other nodes for suspect requests.
func (n *Node) hasNoTrialEndpoint(entry qf.EntryName) bool {
	others := append(n.peerTrialEndpoints(), n.deadEndpoints()...)
	return !slices.ContainsFunc(n.endpoints, func(e qf.Endpoint) bool {
		return e.Entry == entry && !slices.Contains(others, e.ID)
	})
}

// recordSuspectEnd records the end of a suspect request's attempt, if the request has one.
// The caller holds the lock.
func (n *Node) recordSuspectEnd(request qf.RequestID) {
	if endpoint, ok := n.suspectEndpoints[request]; ok {
		delete(n.suspectEndpoints, request)
		n.suspects.RecordEnd(endpoint)
	}
}

// clearSuspicion clears the suspicion of a request that was answered.
func (n *Node) clearSuspicion(request *qf.Request) {
	fingerprint := qfsuspect.Fingerprint(request)
	n.mu.Lock()
	wasSuspect := n.suspects.RecordAnswer(n.now(), fingerprint)
	n.mu.Unlock()
	if wasSuspect {
		_ = n.attemptLimiter.ResetAttempts(n.ctx, fingerprint) // The count expires on its own.
	}
}
