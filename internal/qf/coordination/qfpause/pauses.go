// Package qfpause keeps a node's requests away from endpoints that have rejected one and stated how long
// they want none from this node. It does no I/O and reads no clock.
package qfpause

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// maxPause bounds a pause that an endpoint states.
	maxPause = 24 * time.Hour
	// openingPerNode is the time, for each node of the fleet, over which the nodes' first requests to an
	// endpoint are spread after a pause, and minOpening and maxOpening bound that time: all nodes see an idle
	// endpoint at once.
	openingPerNode = 5 * time.Millisecond
	minOpening     = 100 * time.Millisecond
	maxOpening     = time.Second
	// trialTimeout is how long the first request after a pause holds back others.
	trialTimeout = time.Second
	// returnSpread is the time over which callers are spread that were refused because of pauses.
	returnSpread = time.Second
)

// Table holds the pauses of all endpoints. It isn't safe for concurrent use.
type Table struct {
	random    *rand.Rand
	endpoints map[qf.EndpointID]*pause
	// listed holds the incarnations of the endpoints that may get requests.
	listed map[qf.EndpointID]qf.Incarnation
}

// pause is the time in which an endpoint gets no requests of this node.
type pause struct {
	incarnation qf.Incarnation
	entry       qf.EntryName
	// until is the end that the endpoint stated; opensAt isn't before it.
	until, opensAt time.Time
	// trialAt is when the first request after opensAt was sent, or zero.
	trialAt time.Time
}

// NewTable returns a table without pauses.
func NewTable(random *rand.Rand) *Table {
	return &Table{random: random, endpoints: map[qf.EndpointID]*pause{}, listed: map[qf.EndpointID]qf.Incarnation{}}
}

// HasPauses reports whether any endpoint may be paused.
func (t *Table) HasPauses() bool { return len(t.endpoints) > 0 }

// RecordPause records that an endpoint rejected a request and stated how long it wants no others. A later
// and shorter statement doesn't end an earlier one. It reports whether the endpoint's pause begins.
func (t *Table) RecordPause(now time.Time, of *qf.Endpoint, length time.Duration, nodes int) (isNew bool) {
	if length <= 0 || of.Incarnation < t.listed[of.ID] {
		return false
	}
	known := t.endpoints[of.ID]
	if known == nil || known.incarnation < of.Incarnation {
		known = &pause{incarnation: of.Incarnation, entry: of.Entry}
		t.endpoints[of.ID] = known
	}
	isNew = !now.Before(known.until)
	if until := now.Add(min(length, maxPause)); until.After(known.until) {
		opening := min(max(time.Duration(nodes)*openingPerNode, minOpening), maxOpening)
		known.until = until
		known.opensAt = until.Add(time.Duration(t.random.Int64N(int64(opening))))
		known.trialAt = time.Time{}
	}
	return isNew
}

// RecordAnswer ends the time after a pause in which an endpoint gets one request only.
func (t *Table) RecordAnswer(now time.Time, of *qf.Endpoint) {
	known := t.endpoints[of.ID]
	if known != nil && known.incarnation == of.Incarnation && !known.trialAt.IsZero() && !now.Before(known.opensAt) {
		delete(t.endpoints, of.ID)
	}
}

// MaySend reports whether the node may send a request to an endpoint.
func (t *Table) MaySend(now time.Time, id qf.EndpointID) bool {
	known := t.endpoints[id]
	if known == nil {
		return true
	}
	return !now.Before(known.opensAt) && (known.trialAt.IsZero() || now.Sub(known.trialAt) >= trialTimeout)
}

// RecordSend records that a request is sent to an endpoint.
func (t *Table) RecordSend(now time.Time, id qf.EndpointID) {
	if known := t.endpoints[id]; known != nil {
		known.trialAt = now
	}
}

// RetryAfter returns when a caller should return who was refused because the endpoints of an entry are
// paused: soon after the first of them opens, each caller at another time.
func (t *Table) RetryAfter(now time.Time, entry qf.EntryName) time.Duration {
	var earliest time.Time
	for _, known := range t.endpoints {
		if known.entry == entry && (earliest.IsZero() || known.opensAt.Before(earliest)) {
			earliest = known.opensAt
		}
	}
	return max(earliest.Sub(now), 0) + time.Duration(t.random.Int64N(int64(returnSpread)))
}

// SetListed sets the endpoints that may get requests. It forgets the pauses of earlier incarnations, and those
// that ended long ago. An endpoint that isn't listed for a moment stays paused.
func (t *Table) SetListed(now time.Time, endpoints []qf.Endpoint) {
	clear(t.listed)
	for i := range endpoints {
		t.listed[endpoints[i].ID] = endpoints[i].Incarnation
	}
	for id, known := range t.endpoints {
		incarnation, isListed := t.listed[id]
		if isListed && incarnation > known.incarnation || !isListed && now.After(known.opensAt) {
			delete(t.endpoints, id)
		}
	}
}
