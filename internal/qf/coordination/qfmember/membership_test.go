package qfmember

import (
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func node(id string, startedAt time.Time) qf.Node {
	return qf.Node{ID: qf.NodeID(id), Incarnation: qf.Incarnation(startedAt.UnixMilli()), State: qf.NodeLive, Heartbeat: 1}
}

func withHeartbeat(n qf.Node, heartbeat uint64) qf.Node {
	n.Heartbeat = heartbeat
	return n
}

func newMembership() *Membership {
	return New(node("self", start), Timing{SuspectAfter: 3 * time.Second, DeadAfter: 8 * time.Second})
}

func stateOf(m *Membership, now time.Time, id qf.NodeID) qf.NodeState {
	for _, n := range m.Peers(now) {
		if n.ID == id {
			return n.State
		}
	}
	return qf.NodeDead
}

// TestDepartingVMMakesNodeLeave checks that a node counts as leaving as soon as its VM is
// under notice, even if it doesn't report so itself, and that a departure of an earlier
// incarnation of the VM doesn't affect a node that started later.
func TestDepartingVMMakesNodeLeave(t *testing.T) {
	cases := []struct {
		name      string
		departure qf.Departure
		startedAt time.Time
		want      qf.NodeState
	}{
		{name: "under notice", departure: qf.Departure{VM: "a", Incarnation: 1, In: 30 * time.Second}, startedAt: start, want: qf.NodeLeaving},
		{name: "time unknown", departure: qf.Departure{VM: "a", Incarnation: 1}, startedAt: start, want: qf.NodeLeaving},
		{name: "another VM", departure: qf.Departure{VM: "b", Incarnation: 9, In: time.Second}, startedAt: start, want: qf.NodeLive},
		{
			name: "earlier incarnation", departure: qf.Departure{VM: "a", Incarnation: 1, In: -time.Minute},
			startedAt: start.Add(-time.Second), want: qf.NodeLive,
		},
	}
	for _, c := range cases {
		m := newMembership()
		m.RecordNode(start, node("a", c.startedAt))
		if !m.RecordDeparture(start, c.departure) || m.RecordDeparture(start, c.departure) {
			t.Errorf("%s: a departure must be new exactly once", c.name)
		}
		if got := stateOf(m, start, "a"); got != c.want {
			t.Errorf("%s: the node is %s, not %s", c.name, got, c.want)
		}
		m.RecordNode(start, withHeartbeat(node("a", c.startedAt), 2))
		if got := stateOf(m, start, "a"); got != c.want {
			t.Errorf("%s: after a heartbeat the node is %s, not %s", c.name, got, c.want)
		}
	}
}

// TestIsSelfLeaving checks that only a departure of the node's own VM and incarnation
// makes it leave.
func TestIsSelfLeaving(t *testing.T) {
	cases := []struct {
		departure qf.Departure
		want      bool
	}{
		{departure: qf.Departure{VM: "self", Incarnation: 1, In: time.Second}, want: true},
		{departure: qf.Departure{VM: "self", Incarnation: 1, In: -time.Minute}},
		{departure: qf.Departure{VM: "a", Incarnation: 1, In: time.Second}},
	}
	for _, c := range cases {
		if got := newMembership().IsSelfLeaving(start.Add(time.Second), c.departure); got != c.want {
			t.Errorf("%v: got %v", c.departure, got)
		}
	}
}

// TestAssumedTimeIsCorrected checks that the first reported time of a departure replaces
// the assumed one, and that later ones don't.
func TestAssumedTimeIsCorrected(t *testing.T) {
	m := newMembership()
	m.RecordDeparture(start, qf.Departure{VM: "e", Incarnation: 1})
	if at, _ := m.DepartureTime("e", 1); at != start.Add(assumedNotice) {
		t.Errorf("the assumed time is %s", at)
	}
	m.RecordDeparture(start, qf.Departure{VM: "e", Incarnation: 1, In: time.Minute})
	m.RecordDeparture(start, qf.Departure{VM: "e", Incarnation: 1, In: time.Hour})
	if at, _ := m.DepartureTime("e", 1); at != start.Add(time.Minute) {
		t.Errorf("the corrected time is %s", at)
	}
}

// TestDeadNodesAreProbedInTurn checks that dead nodes are probed in turn, are live
// again after a new heartbeat, and are removed after removeAfter.
func TestDeadNodesAreProbedInTurn(t *testing.T) {
	m := newMembership()
	m.RecordNode(start, node("a", start))
	m.RecordNode(start, node("b", start))
	if _, ok := m.NextProbe(start); ok {
		t.Error("a live node was probed")
	}
	now := start.Add(time.Minute)
	var probed []qf.NodeID
	for i := range 4 {
		n, _ := m.NextProbe(now.Add(time.Duration(i) * time.Second))
		probed = append(probed, n.ID)
	}
	if !slices.Equal(probed, []qf.NodeID{"a", "b", "a", "b"}) {
		t.Errorf("probed %v", probed)
	}
	m.RecordNode(now, withHeartbeat(node("a", start), 100))
	if got := stateOf(m, now, "a"); got != qf.NodeLive {
		t.Errorf("a node with a new heartbeat is %s", got)
	}
	if _, ok := m.NextProbe(now.Add(time.Hour)); ok || len(m.peers) != 0 {
		t.Error("dead nodes are never removed")
	}
}
