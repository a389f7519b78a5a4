// Package qfroom keeps the nodes of a fleet together within the room of endpoints that fail if they
// have to reject many requests. The places of such an endpoint are divided among the nodes
// (qfshare), and a node sends no more requests at once than it has places there.
package qfroom

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfshare"
)

const (
	// brittleFor is how long an entry counts as brittle after an answer that stated it: endpoints
	// that have started again state it with their first answer only.
	brittleFor = 10 * time.Second
	// reportMaxAge is the age up to which a reported load shows that an endpoint has room.
	reportMaxAge = time.Second
	// rejectionHold is how long after a rejection a node keeps to its own places.
	rejectionHold = 3 * time.Second
	// rejectionPause is how long after a rejection a node sends nothing to the endpoint.
	rejectionPause = 500 * time.Millisecond
	// unknownPlaces is assumed for endpoints of entries none of which has reported its places.
	unknownPlaces = 2
	// maxReturn bounds the time after which a refused caller is asked to return.
	maxReturn = 5 * time.Second
	// gainFactor is the multiple of a request's average time for which a gained place stays unused.
	gainFactor = 2
	// firstDuration is assumed until requests of an entry have ended, and durationShare is the
	// weight of each that ends.
	firstDuration = 500 * time.Millisecond
	durationShare = 0.1
)

// Limiter decides when a node may send requests to brittle endpoints. All times are the fleet's. It isn't
// safe for concurrent use.
type Limiter struct {
	shares    *qfshare.Table
	entries   map[qf.EntryName]*entry
	endpoints map[qf.EndpointID]*endpoint
}

// entry is an entry whose endpoints have been seen.
type entry struct {
	// statedAt is when an answer to this node last stated that the endpoints are brittle, and
	// peerStatedAt when a peer last reported such an answer.
	statedAt, peerStatedAt time.Time
	// slots is the number of places that an endpoint of the entry last reported, or 0.
	slots int
	// rejectedAt is when an endpoint of the entry last rejected a request of this node, and
	// peerRejectedAt when a peer reported that.
	rejectedAt, peerRejectedAt time.Time
	// duration is the average time of a request.
	duration time.Duration
	// returnAt is when the last caller that was refused should come back.
	returnAt time.Time
}

type endpoint struct {
	entry       qf.EntryName
	incarnation qf.Incarnation
	hash        uint64
	// inFlight is the number of this node's requests in progress.
	inFlight int
	// load is the last reported load, at reportedAt, and sentSince counts the requests since.
	load       qf.ResponseLoad
	reportedAt time.Time
	sentSince  int
	rejectedAt time.Time
	// room is what the endpoint took when it last rejected a request.
	room room
	// places is the number of the node's own places, as of countedAt. Those above placesBefore may not be
	// used until gainedAt is long enough ago: the node that had them may have requests there.
	places, placesBefore int
	countedAt, gainedAt  time.Time
}

// NewLimiter returns a limiter that knows of no brittle endpoints.
func NewLimiter(shares *qfshare.Table) *Limiter {
	return &Limiter{shares: shares, entries: map[qf.EntryName]*entry{}, endpoints: map[qf.EndpointID]*endpoint{}}
}

// IsBrittle reports whether the endpoints of an entry are brittle.
func (l *Limiter) IsBrittle(now time.Time, name qf.EntryName) bool {
	e := l.entries[name]
	return e != nil && (e.isStated(now) || !e.peerStatedAt.IsZero() && now.Sub(e.peerStatedAt) < brittleFor)
}

// isStated reports whether answers to this node state that the endpoints are brittle.
func (e *entry) isStated(now time.Time) bool {
	return !e.statedAt.IsZero() && now.Sub(e.statedAt) < brittleFor
}

// ListBrittle returns the entries whose endpoints are brittle.
func (l *Limiter) ListBrittle(now time.Time) []qf.EntryName {
	return l.list(func(name qf.EntryName, _ *entry) bool { return l.IsBrittle(now, name) })
}

// ListStated returns the entries whose endpoints have stated to this node that they are brittle. Only
// these are reported to peers: what nodes repeat after each other would never end.
func (l *Limiter) ListStated(now time.Time) []qf.EntryName {
	return l.list(func(_ qf.EntryName, e *entry) bool { return e.isStated(now) })
}

// list returns the entries for which a condition holds.
func (l *Limiter) list(holds func(name qf.EntryName, e *entry) bool) []qf.EntryName {
	var names []qf.EntryName
	for name, e := range l.entries {
		if holds(name, e) {
			names = append(names, name)
		}
	}
	return names
}

func (l *Limiter) entryOf(name qf.EntryName) *entry {
	if l.entries[name] == nil {
		l.entries[name] = &entry{duration: firstDuration}
	}
	return l.entries[name]
}

func (l *Limiter) endpointOf(of *qf.Endpoint) *endpoint {
	known := l.endpoints[of.ID]
	if known != nil && known.incarnation == 0 {
		known.incarnation = of.Incarnation // It was known by its name only.
	}
	if known == nil || known.incarnation != of.Incarnation {
		known = &endpoint{entry: of.Entry, incarnation: of.Incarnation, hash: qfshare.Mix(xxhash.Sum64String(string(of.ID)))}
		l.endpoints[of.ID] = known
	}
	return known
}

// RecordAnswer records what the header of an endpoint's answer states. It reports whether that is news for
// peers: the entry has become brittle, or has begun to reject requests.
func (l *Limiter) RecordAnswer(now time.Time, of *qf.Endpoint, answer *qf.ResponseInfo) (isNews bool) {
	e, entry := l.endpointOf(of), l.entryOf(of.Entry)
	if load := answer.Load; load != nil {
		e.load, e.reportedAt, e.sentSince = *load, now, 0
		entry.slots = max(load.Slots, 0)
	}
	isBrittle := answer.Brittle.Kind == qf.StatedNumeric
	isNews = isBrittle && !l.IsBrittle(now, of.Entry)
	if answer.NotRun {
		hasLess := isBrittle && l.recordRejection(now, e, answer.Load)
		isNews = isNews || hasLess || isBrittle && now.Sub(entry.rejectedAt) >= rejectionHold
		e.rejectedAt, entry.rejectedAt = now, now
	}
	if isBrittle {
		entry.statedAt = now
	}
	return isNews
}

// MergeBrittle records that a peer knows entries to be brittle.
func (l *Limiter) MergeBrittle(now time.Time, names []qf.EntryName) {
	for _, name := range names {
		l.entryOf(name).peerStatedAt = now
	}
}

// RecordStart counts a request at an endpoint.
func (l *Limiter) RecordStart(of *qf.Endpoint) {
	e := l.endpointOf(of)
	e.inFlight++
	e.sentSince++
}

// RecordEnd counts the end of a request that took some time.
func (l *Limiter) RecordEnd(of *qf.Endpoint, took time.Duration) {
	e := l.endpoints[of.ID]
	if e == nil || e.incarnation != of.Incarnation {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	entry := l.entryOf(of.Entry)
	entry.duration += time.Duration(float64(took-entry.duration) * durationShare)
}

// MayStart reports whether the node may send one more request to an endpoint of a brittle entry.
func (l *Limiter) MayStart(now time.Time, id qf.EndpointID, name qf.EntryName) bool {
	if !l.IsBrittle(now, name) {
		return true
	}
	e := l.endpoints[id]
	if e == nil {
		e = l.endpointOf(&qf.Endpoint{ID: id, Entry: name})
	}
	if now.Sub(e.rejectedAt) < rejectionPause {
		return false
	}
	return e.inFlight < l.ownPlaces(now, e) || l.isRoomy(now, e)
}

// ownPlaces returns the number of an endpoint's places that belong to the node and are free of other nodes'
// requests.
func (l *Limiter) ownPlaces(now time.Time, e *endpoint) int {
	if now.Sub(e.countedAt) >= qfshare.Refresh {
		l.countOwnPlaces(now, e)
	}
	isGained := e.places > e.placesBefore && now.Sub(e.gainedAt) < l.entryOf(e.entry).duration*gainFactor
	if isGained && (l.MayHaveFallen(now, e.entry) || !l.hasFreePlace(now, e)) {
		return e.placesBefore
	}
	return e.places
}

// hasFreePlace reports whether the last reported load shows a place that was free a short time ago.
func (l *Limiter) hasFreePlace(now time.Time, e *endpoint) bool {
	isRecent := !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= reportMaxAge
	return !isRecent || e.load.Running+e.load.Waiting+e.sentSince < l.slots(now, e)
}

func (l *Limiter) countOwnPlaces(now time.Time, e *endpoint) {
	places, isFirst := 0, e.countedAt.IsZero()
	if shares := l.shares.Of(now, e.entry); shares != nil {
		places = shares.Portion(e.hash, l.slots(now, e))
	}
	if places > e.places {
		e.placesBefore, e.gainedAt = e.places, now
	}
	if isFirst {
		e.placesBefore = places
	}
	e.places, e.countedAt = places, now
}

// slots returns the number of an endpoint's places, fewer if it has rejected requests within those that it
// states.
func (l *Limiter) slots(now time.Time, e *endpoint) int {
	return e.room.limit(now, l.statedSlots(e))
}

// statedSlots returns the number of places that an endpoint states. Those of an endpoint that hasn't reported them
// yet are taken to be like others.
func (l *Limiter) statedSlots(e *endpoint) int {
	if e.load.Slots > 0 {
		return e.load.Slots
	}
	if entry := l.entries[e.entry]; entry != nil && entry.slots > 0 {
		return entry.slots
	}
	return unknownPlaces
}

// isRoomy reports whether the endpoint has room for one more request of each node, beyond the places
// of each: all may send at once.
func (l *Limiter) isRoomy(now time.Time, e *endpoint) bool {
	if now.Sub(e.rejectedAt) < rejectionHold || e.reportedAt.IsZero() || now.Sub(e.reportedAt) > reportMaxAge {
		return false
	}
	return e.load.Running+e.load.Waiting+l.shares.CountMembers()*(e.sentSince+1) <= l.slots(now, e)
}

// countPlaces returns the number of the node's own places at all endpoints of an entry.
func (l *Limiter) countPlaces(now time.Time, name qf.EntryName) int {
	places := 0
	for _, e := range l.endpoints {
		if e.entry == name {
			places += l.ownPlaces(now, e)
		}
	}
	return places
}

// FindHolder returns another node that has a place at an endpoint of a brittle entry, if this one has
// none. The drawn number selects it.
func (l *Limiter) FindHolder(now time.Time, name qf.EntryName, drawn uint64) (qf.NodeID, bool) {
	if !l.IsBrittle(now, name) || l.countPlaces(now, name) > 0 {
		return "", false
	}
	shares := l.shares.Of(now, name)
	if shares == nil {
		return "", false
	}
	var things []uint64
	for _, e := range l.endpoints {
		if e.entry == name {
			things = append(things, e.hash)
		}
	}
	if len(things) == 0 {
		return "", false
	}
	slices.Sort(things)
	return shares.Owner(things[drawn%uint64(len(things))]), true
}

// MayWait reports whether one more request may wait for a place that will soon be free, besides those that
// wait already.
func (l *Limiter) MayWait(now time.Time, name qf.EntryName, waiting int) bool {
	return l.IsBrittle(now, name) && waiting < l.countPlaces(now, name)
}

// HasRejected reports whether a brittle endpoint rejected a request of this node a short time ago.
func (l *Limiter) HasRejected(now time.Time, of *qf.Endpoint) bool {
	e := l.endpoints[of.ID]
	return e != nil && l.IsBrittle(now, of.Entry) && e.incarnation == of.Incarnation && now.Sub(e.rejectedAt) < rejectionHold
}

// MayHaveFallen reports whether endpoints of an entry may fail because they reject requests.
func (l *Limiter) MayHaveFallen(now time.Time, name qf.EntryName) bool {
	e := l.entries[name]
	return e != nil && l.IsBrittle(now, name) && (now.Sub(e.rejectedAt) < rejectionHold || now.Sub(e.peerRejectedAt) < rejectionHold)
}

// ListRejecting returns the brittle entries whose endpoints rejected requests of this node a short time ago.
func (l *Limiter) ListRejecting(now time.Time) []qf.EntryName {
	return l.list(func(name qf.EntryName, e *entry) bool {
		return l.IsBrittle(now, name) && now.Sub(e.rejectedAt) < rejectionHold
	})
}

// MergeRejecting records that endpoints of entries rejected requests of a peer.
func (l *Limiter) MergeRejecting(now time.Time, names []qf.EntryName) {
	for _, name := range names {
		l.entryOf(name).peerRejectedAt = now
	}
}

// RetryAfter returns when a caller for whom there is no place should return. Callers get different times,
// in the order of their refusals.
func (l *Limiter) RetryAfter(now time.Time, name qf.EntryName) time.Duration {
	entry, places := l.entryOf(name), l.countPlaces(now, name)
	if entry.returnAt.Before(now) {
		entry.returnAt = now
	}
	entry.returnAt = entry.returnAt.Add(entry.duration / time.Duration(max(places, 1)))
	if latest := now.Add(maxReturn); entry.returnAt.After(latest) {
		entry.returnAt = latest
	}
	return entry.returnAt.Sub(now)
}

// KeepListed forgets the endpoints that aren't listed any more.
func (l *Limiter) KeepListed(endpoints []qf.Endpoint) {
	listed := make(map[qf.EndpointID]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
	}
	for id, e := range l.endpoints {
		if !listed[id] && e.inFlight == 0 {
			delete(l.endpoints, id)
		}
	}
}
