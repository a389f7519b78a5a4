package qfhttp_test

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfhttp"
)

// TestTimeoutsOfConfigurationsThatMayBeInForce fails if a wait gets less than a configuration allows on which its client may still rely, or
// if a lowered timeout never takes effect.
func TestTimeoutsOfConfigurationsThatMayBeInForce(t *testing.T) {
	const spread = 3 * time.Second
	type version struct {
		at       time.Duration
		revision qf.Revision
		idle     time.Duration
	}
	tests := []struct {
		name     string
		versions []version
		began    time.Duration
		want     time.Duration
	}{
		{"no configuration", nil, 0, 75 * time.Second},
		{"one", []version{{0, 1, 20 * time.Second}}, 10 * time.Second, 23 * time.Second},
		{"raised after the beginning", []version{{0, 1, 20 * time.Second}, {30 * time.Second, 2, 90 * time.Second}}, 10 * time.Second, 93 * time.Second},
		{"lowered after the beginning", []version{{0, 1, 90 * time.Second}, {30 * time.Second, 2, 20 * time.Second}}, 10 * time.Second, 93 * time.Second},
		{"lowered just before", []version{{0, 1, 90 * time.Second}, {30 * time.Second, 2, 20 * time.Second}}, 32 * time.Second, 93 * time.Second},
		{"lowered long before", []version{{0, 1, 90 * time.Second}, {30 * time.Second, 2, 20 * time.Second}}, 33 * time.Second, 23 * time.Second},
		{
			"lowered and raised again",
			[]version{{0, 1, 20 * time.Second}, {10 * time.Second, 2, 90 * time.Second}, {12 * time.Second, 3, 20 * time.Second}},
			5 * time.Second, 93 * time.Second,
		},
		{"an older one comes late", []version{{0, 2, 20 * time.Second}, {time.Second, 1, 90 * time.Second}}, 10 * time.Second, 23 * time.Second},
		{
			"an old one of a long wait",
			[]version{{0, 1, 90 * time.Second}, {time.Second, 2, 20 * time.Second}, {80 * time.Second, 3, 20 * time.Second}},
			0, 93 * time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := qftimer.NewWall().Now()
			h := qfhttp.NewReadTimeoutHistory(qfhttp.ReadTimeouts{Idle: 75 * time.Second}, spread)
			for _, v := range test.versions {
				h.Apply(start.Add(v.at), v.revision, qfhttp.ReadTimeouts{Idle: v.idle})
			}
			if got := h.Since(start.Add(test.began)).Idle; got != test.want {
				t.Errorf("a wait that began at %v may last %v, want %v", test.began, got, test.want)
			}
		})
	}
}

// TestTimeoutsAtTheMomentOfAChange fails if a wait that begins at the moment of a change gets less than the replaced configuration allows,
// which the client may still have had.
func TestTimeoutsAtTheMomentOfAChange(t *testing.T) {
	start := qftimer.NewWall().Now()
	h := qfhttp.NewReadTimeoutHistory(qfhttp.ReadTimeouts{Idle: 75 * time.Second}, 0)
	h.Apply(start, 1, qfhttp.ReadTimeouts{Idle: 200 * time.Second})
	h.Apply(start.Add(time.Second), 2, qfhttp.ReadTimeouts{Idle: 20 * time.Second})
	tests := []struct {
		name  string
		began time.Duration
		want  time.Duration
	}{
		{"before it", time.Second - 1, 200 * time.Second},
		{"at it", time.Second, 200 * time.Second},
		{"after it", time.Second + 1, 20 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := h.Since(start.Add(test.began)).Idle; got != test.want {
				t.Errorf("the wait may last %v, want %v", got, test.want)
			}
		})
	}
}
