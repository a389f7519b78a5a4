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
	// RowVersion is the version of the row.
	RowVersion uint64
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
}

// New returns an empty registry.
func New() *Registry { return &Registry{endpoints: map[qf.EndpointID]*EndpointRecord{}} }

// MarkStoreFailed records that a call to the store failed.
func (r *Registry) MarkStoreFailed() { r.isStoreFailing = true }

// MarkStoreAnswered records that a response of the store was processed.
func (r *Registry) MarkStoreAnswered() { r.isStoreFailing = false }

// Set adds or updates an endpoint from its row. It reports whether the endpoint is new.
func (r *Registry) Set(now time.Time, row *qf.RegisteredEndpoint, rowVersion uint64) bool {
	known := r.endpoints[row.ID]
	if known != nil && known.RowVersion >= rowVersion && known.lapsedAt.IsZero() {
		return false
	}
	isNew := known == nil || known.Incarnation != row.Incarnation
	if isNew || known.RegisteredEndpoint != *row || !known.lapsedAt.IsZero() {
		r.changed = true
	}
	firstSeenAt := now
	if !isNew {
		firstSeenAt = known.FirstSeenAt
	}
	r.endpoints[row.ID] = &EndpointRecord{RegisteredEndpoint: *row, RowVersion: rowVersion, FirstSeenAt: firstSeenAt}
	return isNew
}

// Remove removes the endpoints whose rows are missing or unreadable in one response of
// the store. If the store was failing, or most rows of an entry disappeared together, the
// rows may only have lapsed: their endpoints are kept for lapseGrace, so that they can
// register again. Endpoints that are leaving are removed at once in any case.
func (r *Registry) Remove(now time.Time, ids []qf.EndpointID, rowVersion uint64) {
	mayHaveLapsed := r.isStoreFailing || r.isMass(ids)
	for _, id := range ids {
		known := r.endpoints[id]
		switch {
		case known == nil || known.RowVersion > rowVersion:
		case known.Leaving || !mayHaveLapsed:
			delete(r.endpoints, id)
			r.changed = true
		case known.lapsedAt.IsZero():
			known.lapsedAt = now
		}
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

// RemoveMissing removes the endpoints that are missing from a snapshot of the store.
func (r *Registry) RemoveMissing(now time.Time, present map[qf.EndpointID]bool, rowVersion uint64) {
	var gone []qf.EndpointID
	for id := range r.endpoints {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	r.Remove(now, gone, rowVersion)
}

// RemoveLapsed removes the endpoints whose rows have been missing for lapseGrace. It
// reports whether the list has changed since the last call.
func (r *Registry) RemoveLapsed(now time.Time) bool {
	for id, e := range r.endpoints {
		if !e.lapsedAt.IsZero() && now.Sub(e.lapsedAt) >= lapseGrace {
			delete(r.endpoints, id)
			r.changed = true
		}
	}
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
