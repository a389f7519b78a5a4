package qfhandover

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func node(id, zone string) qf.Node {
	return qf.Node{
		ID: qf.NodeID(id), AvailabilityZone: qf.AvailabilityZone(zone), State: qf.NodeLive,
		CallerAddress: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func withState(n qf.Node, state qf.NodeState) qf.Node {
	n.State = state
	return n
}

// TestSuccessors guards against a hand-over to a peer that can't take requests, or that
// would be reclaimed together with the node.
func TestSuccessors(t *testing.T) {
	self := node("a1", "a")
	cases := []struct {
		name  string
		peers []qf.Node
		want  []qf.NodeID
	}{
		{name: "other zones only", peers: []qf.Node{node("a2", "a"), node("b1", "b")}, want: []qf.NodeID{"b1"}},
		{name: "same zone if there is no other", peers: []qf.Node{node("a2", "a")}, want: []qf.NodeID{"a2"}},
		{name: "not itself", peers: []qf.Node{self}},
		{
			name: "no peer that is leaving, suspect or dead",
			peers: []qf.Node{
				withState(node("b1", "b"), qf.NodeLeaving), withState(node("b2", "b"), qf.NodeSuspect),
				withState(node("b3", "b"), qf.NodeDead), node("c1", "c"),
			},
			want: []qf.NodeID{"c1"},
		},
	}
	for _, c := range cases {
		var got []qf.NodeID
		for _, p := range Successors(self, c.peers) {
			got = append(got, p.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func candidates(count int) []Candidate {
	var out []Candidate
	for i := range count {
		// The last one is the most urgent.
		out = append(out, Candidate{
			ID: qf.RequestID(fmt.Sprintf("r%04d", i)), Deadline: start.Add(time.Duration(count-i) * time.Second),
		})
	}
	return out
}

// TestPlanIsBoundedAndUrgentFirst guards against a plan that overloads a peer, delays urgent
// requests behind others, or omits or repeats a request.
func TestPlanIsBoundedAndUrgentFirst(t *testing.T) {
	for _, peers := range []int{1, 2, 5, 40} {
		for _, count := range []int{0, 1, 7, 200} {
			t.Run(fmt.Sprintf("%d requests, %d peers", count, peers), func(t *testing.T) {
				var nodes []qf.Node
				for i := range peers {
					nodes = append(nodes, node(fmt.Sprintf("n%d", i), "b"))
				}
				given := candidates(count)
				deadlines := map[qf.RequestID]time.Time{}
				for _, c := range given {
					deadlines[c.ID] = c.Deadline
				}
				checkPlan(t, PlanBatches(given, nodes), deadlines, maxRequestsPerPeer(count, peers))
			})
		}
	}
}

func checkPlan(t *testing.T, batches []Batch, deadlines map[qf.RequestID]time.Time, bound int) {
	t.Helper()
	load := map[qf.NodeID]int{}
	var first []time.Time
	for _, b := range batches {
		if len(b.Requests) == 0 || len(b.Requests) > MaxBatch {
			t.Fatalf("a batch has %d requests", len(b.Requests))
		}
		first = append(first, deadlines[b.Requests[0]])
		for i, id := range b.Requests {
			if i > 0 && deadlines[id].Before(deadlines[b.Requests[i-1]]) {
				t.Errorf("%s is more urgent than the request before it", id)
			}
			if deadlines[id].IsZero() {
				t.Errorf("%s is planned twice or unknown", id)
			}
			delete(deadlines, id)
		}
		load[b.Peer.ID] += len(b.Requests)
	}
	if !slices.IsSortedFunc(first, time.Time.Compare) {
		t.Error("batches aren't in the order of their most urgent deadlines")
	}
	if len(deadlines) > 0 {
		t.Errorf("%d requests have no peer", len(deadlines))
	}
	for id, n := range load {
		if n > bound {
			t.Errorf("%s gets %d requests, more than %d", id, n, bound)
		}
	}
}

// TestPlanPrefersShadowAndAvoidsExcluded guards against a full transfer where a shadow
// exists, and against another offer to a peer that refused.
func TestPlanPrefersShadowAndAvoidsExcluded(t *testing.T) {
	peers := []qf.Node{node("b1", "b"), node("c1", "c"), node("d1", "d")}
	for i := range 50 {
		id := qf.RequestID(fmt.Sprintf("r%d", i))
		withShadow := PlanBatches([]Candidate{{ID: id, Shadow: "c1"}}, peers)
		if withShadow[0].Peer.ID != "c1" {
			t.Fatalf("%s went to %s, not to its shadow", id, withShadow[0].Peer.ID)
		}
		without := PlanBatches([]Candidate{{ID: id, Shadow: "c1", Excluded: []qf.NodeID{"c1"}}}, peers)
		if without[0].Peer.ID == "c1" {
			t.Fatalf("%s went to a peer that had refused it", id)
		}
	}
	if none := PlanBatches([]Candidate{{ID: "r", Excluded: []qf.NodeID{"b1"}}}, peers[:1]); len(none) != 0 {
		t.Errorf("got %v although the only peer is excluded", none)
	}
}

func record(generation qf.Generation, text ...string) *qf.RequestRecord {
	return &qf.RequestRecord{
		Request: qf.Request{ID: "r"}, Generation: generation, Owner: "a1", TimeLeft: time.Minute, Text: text,
	}
}

func withUpdate(r *qf.RequestRecord, from int) *qf.RequestRecord {
	r.Update = true
	r.TextFrom = from
	return r
}

func withOwner(r *qf.RequestRecord, owner qf.NodeID) *qf.RequestRecord {
	r.Owner = owner
	return r
}

// TestShadows guards against a copy with gaps, repeated tokens or text of a stale owner.
func TestShadows(t *testing.T) {
	cases := []struct {
		name string
		sent []*qf.RequestRecord
		// kept is the result of Store for the last record.
		kept bool
		want []string
	}{
		{name: "whole", sent: []*qf.RequestRecord{record(1, "a", "b")}, kept: true, want: []string{"a", "b"}},
		{name: "continued", sent: []*qf.RequestRecord{record(1, "a"), withUpdate(record(1, "b"), 1)}, kept: true, want: []string{"a", "b"}},
		{
			name: "continuation sent twice", kept: true, want: []string{"a", "b"},
			sent: []*qf.RequestRecord{record(1, "a"), withUpdate(record(1, "b"), 1), withUpdate(record(1, "b"), 1)},
		},
		{name: "gap", sent: []*qf.RequestRecord{record(1, "a"), withUpdate(record(1, "c"), 2)}, want: []string{"a"}},
		{name: "continuation of nothing", sent: []*qf.RequestRecord{withUpdate(record(1, "b"), 1)}},
		{name: "stale generation", sent: []*qf.RequestRecord{record(3, "a"), record(2, "x", "y")}, want: []string{"a"}},
		{name: "newer generation", sent: []*qf.RequestRecord{record(2, "a"), record(3, "x")}, kept: true, want: []string{"x"}},
		{
			name: "continuation of another owner", want: []string{"a"},
			sent: []*qf.RequestRecord{record(1, "a"), withOwner(withUpdate(record(1, "b"), 1), "b1")},
		},
	}
	for _, c := range cases {
		s := NewShadowStore(1)
		kept := false
		for _, r := range c.sent {
			kept = s.Store(start, r, time.Second)
		}
		got, _ := s.Get(start, "r", time.Second)
		if kept != c.kept || !slices.Equal(got.Text, c.want) {
			t.Errorf("%s: kept %v, text %v", c.name, kept, got.Text)
		}
	}
}

// TestLateOfferIsStale guards against a delayed offer that would give a request two
// owners.
func TestLateOfferIsStale(t *testing.T) {
	s := NewShadowStore(1)
	s.Store(start, record(2, "a"), time.Second)
	s.RecordOwner(start, record(4), time.Second)
	s.RecordOwner(start, record(3), time.Second)
	for generation, want := range map[qf.Generation]bool{1: true, 3: true, 4: false, 5: false} {
		if got := s.IsStale(record(generation)); got != want {
			t.Errorf("generation %d: got %v", generation, got)
		}
	}
	s.DeleteExpired(start.Add(2 * time.Minute))
	if s.NewestGeneration("r") != 0 {
		t.Error("a recorded owner outlived its request")
	}
}

// TestShadowsAreBoundedAndExpire guards against a store that grows without bound or deletes
// copies too early.
func TestShadowsAreBoundedAndExpire(t *testing.T) {
	s := NewShadowStore(1)
	s.Store(start, record(1), time.Second)
	other := record(1)
	other.Request.ID = "other"
	if s.Store(start, other, time.Second) {
		t.Error("a full store took one more")
	}
	if got, ok := s.Get(start.Add(time.Second), "r", time.Second); !ok || got.TimeLeft != 59*time.Second {
		t.Errorf("got %v, %v", got.TimeLeft, ok)
	}
	s.DeleteExpired(start.Add(time.Minute))
	if s.Len() != 1 {
		t.Error("a copy expired before its time")
	}
	s.DeleteExpired(start.Add(time.Minute + 2*time.Second))
	if s.Len() != 0 {
		t.Error("a copy outlived its request")
	}
}

// TestSupersedes guards against two nodes that disagree on who owns a request.
func TestSupersedes(t *testing.T) {
	cases := []struct {
		generation qf.Generation
		owner      qf.NodeID
		want       bool
	}{
		{generation: 1, owner: "z", want: true},
		{generation: 3, owner: "a", want: false},
		{generation: 2, owner: "a", want: true},
		{generation: 2, owner: "z", want: false},
		{generation: 2, owner: "m", want: false},
	}
	newer := qf.RequestRecord{Generation: 2, Owner: "m"}
	for _, c := range cases {
		if got := newer.Supersedes(c.generation, c.owner); got != c.want {
			t.Errorf("generation %d of %s: got %v", c.generation, c.owner, got)
		}
	}
}
