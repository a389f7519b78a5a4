package qfregistry

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var start = time.Unix(1_800_000_000, 0)

// at returns a position of the first era.
func at(version uint64) qf.StorePosition { return qf.StorePosition{Version: version} }

func newRegistry(ids ...qf.EndpointID) *Registry {
	r := New()
	for i, id := range ids {
		r.Set(start, &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: id, Entry: "chat"}}, at(uint64(i+1)))
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
			r.Set(start, &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}, Leaving: true}, at(newer))
		}, 0, false},
		{"removed", func(r *Registry) { r.Remove(start, []qf.EndpointID{"a"}, at(newer)) }, 0, false},
		{"removed after the store has recovered", func(r *Registry) {
			r.MarkStoreFailed()
			r.MarkStoreAnswered()
			r.Remove(start, []qf.EndpointID{"a"}, at(newer))
		}, 0, false},
		{"missing when the store answers again", func(r *Registry) {
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, at(newer))
		}, time.Second, true},
		{"missing when the grace period ends", func(r *Registry) {
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, at(newer))
		}, lapseGrace, false},
		{"most rows disappear at once", func(r *Registry) {
			r.Remove(start, []qf.EndpointID{"a", "b", "c"}, at(newer))
		}, time.Second, true},
		{"a removal older than the row", func(r *Registry) { r.Remove(start, []qf.EndpointID{"a"}, at(0)) }, 0, true},
		{"draining before the store failed", func(r *Registry) {
			r.Set(start, &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}, Leaving: true}, at(newer))
			r.MarkStoreFailed()
			r.Remove(start, []qf.EndpointID{"a"}, at(newer+1))
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
	r.Remove(start, []qf.EndpointID{"a"}, at(10))
	r.MarkStoreAnswered()
	r.Set(start.Add(time.Second), &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat"}}, at(11))
	r.RemoveLapsed(start.Add(time.Minute))
	if !usable(r, "a") {
		t.Error("an endpoint that registered again isn't usable")
	}
}

// TestRestoredStore fails if, after the store came back from an older copy, an endpoint is given
// up before it could register again, or an old row brings work to one that has left, drains or
// was started again.
func TestRestoredStore(t *testing.T) {
	const born, era = 50, 2
	rowOf := func(born qf.Incarnation, sequence uint64, isLeaving bool) *qf.RegisteredEndpoint {
		return &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: "a", Entry: "chat", Incarnation: born}, Sequence: sequence, Leaving: isLeaving}
	}
	tests := []struct {
		name string
		// before are the rows read in the first era; a nil row is a removal.
		before []*qf.RegisteredEndpoint
		// restored is the row in the restored store, again what the endpoint writes then;
		// nil means none.
		restored, again *qf.RegisteredEndpoint
		// soon and later say whether the endpoint may get work a second and ten seconds
		// after the restore.
		soon, later bool
	}{
		{name: "the row is there", before: []*qf.RegisteredEndpoint{rowOf(born, 3, false)}, restored: rowOf(born, 3, false), soon: true, later: true},
		{name: "the row is lost, and written again", before: []*qf.RegisteredEndpoint{rowOf(born, 3, false)}, again: rowOf(born, 4, false), soon: true, later: true},
		{name: "the row is lost for good", before: []*qf.RegisteredEndpoint{rowOf(born, 3, false)}, soon: true},
		{name: "drained", before: []*qf.RegisteredEndpoint{rowOf(born, 3, false), rowOf(born, 7, true)}, restored: rowOf(born, 3, false)},
		{name: "drained without numbers", before: []*qf.RegisteredEndpoint{rowOf(born, 0, false), rowOf(born, 0, true)}, restored: rowOf(born, 0, false)},
		{name: "drained, lost and written again", before: []*qf.RegisteredEndpoint{rowOf(born, 3, false), rowOf(born, 7, true)}, again: rowOf(born, 8, true)},
		{name: "left", before: []*qf.RegisteredEndpoint{rowOf(born, 3, false), nil}, restored: rowOf(born, 3, false)},
		{name: "left, then started again", before: []*qf.RegisteredEndpoint{rowOf(born, 3, false), nil}, restored: rowOf(born, 3, false), again: rowOf(born+9, 1, false), soon: true, later: true},
		{name: "removed but alive", before: []*qf.RegisteredEndpoint{rowOf(born, 3, false), nil}, restored: rowOf(born, 3, false), again: rowOf(born, 5, false), soon: true, later: true},
		{name: "started again before", before: []*qf.RegisteredEndpoint{rowOf(born, 9, true), rowOf(born+9, 1, false)}, restored: rowOf(born, 9, true), again: rowOf(born+9, 2, false), soon: true, later: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRegistry()
			for i, row := range tt.before {
				if row == nil {
					r.Remove(start, []qf.EndpointID{"a"}, at(uint64(100+i)))
					continue
				}
				r.Set(start, row, at(uint64(100+i)))
			}
			position := func(version uint64) qf.StorePosition { return qf.StorePosition{Era: era, Version: version} }
			r.RemoveMissing(start, map[qf.EndpointID]bool{"a": tt.restored != nil}, position(70))
			if tt.restored != nil {
				r.Set(start, tt.restored, position(60))
			}
			now := start.Add(time.Second)
			if tt.again != nil {
				r.Set(now, tt.again, position(71))
			}
			r.RemoveLapsed(now)
			if got := usable(r, "a"); got != tt.soon {
				t.Errorf("a second after: usable %v, want %v", got, tt.soon)
			}
			r.RemoveLapsed(start.Add(10 * time.Second))
			if got := usable(r, "a"); got != tt.later {
				t.Errorf("ten seconds after: usable %v, want %v", got, tt.later)
			}
		})
	}
}
