package qfmove

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalfront/internal/qf"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// network moves 10,000 tokens a second and takes 10 ms for each export.
var network = Network{BytesPerToken: 100, PerExport: 10 * time.Millisecond, Margin: time.Second}

func endpoint(id, zone string) qf.Endpoint {
	return qf.Endpoint{
		ID: qf.EndpointID(id), AvailabilityZone: qf.AvailabilityZone(zone), Region: "r", Entry: "assistant", Version: "v1",
	}
}

func stream(id string, computed int) Stream {
	return Stream{
		Request: qf.RequestID(id), Endpoint: endpoint("leaving", "a"), ReclaimAt: start.Add(3 * time.Second),
		BytesPerSecond: 1000000, Computed: computed, Remaining: 1000, TokenInterval: 29 * time.Millisecond,
	}
}

func withRemaining(s Stream, tokens int) Stream {
	s.Remaining = tokens
	return s
}

func withBandwidth(s Stream, bytesPerSecond uint64) Stream {
	s.BytesPerSecond = bytesPerSecond
	return s
}

func withReclaimAt(s Stream, in time.Duration) Stream {
	s.ReclaimAt = start.Add(in)
	return s
}

func withVersion(e qf.Endpoint, version qf.Version) qf.Endpoint {
	e.Version = version
	return e
}

func withRegion(e qf.Endpoint, region qf.Region) qf.Endpoint {
	e.Region = region
	return e
}

// TestPlanChoosesMethod checks the order of moves, their method and their destination.
func TestPlanChoosesMethod(t *testing.T) {
	b, c := Destination{Endpoint: endpoint("b1", "b")}, Destination{Endpoint: endpoint("c1", "c")}
	cases := []struct {
		name         string
		streams      []Stream
		destinations []Destination
		network      Network
		want         string
	}{
		{
			name: "ends before the reclaim", network: network, destinations: []Destination{b},
			streams: []Stream{withRemaining(stream("r", 100), 60)}, want: "r Stay ;",
		},
		{
			name: "most tokens per second of transfer first, the rest resume", network: network, destinations: []Destination{b, c},
			streams: []Stream{stream("small", 3000), stream("large", 12000), stream("larger", 13000)},
			want:    "large Resume c1;larger Export b1;small Export b1;",
		},
		{
			name: "no time to export", network: network, destinations: []Destination{b},
			streams: []Stream{withReclaimAt(stream("r", 100), time.Second)}, want: "r Resume b1;",
		},
		{
			name: "no bandwidth is known", network: network, destinations: []Destination{b},
			streams: []Stream{withBandwidth(stream("r", 100), 0)}, want: "r Resume b1;",
		},
		{
			name: "another version is the router's choice", network: network,
			destinations: []Destination{{Endpoint: withVersion(endpoint("b1", "b"), "v2")}},
			streams:      []Stream{stream("r", 100)}, want: "r Resume ;",
		},
		{name: "no destination", network: network, streams: []Stream{stream("r", 100)}, want: "r Resume ;"},
		{
			name: "outside the departing zone, even if it is busier", network: network,
			destinations: []Destination{{Endpoint: endpoint("a9", "a")}, {Endpoint: endpoint("b1", "b"), Running: 9}},
			streams:      []Stream{stream("r", 100)}, want: "r Export b1;",
		},
		{
			name: "same region before another", network: network,
			destinations: []Destination{{Endpoint: withRegion(endpoint("a9", "x"), "far")}, {Endpoint: endpoint("b1", "b"), Running: 3}},
			streams:      []Stream{stream("r", 100)}, want: "r Export b1;",
		},
	}
	for _, c := range cases {
		got := ""
		for _, m := range Plan(start, c.streams, c.destinations, c.network) {
			got += fmt.Sprintf("%s %s %s;", m.Request, m.Method, m.To.ID)
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestPlanStaysWithinBounds checks for generated streams that each gets exactly one move,
// that consecutive exports end in time, and that streams are spread over destinations.
func TestPlanStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var streams []Stream
		for i := range rapid.IntRange(0, 60).Draw(t, "streams") {
			s := stream(fmt.Sprintf("r%02d", i), rapid.IntRange(1, 4000).Draw(t, "computed"))
			s.Endpoint = endpoint(fmt.Sprintf("leaving%d", i%3), "a")
			streams = append(streams, withRemaining(s, rapid.IntRange(0, 500).Draw(t, "remaining")))
		}
		var destinations []Destination
		for i := range rapid.IntRange(1, 9).Draw(t, "destinations") {
			destinations = append(destinations, Destination{Endpoint: endpoint(fmt.Sprintf("d%d", i), "b")})
		}
		moves := Plan(start, streams, destinations, network)
		computed := map[qf.RequestID]Stream{}
		for _, s := range streams {
			computed[s.Request] = s
		}
		load, exportTime, moved := map[qf.EndpointID]int{}, map[qf.EndpointID]time.Duration{}, 0
		for _, m := range moves {
			s, ok := computed[m.Request]
			if !ok {
				t.Fatalf("%s is unknown or has two moves", m.Request)
			}
			delete(computed, m.Request)
			if m.Method == MethodExport {
				exportTime[s.Endpoint.ID] += network.transferTime(&s)
			}
			if m.Method != MethodStay {
				load[m.To.ID]++
				moved++
			}
		}
		if len(computed) > 0 {
			t.Fatalf("%d streams have no move", len(computed))
		}
		for id, took := range exportTime {
			if took > 2*time.Second {
				t.Fatalf("exports of %s take %s", id, took)
			}
		}
		for id, n := range load {
			if n > moved/len(destinations)+1 {
				t.Fatalf("%s gets %d of %d streams", id, n, moved)
			}
		}
	})
}
