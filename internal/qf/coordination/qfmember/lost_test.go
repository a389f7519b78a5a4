package qfmember

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// TestLostNodes fails if a node that went silent and may be cut off isn't counted as lost, so that its share of a quota is
// spent on both sides, or if one that has left, is back, or is silent for long still is.
func TestLostNodes(t *testing.T) {
	leaving := node("a", start)
	leaving.State = qf.NodeLeaving
	tests := []struct {
		name  string
		play  func(m *Membership)
		after time.Duration
		nodes int
		lost  int
	}{
		{"live", func(m *Membership) { m.RecordNode(start, node("a", start)) }, time.Second, 2, 0},
		{"suspect", func(m *Membership) { m.RecordNode(start, node("a", start)) }, 4 * time.Second, 2, 0},
		{"silent", func(m *Membership) { m.RecordNode(start, node("a", start)) }, 9 * time.Second, 1, 1},
		{"silent for long", func(m *Membership) { m.RecordNode(start, node("a", start)) }, 31 * time.Second, 1, 0},
		{"left", func(m *Membership) { m.RecordNode(start, leaving) }, 9 * time.Second, 1, 0},
		{"its VM was to leave", func(m *Membership) {
			m.RecordNode(start, node("a", start))
			m.RecordDeparture(start, qf.Departure{VM: "a", Incarnation: qf.Incarnation(start.UnixMilli()), In: time.Second})
		}, 9 * time.Second, 1, 0},
		{"back", func(m *Membership) {
			m.RecordNode(start, node("a", start))
			m.RecordNode(start.Add(9*time.Second), withHeartbeat(node("a", start), 2))
		}, 10 * time.Second, 2, 0},
		{"back as another incarnation", func(m *Membership) {
			m.RecordNode(start, node("a", start))
			m.RecordNode(start.Add(9*time.Second), node("a", start.Add(8*time.Second)))
		}, 10 * time.Second, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMembership()
			tt.play(m)
			got := m.Relays(start.Add(tt.after), func(qf.NodeID) bool { return false })
			if got.Nodes != tt.nodes || got.Lost != tt.lost {
				t.Errorf("%d nodes and %d lost, want %d and %d", got.Nodes, got.Lost, tt.nodes, tt.lost)
			}
		})
	}
}
