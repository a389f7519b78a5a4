package qfreach

import (
	"math/rand/v2"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

var begin = time.Unix(1_780_000_000, 0)

func endpoints(zones ...qf.AvailabilityZone) []qf.Endpoint {
	list := make([]qf.Endpoint, len(zones))
	for i, zone := range zones {
		list[i] = qf.Endpoint{ID: qf.EndpointID(rune('a' + i)), Entry: "chat", AvailabilityZone: zone}
	}
	return list
}

// TestTracker fails if one dead endpoint makes a node believe that it is cut off, if a cut isn't found,
// or if a node returns to links that come and go.
func TestTracker(t *testing.T) {
	type event struct {
		at time.Duration
		// connected is the number of endpoints that accept connections from now on.
		connected int
		isMissed  bool
	}
	second := time.Second
	tests := []struct {
		name   string
		events []event
		// wantAt is the state at some times.
		wantAt map[time.Duration]State
	}{
		{"nothing happens", nil, map[time.Duration]State{5 * second: Reachable}},
		{"one endpoint is dead", []event{{second, 3, true}, {2 * second, 3, true}}, map[time.Duration]State{5 * second: Reachable}},
		{"cut off", []event{{second, 0, true}}, map[time.Duration]State{1300 * time.Millisecond: CutOff, 9 * second: CutOff}},
		{"a cut that nobody notices", []event{{second, 0, false}}, map[time.Duration]State{5 * second: Reachable}},
		{"back", []event{{second, 0, true}, {4 * second, 4, false}}, map[time.Duration]State{3 * second: CutOff, 5500 * time.Millisecond: Reachable}},
		{"back for a moment", []event{{second, 0, true}, {4 * second, 4, false}, {4400 * time.Millisecond, 0, false}}, map[time.Duration]State{5500 * time.Millisecond: CutOff}},
		{"comes and goes", []event{
			{second, 0, true}, {2 * second, 4, false}, {4 * second, 0, true}, {5 * second, 4, false}, {6500 * time.Millisecond, 0, true},
		}, map[time.Duration]State{3500 * time.Millisecond: Reachable, 6200 * time.Millisecond: CutOff}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker()
			tracker.SetEndpoints(endpoints("north", "south", "east", "north", "south"))
			connected := maxChecked
			for at := time.Duration(0); at <= 10*second; at += 100 * time.Millisecond {
				now := begin.Add(at)
				for _, e := range tt.events {
					if e.at != at {
						continue
					}
					connected = e.connected
					if e.isMissed {
						tracker.RecordMiss("chat")
					}
				}
				for _, check := range tracker.DueChecks(now) {
					tracker.RecordCheck(now, &check, connected)
				}
				want, ok := tt.wantAt[at]
				if ok && tracker.IsCutOff("chat") != (want == CutOff) {
					t.Errorf("at %v the node is cut off: %v, want %v", at, tracker.IsCutOff("chat"), want)
				}
			}
		})
	}
}

// TestCheckedEndpoints fails if a check looks at one zone only, or always at the same endpoints.
func TestCheckedEndpoints(t *testing.T) {
	tracker := NewTracker()
	tracker.SetEndpoints(endpoints("north", "north", "north", "north", "north", "north", "south"))
	checked := map[qf.EndpointID]bool{}
	for i := range 8 {
		now := begin.Add(time.Duration(i) * checkInterval)
		tracker.RecordMiss("chat")
		for _, check := range tracker.DueChecks(now) {
			zones := map[qf.AvailabilityZone]bool{}
			for _, e := range check.Endpoints {
				zones[e.AvailabilityZone], checked[e.ID] = true, true
			}
			if len(zones) != 2 || len(check.Endpoints) != maxChecked {
				t.Errorf("check %d looks at %d endpoints in %d zones", i, len(check.Endpoints), len(zones))
			}
			tracker.RecordCheck(now, &check, maxChecked)
		}
	}
	if len(checked) != 7 {
		t.Errorf("%d of 7 endpoints were checked", len(checked))
	}
}

// TestPeersShareTheRequests fails if the requests of nodes that are cut off go to a few of the others only,
// although these have more to do.
func TestPeersShareTheRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	self := qf.Node{ID: "self", AvailabilityZone: "north", Region: "north"}
	var candidates []Candidate
	for i, zone := range []qf.AvailabilityZone{"north", "south", "south", "east", "east"} {
		candidates = append(candidates, Candidate{Node: qf.Node{ID: qf.NodeID(rune('a' + i)), AvailabilityZone: zone, Region: qf.Region(zone)}})
	}
	most := 0
	for range 200 {
		node, _ := ChoosePeer(random, &self, candidates)
		for i := range candidates {
			if candidates[i].Node.ID == node.ID {
				candidates[i].InProgress++
				most = max(most, candidates[i].InProgress)
			}
		}
	}
	if most > 70 {
		t.Errorf("one of five nodes has %d of 200 requests in progress", most)
	}
	if _, ok := ChoosePeer(random, &self, nil); ok {
		t.Error("a node was chosen out of none")
	}
	if MayAcceptFromPeers(minFromPeers+fromPeersFactor*10, 10) || !MayAcceptFromPeers(minFromPeers-1, 0) {
		t.Error("the requests from peers aren't bounded as they should be")
	}
}
