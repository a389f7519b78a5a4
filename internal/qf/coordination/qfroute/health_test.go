package qfroute

import (
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// attemptAt records a whole attempt at an endpoint.
func attemptAt(p *Predictive, at time.Time, id qf.EndpointID, took time.Duration, ok bool) {
	p.RecordStart(at, id, 500)
	if ok {
		p.RecordFirstToken(at.Add(took), id, took)
	}
	p.RecordEnd(at.Add(took), id, 500, ok)
}

// runTraffic records an attempt at every endpoint in each round, with the time and the
// success that outcome returns. Rounds start 100 ms apart.
func runTraffic(p *Predictive, rounds int, outcome func(id qf.EndpointID) (time.Duration, bool)) time.Time {
	at := p.now
	for range rounds {
		at = at.Add(100 * time.Millisecond)
		for _, e := range p.listed {
			took, ok := outcome(e.ID)
			attemptAt(p, at, e.ID, took, ok)
		}
	}
	return at
}

// healthyTime is the time to first token of a healthy endpoint.
const healthyTime = 70 * time.Millisecond

// TestEjection guards against failing and slow endpoints that stay in use or are ejected
// with the wrong cause, and against ejecting healthy ones or most of a pool.
func TestEjection(t *testing.T) {
	isFirst := func(id qf.EndpointID) bool { return id == "e0000" }
	tests := []struct {
		name    string
		size    int
		arrange func(p *Predictive)
		outcome func(id qf.EndpointID) (time.Duration, bool)
		// ejected is the number of endpoints that are ejected afterwards.
		ejected int
		cause   qf.HealthCause
	}{
		{"all healthy", 6, nil, func(qf.EndpointID) (time.Duration, bool) { return healthyTime, true }, 0, ""},
		{"one fails", 6, nil, func(id qf.EndpointID) (time.Duration, bool) { return healthyTime, !isFirst(id) }, 1, qf.CauseFailing},
		{"one is down", 6, func(p *Predictive) {
			p.RecordPeerLoad(qf.InFlightLoad{Node: "n2", Endpoint: "e0000", Sequence: 1, Failing: true})
		}, func(id qf.EndpointID) (time.Duration, bool) { return healthyTime, !isFirst(id) }, 1, qf.CauseDown},
		{"one is unreachable from here", 6, func(p *Predictive) {
			p.RecordPeerLoad(qf.InFlightLoad{Node: "n2", Endpoint: "e0000", Sequence: 1, Answered: true})
		}, func(id qf.EndpointID) (time.Duration, bool) { return healthyTime, !isFirst(id) }, 1, qf.CauseUnreachable},
		{"one is slow", 6, nil, func(id qf.EndpointID) (time.Duration, bool) {
			if isFirst(id) {
				return 20 * healthyTime, true
			}
			return healthyTime, true
		}, 1, qf.CauseSlow},
		{"all are slow", 6, nil, func(qf.EndpointID) (time.Duration, bool) { return 20 * healthyTime, true }, 0, ""},
		{"all fail", 6, nil, func(qf.EndpointID) (time.Duration, bool) { return healthyTime, false }, 2, qf.CauseFailing},
		{"the only one fails", 1, nil, func(qf.EndpointID) (time.Duration, bool) { return healthyTime, false }, 0, ""},
		{"two peers report failures", 6, func(p *Predictive) {
			p.RecordPeerLoad(qf.InFlightLoad{Node: "n2", Endpoint: "e0000", Sequence: 1, Failing: true})
			p.RecordPeerLoad(qf.InFlightLoad{Node: "n3", Endpoint: "e0000", Sequence: 1, Failing: true})
		}, func(qf.EndpointID) (time.Duration, bool) { return healthyTime, true }, 1, qf.CauseDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newRouter(1, sameZone(endpointsOf(tt.size)))
			if tt.arrange != nil {
				tt.arrange(p)
			}
			runTraffic(p, 8, tt.outcome)
			ejected := 0
			for _, e := range p.endpoints {
				if e.health.state == qf.HealthEjected {
					ejected++
				}
			}
			if ejected != tt.ejected {
				t.Errorf("%d endpoints are ejected, want %d", ejected, tt.ejected)
			}
			changes := p.TakeHealthChanges()
			if tt.cause != "" && (len(changes) == 0 || changes[0].Cause != tt.cause) {
				t.Errorf("changes %+v, want cause %q", changes, tt.cause)
			}
		})
	}
}

// TestEjectedEndpointIsRestoredByTrials guards against requests to an ejected endpoint,
// against more than one trial at once, and against endpoints that stay ejected for good.
func TestEjectedEndpointIsRestoredByTrials(t *testing.T) {
	p := newRouter(1, sameZone(endpointsOf(3)))
	fails := func(id qf.EndpointID) (time.Duration, bool) { return healthyTime, id != "e0000" }
	at := runTraffic(p, 5, fails)
	if got := countChoices(t, p, queryAt(at, 500), 100)["e0000"]; got != 0 {
		t.Fatalf("ejected endpoint was chosen for %d requests", got)
	}
	at = at.Add(firstEjection + sweepInterval)
	p.tick(at)
	if p.endpoints["e0000"].health.state != qf.HealthHalfOpen {
		t.Fatal("the ejection did not end")
	}
	p.RecordStart(at, "e0000", 500)
	if got := countChoices(t, p, queryAt(at, 500), 100)["e0000"]; got != 0 {
		t.Errorf("endpoint was chosen for %d requests beside the trial in progress", got)
	}
	p.RecordFirstToken(at.Add(healthyTime), "e0000", healthyTime)
	p.RecordEnd(at.Add(healthyTime), "e0000", 500, true)
	attemptAt(p, at.Add(time.Second), "e0000", healthyTime, true)
	if state := p.endpoints["e0000"].health.state; state != qf.HealthGood {
		t.Errorf("after successful trials the endpoint is %s", state)
	}
}

// TestSlowTokensEject guards against keeping an endpoint in use whose first tokens are in
// time but whose later tokens are slow.
func TestSlowTokensEject(t *testing.T) {
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
