package qfroute

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// attemptAt plays one attempt at an endpoint.
func attemptAt(p *Predictive, at time.Time, id qf.EndpointID, took time.Duration, ok bool) {
	p.RecordStart(at, id, 500)
	if ok {
		p.RecordFirstToken(at.Add(took), id, took)
	}
	p.RecordEnd(at.Add(took), id, 500, ok)
}

// withTraffic plays attempts at every endpoint, a second apart in rounds.
func withTraffic(p *Predictive, rounds int, bad func(id qf.EndpointID) (time.Duration, bool)) time.Time {
	at := p.now
	for range rounds {
		at = at.Add(100 * time.Millisecond)
		for _, e := range p.listed {
			took, ok := bad(e.ID)
			attemptAt(p, at, e.ID, took, ok)
		}
	}
	return at
}

const healthy = 70 * time.Millisecond

func TestEjection(t *testing.T) {
	isFirst := func(id qf.EndpointID) bool { return id == "e0000" }
	tests := []struct {
		name    string
		size    int
		arrange func(p *Predictive)
		play    func(id qf.EndpointID) (time.Duration, bool)
		// ejected is the number of endpoints that get no work afterwards.
		ejected int
		cause   qf.HealthCause
	}{
		{"all well", 6, nil, func(qf.EndpointID) (time.Duration, bool) { return healthy, true }, 0, ""},
		{"one fails", 6, nil, func(id qf.EndpointID) (time.Duration, bool) { return healthy, !isFirst(id) }, 1, qf.CauseFailing},
		{"one is down", 6, func(p *Predictive) {
			p.RecordPeerLoad(qf.InFlightLoad{Node: "n2", Endpoint: "e0000", Sequence: 1, Failing: true})
		}, func(id qf.EndpointID) (time.Duration, bool) { return healthy, !isFirst(id) }, 1, qf.CauseDown},
		{"one is unreachable from here", 6, func(p *Predictive) {
			p.RecordPeerLoad(qf.InFlightLoad{Node: "n2", Endpoint: "e0000", Sequence: 1, Answered: true})
		}, func(id qf.EndpointID) (time.Duration, bool) { return healthy, !isFirst(id) }, 1, qf.CauseUnreachable},
		{"one is slow", 6, nil, func(id qf.EndpointID) (time.Duration, bool) {
			if isFirst(id) {
				return 20 * healthy, true
			}
			return healthy, true
		}, 1, qf.CauseSlow},
		{"all are slow", 6, nil, func(qf.EndpointID) (time.Duration, bool) { return 20 * healthy, true }, 0, ""},
		{"all fail", 6, nil, func(qf.EndpointID) (time.Duration, bool) { return healthy, false }, 2, qf.CauseFailing},
		{"the only one fails", 1, nil, func(qf.EndpointID) (time.Duration, bool) { return healthy, false }, 0, ""},
		{"two peers say it is down", 6, func(p *Predictive) {
			p.RecordPeerLoad(qf.InFlightLoad{Node: "n2", Endpoint: "e0000", Sequence: 1, Failing: true})
			p.RecordPeerLoad(qf.InFlightLoad{Node: "n3", Endpoint: "e0000", Sequence: 1, Failing: true})
		}, func(qf.EndpointID) (time.Duration, bool) { return healthy, true }, 1, qf.CauseDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newRouter(1, sameZone(endpointsOf(tt.size)))
			if tt.arrange != nil {
				tt.arrange(p)
			}
			withTraffic(p, 8, tt.play)
			ejected := 0
			for _, e := range p.endpoints {
				if e.health.state == qf.HealthEjected {
					ejected++
				}
			}
			if ejected != tt.ejected {
				t.Errorf("%d endpoints are out, want %d", ejected, tt.ejected)
			}
			changes := p.TakeHealthChanges()
			if tt.cause != "" && (len(changes) == 0 || changes[0].Cause != tt.cause) {
				t.Errorf("changes %+v, want cause %q", changes, tt.cause)
			}
		})
	}
}

func TestEjectedGetsNoWorkAndIsTriedAgain(t *testing.T) {
	p := newRouter(1, sameZone(endpointsOf(3)))
	fails := func(id qf.EndpointID) (time.Duration, bool) { return healthy, id != "e0000" }
	at := withTraffic(p, 5, fails)
	if got := counts(t, p, queryAt(at, 500), 100)["e0000"]; got != 0 {
		t.Fatalf("an ejected endpoint got %d requests", got)
	}
	at = at.Add(firstEjection + sweepEvery)
	p.tick(at)
	if p.endpoints["e0000"].health.state != qf.HealthHalfOpen {
		t.Fatal("no trial began")
	}
	p.RecordStart(at, "e0000", 500)
	if got := counts(t, p, queryAt(at, 500), 100)["e0000"]; got != 0 {
		t.Errorf("a trial got %d requests beside the one in progress", got)
	}
	p.RecordFirstToken(at.Add(healthy), "e0000", healthy)
	p.RecordEnd(at.Add(healthy), "e0000", 500, true)
	attemptAt(p, at.Add(time.Second), "e0000", healthy, true)
	if state := p.endpoints["e0000"].health.state; state != qf.HealthGood {
		t.Errorf("after good trials the endpoint is %s", state)
	}
}

func TestSlowPaceEjects(t *testing.T) {
	p := newRouter(1, sameZone(endpointsOf(4)))
	for i := range 12 {
		for _, e := range p.listed {
			between := 20 * time.Millisecond
			if e.ID == "e0002" {
				between = 200 * time.Millisecond
			}
			p.RecordObservation(qf.Observation{At: start.Add(time.Duration(i) * time.Second), Endpoint: e.ID, BetweenToken: between, Tokens: 50})
		}
	}
	for _, e := range p.endpoints {
		if got, want := e.health.state == qf.HealthGood, e.ID != "e0002"; got != want {
			t.Errorf("%s is %s", e.ID, e.health.state)
		}
	}
}
