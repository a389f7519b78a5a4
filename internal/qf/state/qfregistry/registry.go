// Package qfregistry keeps the endpoints that are registered with the platform. It
// does no I/O and reads no clock.
package qfregistry

import (
	"slices"
	"strings"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// lapseGrace is how long an endpoint whose row has lapsed stays listed, so that it
	// can register again after the store has recovered.
	lapseGrace = 2100 * time.Millisecond
	// massShare is the share of an entry's endpoints above which rows that disappear
	// together are taken for lapsed, not removed.
	massShare = 0.5
	// massMinRows is the number of rows that must disappear together for massShare to
	// apply; fewer don't indicate that rows lapsed.
	massMinRows = 3
)

// EndpointRecord is one registered endpoint with the state of its row.
type EndpointRecord struct {
	qf.RegisteredEndpoint
	// Position is the position of the row in the store's history.
	Position qf.StorePosition
	// IsRowLeaving means that the row itself states that the endpoint leaves; Leaving is also set once an
	// answer has stated it.
	IsRowLeaving bool
	// FirstSeenAt is when this incarnation of the endpoint was first seen.
	FirstSeenAt time.Time
	// lapsedAt is when the row was found missing; it is zero while the row exists.
	lapsedAt time.Time
}

// Registry is a node's view of all endpoints. It isn't safe for concurrent use.
type Registry struct {
	endpoints map[qf.EndpointID]*EndpointRecord
	// isStoreFailing is true from a failed call until the next response was processed.
	// Rows that are missing from that response may have lapsed while the store was down.
	isStoreFailing bool
	// changed is true if the list may have changed since the last call of RemoveLapsed.
	changed bool
	// era is the store's era of the last snapshot.
	era qf.StoreEra
	// gone holds the endpoints that were removed, because a store that came back from an
	// older copy may list them again.
	gone map[qf.EndpointID]goneEndpoint
	// leaves holds the endpoints that have stated in an answer that they leave.
	leaves map[qf.EndpointID]statedLeave
}

// statedLeave is an endpoint's statement that it leaves. It holds for the incarnation and all earlier ones.
type statedLeave struct {
	incarnation qf.Incarnation
	at          time.Time
}

// goneEndpoint is an endpoint that was removed.
type goneEndpoint struct {
	incarnation qf.Incarnation
	// sequence is that of the last registration which was read.
	sequence uint64
	era      qf.StoreEra
	at       time.Time
}

// goneFor is how long removed endpoints are remembered. A store never comes back from a copy
// that is older.
const goneFor = 2 * time.Minute

// New returns an empty registry.
func New() *Registry {
	return &Registry{endpoints: map[qf.EndpointID]*EndpointRecord{}, gone: map[qf.EndpointID]goneEndpoint{}, leaves: map[qf.EndpointID]statedLeave{}}
}

// MarkStoreFailed records that a call to the store failed.
func (r *Registry) MarkStoreFailed() { r.isStoreFailing = true }

// MarkStoreAnswered records that a response of the store was processed.
func (r *Registry) MarkStoreAnswered() { r.isStoreFailing = false }

// Set adds or updates an endpoint from its row. It reports whether the endpoint is new. A row
// of a later era that is older than what was read before has no effect: the endpoint writes it
// again.
func (r *Registry) Set(now time.Time, read *qf.RegisteredEndpoint, position qf.StorePosition) bool {
	row := r.withStatedLeave(read)
	known := r.endpoints[row.ID]
	if known != nil && known.Position.Compare(position) >= 0 && known.lapsedAt.IsZero() {
		return false
	}
	if r.isOutdated(known, row, position.Era) {
		r.markLapsed(now, known)
		return false
	}
	isNew := known == nil || known.Incarnation != row.Incarnation
	if isNew || !isSameRegistration(&known.RegisteredEndpoint, row) || !known.lapsedAt.IsZero() {
		r.changed = true
	}
	firstSeenAt := now
	if !isNew {
		firstSeenAt = known.FirstSeenAt
	}
	delete(r.gone, row.ID)
	r.endpoints[row.ID] = &EndpointRecord{RegisteredEndpoint: *row, Position: position, IsRowLeaving: read.Leaving, FirstSeenAt: firstSeenAt}
	return isNew
}

// isSameRegistration reports whether two registrations differ at most in their sequence.
func isSameRegistration(a, b *qf.RegisteredEndpoint) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	return x == y
}

// isOutdated reports whether a row of a later era was written before the last registration
// that is known of its endpoint.
func (r *Registry) isOutdated(known *EndpointRecord, row *qf.RegisteredEndpoint, era qf.StoreEra) bool {
	if known != nil {
		isSame := row.Incarnation == known.Incarnation
		isOlder := row.Incarnation < known.Incarnation || isSame && row.Sequence < known.Sequence
		return era > known.Position.Era && (isOlder || isSame && known.Leaving && !row.Leaving)
	}
	gone, wasRemoved := r.gone[row.ID]
	return wasRemoved && era > gone.era &&
		(row.Incarnation < gone.incarnation || row.Incarnation == gone.incarnation && row.Sequence <= gone.sequence)
}

// markLapsed starts the time in which an endpoint must register again, unless it is leaving.
func (r *Registry) markLapsed(now time.Time, known *EndpointRecord) {
	if known != nil && !known.Leaving && known.lapsedAt.IsZero() {
		known.lapsedAt = now
	}
}

// delete removes an endpoint.
func (r *Registry) delete(now time.Time, e *EndpointRecord) {
	delete(r.endpoints, e.ID)
	r.gone[e.ID] = goneEndpoint{incarnation: e.Incarnation, sequence: e.Sequence, era: e.Position.Era, at: now}
	r.changed = true
}

// Remove removes the endpoints whose rows are missing or unreadable in one response of
// the store. If the store was failing, or most rows of an entry disappeared together, the
// rows may only have lapsed: their endpoints are kept for lapseGrace, so that they can
// register again. Endpoints that are leaving are removed at once in any case.
func (r *Registry) Remove(now time.Time, ids []qf.EndpointID, position qf.StorePosition) {
	mayHaveLapsed := r.isStoreFailing || r.isMass(ids)
	for _, id := range ids {
		r.removeRow(now, id, position, mayHaveLapsed)
	}
}

// removeRow removes an endpoint whose row was missing at a position, unless it was listed by a later row.
func (r *Registry) removeRow(now time.Time, id qf.EndpointID, position qf.StorePosition, mayHaveLapsed bool) {
	known := r.endpoints[id]
	switch {
	case known == nil || known.Position.Compare(position) > 0:
	case known.Leaving || !mayHaveLapsed:
		r.delete(now, known)
	default:
		r.markLapsed(now, known)
	}
}

// isMass reports whether the rows that disappear together are most of the endpoints of
// some entry.
func (r *Registry) isMass(ids []qf.EndpointID) bool {
	gone, all := map[qf.EntryName]int{}, map[qf.EntryName]int{}
	for _, e := range r.endpoints {
		if !e.Leaving && e.lapsedAt.IsZero() {
			all[e.Entry]++
		}
	}
	for _, id := range ids {
		if e := r.endpoints[id]; e != nil && !e.Leaving && e.lapsedAt.IsZero() {
			gone[e.Entry]++
		}
	}
	for entry, count := range gone {
		if count >= massMinRows && float64(count) > massShare*float64(all[entry]) {
			return true
		}
	}
	return false
}

// RemoveMissing removes the endpoints that are missing from a snapshot of the store. In the
// first snapshot of a later era their rows may be lost: the endpoints may register again.
func (r *Registry) RemoveMissing(now time.Time, present map[qf.EndpointID]bool, position qf.StorePosition) {
	var gone []qf.EndpointID
	for id := range r.endpoints {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	if position.Era > r.era {
		r.era = position.Era
		for _, id := range gone {
			r.endpoints[id].lapsedAt = time.Time{} // The time to register again starts anew.
			r.removeRow(now, id, position, true)
		}
		return
	}
	r.Remove(now, gone, position)
}

// RemoveLapsed removes the endpoints whose rows have been missing for lapseGrace. It
// reports whether the list has changed since the last call.
func (r *Registry) RemoveLapsed(now time.Time) bool {
	for _, e := range r.endpoints {
		if !e.lapsedAt.IsZero() && now.Sub(e.lapsedAt) >= lapseGrace {
			r.delete(now, e)
		}
	}
	for id, gone := range r.gone {
		if now.Sub(gone.at) >= goneFor {
			delete(r.gone, id)
		}
	}
	r.dropLeaves(now)
	wasChanged := r.changed
	r.changed = false
	return wasChanged
}

// Get returns an endpoint, or nil.
func (r *Registry) Get(id qf.EndpointID) *EndpointRecord { return r.endpoints[id] }

// All returns all listed endpoints, including those that are leaving, sorted by ID.
func (r *Registry) All() []*EndpointRecord {
	all := make([]*EndpointRecord, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *EndpointRecord) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// Usable returns the endpoints that may receive new requests.
func (r *Registry) Usable() []qf.Endpoint {
	var usable []qf.Endpoint
	for _, e := range r.All() {
		if !e.Leaving {
			usable = append(usable, e.Endpoint)
		}
	}
	return usable
}
