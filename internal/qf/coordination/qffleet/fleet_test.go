package qffleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalfront/internal/qf"
)

var start = time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC)

func offersOf(prices map[string]float64) []Offer {
	var offers []Offer
	for _, zone := range []string{"a", "b", "c"} {
		if price, ok := prices[zone]; ok {
			offers = append(offers, Offer{AvailabilityZone: qf.AvailabilityZone(zone), Class: qf.ClassReclaimable, PerHour: price})
		}
		if price, ok := prices[zone+"!"]; ok {
			offers = append(offers, Offer{AvailabilityZone: qf.AvailabilityZone(zone), Class: qf.ClassOnDemand, PerHour: price})
		}
	}
	return offers
}

func text(counts []OfferCount) string {
	s := ""
	for _, c := range counts {
		s += fmt.Sprintf("%s%s:%d ", c.Offer.AvailabilityZone, c.Offer.Class[:1], c.VMs)
	}
	return s
}

// TestSpread catches plans that aren't the cheapest, or break a bound of the need.
func TestSpread(t *testing.T) {
	tests := []struct {
		name   string
		need   Need
		prices map[string]float64
		want   string
		wantOK bool
	}{
		{"even prices spread over all zones", Need{Replicas: 4}, map[string]float64{"a": 1, "b": 1, "c": 1}, "aR:2 bR:2 cR:2 ", true},
		{"an expensive zone is left out", Need{Replicas: 4}, map[string]float64{"a": 1, "b": 1, "c": 9}, "aR:4 bR:4 ", true},
		{"one zone can't survive its loss", Need{Replicas: 3}, map[string]float64{"a": 1}, "aR:3 ", false},
		{"nothing on offer", Need{Replicas: 3}, nil, "", false},
		{"a price above the bound isn't bought", Need{Replicas: 2, MaxPerHour: 5}, map[string]float64{"a": 1, "b": 1, "c": 6}, "aR:2 bR:2 ", true},
		{"some VMs are on demand", Need{Replicas: 2, MinOnDemand: 1}, map[string]float64{"a": 1, "b": 1, "a!": 5, "b!": 4}, "aR:2 bR:1 bO:1 ", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			counts, ok := Spread(tt.need, offersOf(tt.prices))
			if got := text(counts); got != tt.want || ok != tt.wantOK {
				t.Errorf("got %q %v, want %q %v", got, ok, tt.want, tt.wantOK)
			}
		})
	}
}

// TestSpreadSurvivesAnyZone catches plans that leave too few replicas after the loss
// of one zone, and plans that cost more than an even spread.
func TestSpreadSurvivesAnyZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 30).Draw(t, "replicas")
		prices := map[string]float64{}
		zones := rapid.IntRange(2, 3).Draw(t, "zones")
		sum := 0.0
		for _, zone := range []string{"a", "b", "c"}[:zones] {
			prices[zone] = rapid.Float64Range(0.1, 9).Draw(t, zone)
			sum += prices[zone]
		}
		counts, ok := Spread(Need{Replicas: replicas}, offersOf(prices))
		if !ok {
			t.Fatal("the need can't be met")
		}
		total, cost := 0, 0.0
		for _, c := range counts {
			total += c.VMs
			cost += float64(c.VMs) * c.Offer.PerHour
		}
		for _, c := range counts {
			if total-c.VMs < replicas {
				t.Fatalf("%s leaves %d of %d after the loss of %s", text(counts), total-c.VMs, replicas, c.Offer.AvailabilityZone)
			}
		}
		each := (replicas + zones - 2) / (zones - 1)
		if even := float64(each) * sum; cost > even+1e-9 {
			t.Fatalf("%s costs %.2f, an even spread %.2f", text(counts), cost, even)
		}
	})
}

func withView(now time.Time, vms []qf.VM, replicas int) *View {
	v := &View{Now: now, VMs: vms, Needs: []EntryNeed{{
		Entry: "assistant", Version: "v1", Role: qf.RoleModelEngine,
		Need: Need{Replicas: replicas, StartTakes: time.Minute},
	}}}
	for _, zone := range []qf.AvailabilityZone{"a", "b", "c"} {
		v.Prices = append(v.Prices, qf.Price{AvailabilityZone: zone, Class: qf.ClassReclaimable, Role: qf.RoleModelEngine, PerHour: 100})
	}
	return v
}

func withVMs(counts ...int) []qf.VM {
	var vms []qf.VM
	for z, n := range counts {
		for i := range n {
			vms = append(vms, qf.VM{
				ID: qf.VMID(fmt.Sprintf("%c%d", 'a'+z, i)), Incarnation: 1, Entry: "assistant", Version: "v1",
				AvailabilityZone: qf.AvailabilityZone(rune('a' + z)), Class: qf.ClassReclaimable, State: qf.VMLive,
			})
		}
	}
	return vms
}

func kinds(actions []Action) (starts, drains int) {
	for _, a := range actions {
		if a.Kind == ActionStart {
			starts++
		} else {
			drains++
		}
	}
	return starts, drains
}

// TestPlannerActions catches fleets that are too small, and VMs that are drained too
// early or replaced without need.
func TestPlannerActions(t *testing.T) {
	tests := []struct {
		name       string
		vms        []qf.VM
		replicas   int
		after      time.Duration
		wantStarts int
		wantDrains int
	}{
		{"starts VMs until a zone may be lost", withVMs(2, 0, 0), 4, 0, 4, 0},
		{"leaves a fleet that fits", withVMs(2, 2, 2), 4, time.Hour, 0, 0},
		{"doesn't replace VMs for the price alone", withVMs(4, 4, 0), 4, 0, 0, 0},
		{"waits before it drains VMs", withVMs(4, 4, 4), 4, time.Minute, 0, 0},
		{"drains a surplus that lasts", withVMs(4, 4, 4), 4, 10 * time.Minute, 0, 6},
		{"bounds the starts under way", nil, 40, 0, 8, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlanner(DefaultSettings(), 1)
			actions := p.Plan(withView(start, tt.vms, tt.replicas))
			if tt.after > 0 {
				actions = p.Plan(withView(start.Add(tt.after), tt.vms, tt.replicas))
			}
			starts, drains := kinds(actions)
			if starts != tt.wantStarts || drains != tt.wantDrains {
				t.Errorf("got %d starts and %d drains, want %d and %d", starts, drains, tt.wantStarts, tt.wantDrains)
			}
		})
	}
}

// TestRefusedStartsGoElsewhere catches starts in a zone that has just refused some.
func TestRefusedStartsGoElsewhere(t *testing.T) {
	p := NewPlanner(DefaultSettings(), 1)
	refused := qf.StartVMRequest{AvailabilityZone: "a", Class: qf.ClassReclaimable}
	p.RecordStartResult(start, refused, qf.NotDone)
	for _, action := range p.Plan(withView(start, nil, 4)) {
		if action.Start.AvailabilityZone == "a" {
			t.Fatal("a start goes to the zone that refused")
		}
	}
	p.RecordStartResult(start, refused, qf.NotDone)
	later := start.Add(45 * time.Second)
	for _, action := range p.Plan(withView(later, nil, 4)) {
		if action.Start.AvailabilityZone == "a" {
			t.Fatal("the second refusal must last longer")
		}
	}
}

// TestUnknownStartIsRepeatedUnderItsToken catches VMs that are bought twice, by a repeat
// or by a successor.
func TestUnknownStartIsRepeatedUnderItsToken(t *testing.T) {
	p := NewPlanner(DefaultSettings(), 7)
	first := p.Plan(withView(start, nil, 1))[0].Start
	p.RecordStartResult(start, first, qf.Unknown)
	again := p.Plan(withView(start, withVMs(1, 1, 0), 1))
	if len(again) != 1 || again[0].Start.Token != first.Token {
		t.Fatalf("got %v, want the start with token %s", again, first.Token)
	}
	successor := NewPlanner(DefaultSettings(), 8)
	if token := successor.Plan(withView(start, nil, 1))[0].Start.Token; token == first.Token {
		t.Error("a successor must not reuse a token")
	}
	if actions := successor.Plan(withView(start, withVMs(1, 1, 0), 1)); len(actions) != 0 {
		t.Errorf("a successor must count the VMs that were bought before: %v", actions)
	}
}

// TestScheduleRespectsTheRate catches loads that overlap or are in the wrong order.
func TestScheduleRespectsTheRate(t *testing.T) {
	loads := []WeightLoad{{VM: "slow", Bytes: 100, Urgency: 1}, {VM: "urgent", Bytes: 100, Urgency: 5}, {VM: "small", Bytes: 10, Urgency: 1}}
	got := ""
	end := start
	for _, s := range ScheduleLoads(start, loads, 10) {
		if s.Begin.Before(end) {
			t.Errorf("%s begins before the previous load ends", s.Load.VM)
		}
		end = s.End
		got += string(s.Load.VM) + " "
	}
	if want := "small urgent slow "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if took := end.Sub(start); took != 21*time.Second {
		t.Errorf("210 bytes at 10 a second took %s", took)
	}
}
