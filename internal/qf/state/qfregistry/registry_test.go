package qfregistry

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var start = time.Unix(1_800_000_000, 0)

func filled(ids ...qf.EndpointID) *Registry {
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

// TestLeavingEndpoint guards the promise that a leaving endpoint gets no new work, also
// shortly after the store has failed.
func TestLeavingEndpoint(t *testing.T) {
	const far = 100
	tests := []struct {
		name string
		do   func(r *Registry)
		// after is the time from the news to the question.
		after time.Duration
		want  bool
	}{
		{"listed", func(*Registry) {}, 0, true},
		{"draining", func(r *Registry) {
			r.Set(start, &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}, Leaving: true}, far)
		}, 0, false},
		{"removed", func(r *Registry) { r.Remove(start, []qf.EndpointID{"a"}, far) }, 0, false},
		{"removed after the store's return was taken", func(r *Registry) {
			r.MarkStoreFailed()
			r.MarkStoreAnswered()
			r.Remove(start, []qf.EndpointID{"a"}, far)
		}, 0, false},
		{"missing at the store's return", func(r *Registry) {
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, far)
		}, time.Second, true},
		{"still missing", func(r *Registry) {
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, far)
		}, settleFor, false},
		{"most of them vanish at once", func(r *Registry) {
			r.Remove(start, []qf.EndpointID{"a", "b", "c"}, far)
		}, time.Second, true},
		{"old news of a removal", func(r *Registry) { r.Remove(start, []qf.EndpointID{"a"}, 0) }, 0, true},
		{"draining before the store failed", func(r *Registry) {
			r.Set(start, &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}, Leaving: true}, far)
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, far+1)
		}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := filled("a", "b", "c", "d")
			tt.do(r)
			r.RemoveLapsed(start.Add(tt.after))
			if got := usable(r, "a"); got != tt.want {
				t.Errorf("usable %v, want %v", got, tt.want)
			}
		})
	}
}

func TestEntryComesBack(t *testing.T) {
	r := filled("a", "b")
	r.MarkStoreFailed()
	r.Remove(start, []qf.EndpointID{"a"}, 10)
	r.MarkStoreAnswered()
	r.Set(start.Add(time.Second), &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}}, 11)
	r.RemoveLapsed(start.Add(time.Minute))
	if !usable(r, "a") {
		t.Error("an entry that came back isn't usable")
	}
}
