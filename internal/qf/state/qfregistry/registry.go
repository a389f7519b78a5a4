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
	settleFor = 2500 * time.Millisecond
	// disturbedFor is how long after a failed call the store counts as disturbed.
	disturbedFor = 3 * time.Second
)

// Entry is one endpoint with what the node knows of its place in the list.
type Entry struct {
	qf.ListedEndpoint
	// Stamp is the version of the row.
	Stamp uint64
	// SeenAt is when this version was first seen.
	SeenAt time.Time
	// lapsedAt is when the row was missed; it is zero while the row is there.
	lapsedAt time.Time
}

// Registry is a node's view of all endpoints. It isn't safe for concurrent use.
type Registry struct {
	entries map[qf.EndpointID]*Entry
	// troubledAt is when the store last failed, returnedAt when it answered again.
	troubledAt, returnedAt time.Time
	isTroubled             bool
	// changed is set by whatever may change the list.
	changed bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[qf.EndpointID]*Entry{}} }

// StoreFailed notes that a call to the store got no answer.
func (r *Registry) StoreFailed(now time.Time) {
	r.troubledAt, r.isTroubled = now, true
}

// StoreAnswered notes that the store answers.
func (r *Registry) StoreAnswered(now time.Time) {
	if r.isTroubled {
		r.isTroubled, r.returnedAt = false, now
	}
}

// Set takes an endpoint's row. It reports whether the endpoint is new.
func (r *Registry) Set(now time.Time, listed *qf.ListedEndpoint, stamp uint64) bool {
	known := r.entries[listed.ID]
	if known != nil && known.Stamp >= stamp && known.lapsedAt.IsZero() {
		return false
	}
	isNew := known == nil || known.Incarnation != listed.Incarnation
	if isNew || known.ListedEndpoint != *listed || !known.lapsedAt.IsZero() {
		r.changed = true
	}
	r.entries[listed.ID] = &Entry{ListedEndpoint: *listed, Stamp: stamp, SeenAt: now}
	return isNew
}

// Remove takes the news that a row is gone or can't be read. An entry that may only
// have lapsed with the store is kept until it has had the time to come back.
func (r *Registry) Remove(now time.Time, id qf.EndpointID, stamp uint64) {
	known := r.entries[id]
	if known == nil || known.Stamp > stamp {
		return
	}
	if known.Leaving || !r.isDisturbed(now) {
		delete(r.entries, id)
		r.changed = true
		return
	}
	if known.lapsedAt.IsZero() {
		known.lapsedAt = now
	}
}

// KeepOnly removes the entries that a whole reading of the store didn't show.
func (r *Registry) KeepOnly(now time.Time, shown map[qf.EndpointID]bool, stamp uint64) {
	for id := range r.entries {
		if !shown[id] {
			r.Remove(now, id, stamp)
		}
	}
}

func (r *Registry) isDisturbed(now time.Time) bool {
	return r.isTroubled || !r.troubledAt.IsZero() && now.Sub(r.troubledAt) < disturbedFor ||
		!r.returnedAt.IsZero() && now.Sub(r.returnedAt) < settleFor
}

// Settle forgets the entries that lapsed and had time to come back. It reports
// whether the list has changed since the last call.
func (r *Registry) Settle(now time.Time) bool {
	for id, e := range r.entries {
		if e.lapsedAt.IsZero() || r.isTroubled || now.Sub(r.returnedAt) < settleFor {
			continue
		}
		delete(r.entries, id)
		r.changed = true
	}
	wasChanged := r.changed
	r.changed = false
	return wasChanged
}

// Get returns an endpoint, or nil.
func (r *Registry) Get(id qf.EndpointID) *Entry { return r.entries[id] }

// All returns all endpoints that are listed, those that leave included, in the order
// of their names.
func (r *Registry) All() []*Entry {
	all := make([]*Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
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
