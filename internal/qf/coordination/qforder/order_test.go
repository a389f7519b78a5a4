package qforder

import (
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var (
	start  = time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC)
	timing = Timing{MaxLeaseValidity: 6 * time.Second, MaxOrderDelay: 2 * time.Second, ResendAfter: 3 * time.Second}
)

func desiredState(checks bool, version qf.Version) DesiredState {
	return DesiredState{
		Endpoint: qf.Endpoint{ID: "e", ChecksFencing: checks},
		Order:    qf.Order{Entry: "assistant", Version: version, Role: qf.EngineMixed},
	}
}

func reportOf(version qf.Version) map[qf.EndpointID]qf.LoadReport {
	return map[qf.EndpointID]qf.LoadReport{"e": {Entry: "assistant", Version: version, Role: qf.EngineMixed}}
}

// TestPlanSendsOrders checks when an order is sent, delayed or sent again.
func TestPlanSendsOrders(t *testing.T) {
	tests := []struct {
		name    string
		checks  bool
		reports map[qf.EndpointID]qf.LoadReport
		// at holds the times of the plans after the tenure began.
		at   []time.Duration
		want int
	}{
		{"the state is reached", true, reportOf("v2"), []time.Duration{0, time.Minute}, 0},
		{"no report", true, nil, []time.Duration{0, time.Minute}, 0},
		{"an endpoint that checks fencing gets its order at once", true, reportOf("v1"), []time.Duration{0}, 1},
		{"an endpoint that does not gets none while old orders may arrive", false, reportOf("v1"), []time.Duration{0, 7 * time.Second}, 0},
		{"an endpoint that does not gets its order afterwards", false, reportOf("v1"), []time.Duration{8 * time.Second}, 1},
		{"an order has time to show", true, reportOf("v1"), []time.Duration{0, 2 * time.Second}, 1},
		{"an order that does not show is sent again", true, reportOf("v1"), []time.Duration{0, 3 * time.Second}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlanner(timing, 4, start)
			got := 0
			for _, at := range tt.at {
				for _, action := range p.Plan(start.Add(at), []DesiredState{desiredState(tt.checks, "v2")}, tt.reports) {
					got++
					if action.Order.Fencing != 4 || action.Order.Version != "v2" {
						t.Errorf("the order is %+v", action.Order)
					}
				}
			}
			if got != tt.want {
				t.Errorf("%d orders, want %d", got, tt.want)
			}
		})
	}
}

const (
	tick        = 100 * time.Millisecond
	reportEvery = 500 * time.Millisecond
)

// flight is an order that was sent but hasn't arrived.
type flight struct {
	arrives time.Time
	order   qf.Order
}

// endpoint applies orders as they arrive, and refuses old fencing numbers if it
// checks them.
type endpoint struct {
	checks  bool
	fencing qf.FencingNumber
	state   qf.Version
	// outOfOrder counts accepted orders with a lower fencing number than an earlier one.
	outOfOrder int
}

func (e *endpoint) apply(o qf.Order) {
	if o.Fencing < e.fencing {
		if e.checks {
			return
		}
		e.outOfOrder++
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.state = o.Version
}

// simulateHandover simulates a handover: the new holder orders v2 while orders of the former
// holder for v1 still arrive, one of them after a long pause. It returns the longest time
// for which an order that arrived after the first v2 kept the endpoint at v1.
func simulateHandover(seed uint64, checks bool) (longest time.Duration, outOfOrder int) {
	random := rand.New(rand.NewPCG(seed, 1))
	e := &endpoint{checks: checks, fencing: 3, state: "v1"}
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	stale := qf.Order{Fencing: 3, Entry: "assistant", Version: "v1", Role: qf.EngineMixed}
	inFlight := []flight{
		{start.Add(between(0, 8*time.Second)), stale},
		{start.Add(between(10*time.Second, 50*time.Second)), stale},
	}
	p := NewPlanner(timing, 4, start)
	reports := reportOf("v1")
	var reached bool
	var staleSince time.Time
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(tick) {
		kept := inFlight[:0]
		for _, f := range inFlight {
			if now.Before(f.arrives) {
				kept = append(kept, f)
				continue
			}
			e.apply(f.order)
		}
		inFlight = kept
		if now.Sub(start)%reportEvery == 0 {
			reports = reportOf(e.state)
		}
		for _, action := range p.Plan(now, []DesiredState{desiredState(checks, "v2")}, reports) {
			if random.IntN(10) > 0 { // One order in ten is lost.
				inFlight = append(inFlight, flight{now.Add(between(tick, timing.MaxOrderDelay)), action.Order})
			}
		}
		switch {
		case e.state == "v2":
			reached, staleSince = true, time.Time{}
		case reached && staleSince.IsZero():
			staleSince = now
		case reached:
			longest = max(longest, now.Sub(staleSince))
		}
	}
	return longest, e.outOfOrder
}

const runs = 10000

// TestStaleOrdersAreCorrected checks that endpoints which check fencing numbers accept no
// order out of order, and that a stale order at the others is corrected in time. Each lost
// order adds the time until it is sent again.
func TestStaleOrdersAreCorrected(t *testing.T) {
	var longest time.Duration
	late := 0
	for seed := range uint64(runs) {
		if stale, outOfOrder := simulateHandover(seed, true); outOfOrder != 0 || stale != 0 {
			t.Fatalf("seed %d: an endpoint that checks fencing applied %d orders out of order", seed, outOfOrder)
		}
		stale, _ := simulateHandover(seed, false)
		longest = max(longest, stale)
		if stale > timing.MaxStaleDuration(reportEvery) {
			late++
		}
		if bound := timing.MaxStaleDuration(reportEvery) + 4*timing.ResendAfter; stale > bound {
			t.Errorf("seed %d: a stale order lasted %s, more than %s although four orders may be lost", seed, stale, bound)
		}
	}
	t.Logf("%d runs: longest %s, %d longer than %s because orders were lost", runs, longest, late, timing.MaxStaleDuration(reportEvery))
	if longest == 0 {
		t.Error("no stale order took effect: the test shows nothing")
	}
}
