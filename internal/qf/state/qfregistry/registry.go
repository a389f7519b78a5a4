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
	// settleFor is how long after the store's return the entries that lapsed
	// meanwhile may take to come back.
	settleFor = 2100 * time.Millisecond
	// massShare is the part of an entry's endpoints whose rows vanish together only if
	// they lapsed.
	massShare = 0.5
	// massLeast is the least number of rows that says something of lapsing.
	massLeast = 3
)

// EndpointRecord is one endpoint with what the node knows of its place in the list.
type EndpointRecord struct {
	qf.RegisteredEndpoint
	// RowVersion is the version of the row.
	RowVersion uint64
	// FirstSeenAt is when the endpoint was first seen.
	FirstSeenAt time.Time
	// lapsedAt is when the row was missed; it is zero while the row is there.
	lapsedAt time.Time
}

// Registry is a node's view of all endpoints. It isn't safe for concurrent use.
type Registry struct {
	entries map[qf.EndpointID]*EndpointRecord
	// isTroubled is true from a failed call until the next answer was taken. What is
	// missing in that answer may have lapsed while the store was away.
	isTroubled bool
	// changed is set by whatever may change the list.
	changed bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[qf.EndpointID]*EndpointRecord{}} }

// MarkStoreFailed notes that a call to the store got no answer.
func (r *Registry) MarkStoreFailed() { r.isTroubled = true }

// MarkStoreAnswered notes that an answer of the store was taken.
func (r *Registry) MarkStoreAnswered() { r.isTroubled = false }

// Set takes an endpoint's row. It reports whether the endpoint is new.
func (r *Registry) Set(now time.Time, listed *qf.RegisteredEndpoint, stamp uint64) bool {
	known := r.entries[listed.ID]
	if known != nil && known.RowVersion >= stamp && known.lapsedAt.IsZero() {
		return false
	}
	isNew := known == nil || known.Incarnation != listed.Incarnation
	if isNew || known.RegisteredEndpoint != *listed || !known.lapsedAt.IsZero() {
		r.changed = true
	}
	listedAt := now
	if !isNew {
		listedAt = known.FirstSeenAt
	}
	r.entries[listed.ID] = &EndpointRecord{RegisteredEndpoint: *listed, RowVersion: stamp, FirstSeenAt: listedAt}
	return isNew
}

// Remove takes the news that rows are gone or can't be read, as one answer of the
// store shows it. Entries that may only have lapsed with the store are kept until they
// have had the time to come back.
func (r *Registry) Remove(now time.Time, ids []qf.EndpointID, stamp uint64) {
	mayHaveLapsed := r.isTroubled || r.isMass(ids)
	for _, id := range ids {
		known := r.entries[id]
		switch {
		case known == nil || known.RowVersion > stamp:
		case known.Leaving || !mayHaveLapsed:
			delete(r.entries, id)
			r.changed = true
		case known.lapsedAt.IsZero():
			known.lapsedAt = now
		}
	}
}

// isMass reports whether rows that vanish together are most of an entry's endpoints.
func (r *Registry) isMass(ids []qf.EndpointID) bool {
	gone, all := map[qf.EntryName]int{}, map[qf.EntryName]int{}
	for _, e := range r.entries {
		if !e.Leaving && e.lapsedAt.IsZero() {
			all[e.Entry]++
		}
	}
	for _, id := range ids {
		if e := r.entries[id]; e != nil && !e.Leaving && e.lapsedAt.IsZero() {
			gone[e.Entry]++
		}
	}
	for entry, count := range gone {
		if count >= massLeast && float64(count) > massShare*float64(all[entry]) {
			return true
		}
	}
	return false
}

// RemoveMissing removes the entries that a whole reading of the store didn't show.
func (r *Registry) RemoveMissing(now time.Time, shown map[qf.EndpointID]bool, stamp uint64) {
	var gone []qf.EndpointID
	for id := range r.entries {
		if !shown[id] {
			gone = append(gone, id)
		}
	}
	r.Remove(now, gone, stamp)
}

// RemoveLapsed forgets the entries that lapsed and had time to come back. It reports
// whether the list has changed since the last call.
func (r *Registry) RemoveLapsed(now time.Time) bool {
	for id, e := range r.entries {
		if !e.lapsedAt.IsZero() && now.Sub(e.lapsedAt) >= settleFor {
			delete(r.entries, id)
			r.changed = true
		}
	}
	wasChanged := r.changed
	r.changed = false
	return wasChanged
}

// Get returns an endpoint, or nil.
func (r *Registry) Get(id qf.EndpointID) *EndpointRecord { return r.entries[id] }

// All returns all endpoints that are listed, those that leave included, in the order
// of their names.
func (r *Registry) All() []*EndpointRecord {
	all := make([]*EndpointRecord, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *EndpointRecord) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// Usable returns the endpoints that may get new work.
func (r *Registry) Usable() []qf.Endpoint {
	var usable []qf.Endpoint
	for _, e := range r.All() {
		if !e.Leaving {
			usable = append(usable, e.Endpoint)
		}
	}
	return usable
}
