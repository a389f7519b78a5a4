package qfregistry

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var start = time.Unix(1_800_000_000, 0)

func newRegistry(ids ...qf.EndpointID) *Registry {
	r := New()
	for i, id := range ids {
		r.Set(start, &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: id, Entry: "chat"}}, uint64(i+1))
	}
	return r
}

func usable(r *Registry, id qf.EndpointID) bool {
	for _, e := range r.Usable() {
		if e.ID == id {
			return true
		}
	}
	return false
}

// TestLeavingEndpoint checks that a leaving endpoint receives no new requests, also
// shortly after a failure of the store, and that a lapsed one stays usable meanwhile.
func TestLeavingEndpoint(t *testing.T) {
	const newer = 100
	tests := []struct {
		name string
		do   func(r *Registry)
		// after is the time from the change to the check.
		after time.Duration
		want  bool
	}{
		{"listed", func(*Registry) {}, 0, true},
		{"draining", func(r *Registry) {
			r.Set(start, &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}, Leaving: true}, newer)
		}, 0, false},
		{"removed", func(r *Registry) { r.Remove(start, []qf.EndpointID{"a"}, newer) }, 0, false},
		{"removed after the store has recovered", func(r *Registry) {
			r.MarkStoreFailed()
			r.MarkStoreAnswered()
			r.Remove(start, []qf.EndpointID{"a"}, newer)
		}, 0, false},
		{"missing when the store answers again", func(r *Registry) {
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, newer)
		}, time.Second, true},
		{"missing when the grace period ends", func(r *Registry) {
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, newer)
		}, lapseGrace, false},
		{"most rows disappear at once", func(r *Registry) {
			r.Remove(start, []qf.EndpointID{"a", "b", "c"}, newer)
		}, time.Second, true},
		{"a removal older than the row", func(r *Registry) { r.Remove(start, []qf.EndpointID{"a"}, 0) }, 0, true},
		{"draining before the store failed", func(r *Registry) {
			r.Set(start, &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}, Leaving: true}, newer)
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, newer+1)
		}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRegistry("a", "b", "c", "d")
			tt.do(r)
			r.RemoveLapsed(start.Add(tt.after))
			if got := usable(r, "a"); got != tt.want {
				t.Errorf("usable %v, want %v", got, tt.want)
			}
		})
	}
}

// TestEntryComesBack checks that an endpoint whose row lapsed during a failure of the store
// is usable once it has registered again.
func TestEntryComesBack(t *testing.T) {
	r := newRegistry("a", "b")
	r.MarkStoreFailed()
	r.Remove(start, []qf.EndpointID{"a"}, 10)
	r.MarkStoreAnswered()
	r.Set(start.Add(time.Second), &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}}, 11)
	r.RemoveLapsed(start.Add(time.Minute))
	if !usable(r, "a") {
		t.Error("an endpoint that registered again isn't usable")
	}
}
