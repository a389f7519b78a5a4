package qfforward

import (
	"testing"

	"quetzalfront/internal/qf"
)

// TestMoveIsReleasedOnce fails if the endpoint to which a run was to be moved stays reserved, or
// is released although the run goes on there or was released before.
func TestMoveIsReleasedOnce(t *testing.T) {
	tests := []struct {
		name      string
		certainty qf.Certainty
		// abandonFirst and abandonLast say whether the request ends before or after the
		// result is known.
		abandonFirst, abandonLast bool
		want                      int
	}{
		{name: "moved", certainty: qf.Done},
		{name: "not moved", certainty: qf.NotDone, want: 1},
		{name: "unknown", certainty: qf.Unknown, want: 1},
		{name: "the request ends before", certainty: qf.Done, abandonFirst: true, want: 1},
		{name: "the request ends before, not moved", certainty: qf.NotDone, abandonFirst: true, want: 1},
		{name: "the request ends after", certainty: qf.Done, abandonLast: true, want: 1},
		{name: "the request ends after, not moved", certainty: qf.NotDone, abandonLast: true, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, move, released := newStreamTable(), &streamMove{known: make(chan struct{})}, 0
			if tt.abandonFirst && table.abandon(move) {
				released++
			}
			if !table.settle(move, tt.certainty, "") {
				released++
			}
			if tt.abandonLast && table.abandon(move) {
				released++
			}
			if released != tt.want {
				t.Errorf("released %d times, want %d", released, tt.want)
			}
		})
	}
}

// TestMoveOfAnEndedStreamDoesNotBegin fails if a run is stopped for a stream that has ended, or if
// an open stream isn't found.
func TestMoveOfAnEndedStreamDoesNotBegin(t *testing.T) {
	table := newStreamTable()
	s := &stream{picked: qf.PickedEndpoint{Endpoint: qf.Endpoint{ID: "a"}}}
	table.add(s)
	if list := table.at("a"); len(list) != 1 || list[0] != s {
		t.Fatalf("%d streams at the endpoint, want 1", len(list))
	}
	move := &streamMove{known: make(chan struct{})}
	if !table.beginMove(s, move) {
		t.Error("the move of an open stream doesn't begin")
	}
	if table.remove(s) != move || len(table.at("a")) != 0 {
		t.Error("the stream's move is lost, or the stream is still listed")
	}
	if table.beginMove(s, move) {
		t.Error("the move of an ended stream begins")
	}
}
