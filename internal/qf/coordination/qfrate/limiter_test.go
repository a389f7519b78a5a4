package qfrate

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfshare"
)

// fleetModel is a fleet of limiters that send to one endpoint which states a rate, with the exchanges
// of a small fleet or of one with relays.
type fleetModel struct {
	random *rand.Rand
	names  []qf.NodeID
	nodes  []*Limiter
	sends  []time.Time
	// demand is the number of requests a second at each node.
	demand float64
	// knownFor is the longest time until a node knows of the rate.
	knownFor time.Duration
}

var (
	modelBegin    = time.Unix(1_780_000_000, 0)
	modelEndpoint = qf.Endpoint{ID: "engine", Incarnation: 1, Entry: "chat"}
)

func newFleetModel(nodes int, demand float64, seed uint64) *fleetModel {
	m := &fleetModel{random: rand.New(rand.NewPCG(seed, 31)), demand: demand, knownFor: time.Second}
	for i := range nodes {
		m.names = append(m.names, qf.NodeID(fmt.Sprintf("node-%03d", i)))
	}
	for _, name := range m.names {
		shares := qfshare.NewTable(name)
		shares.SetMembers(modelBegin, m.names)
		l := NewLimiter(shares)
		m.nodes = append(m.nodes, l)
	}
	return m
}

// state makes a node know the rate.
func (m *fleetModel) state(now time.Time, node int, rate float64) {
	m.nodes[node].RecordAnswer(now, now, &modelEndpoint, qf.StatedNumber{Kind: qf.StatedNumeric, Value: rate})
}

// play lets the nodes send what their demand asks for and their turns allow.
func (m *fleetModel) play(rate float64, length time.Duration) {
	const step = 20 * time.Millisecond
	knownAt := make([]time.Time, len(m.nodes))
	for i := range knownAt {
		knownAt[i] = modelBegin.Add(time.Duration(m.random.Float64() * float64(m.knownFor)))
	}
	for now := modelBegin; now.Before(modelBegin.Add(length)); now = now.Add(step) {
		for i, l := range m.nodes {
			if !knownAt[i].IsZero() && !now.Before(knownAt[i]) {
				m.state(now, i, rate)
				knownAt[i] = time.Time{}
			}
			for range m.arrivals(step) {
				if knownAt[i].IsZero() && l.MaySend(now, modelEndpoint.ID) {
					l.RecordSend(now, modelEndpoint.ID)
					m.sends = append(m.sends, now)
				}
			}
		}
	}
}

// arrivals draws the number of requests at a node in a step.
func (m *fleetModel) arrivals(step time.Duration) int {
	count := 0
	for left := m.demand * step.Seconds(); left > 0; left-- {
		if m.random.Float64() < left {
			count++
		}
	}
	return count
}

// worst returns the highest number of sends in a window from a time on.
func (m *fleetModel) worst(from time.Time, window time.Duration) int {
	worst := 0
	for i, at := range m.sends {
		if at.Before(from) {
			continue
		}
		end, _ := slices.BinarySearchFunc(m.sends, at.Add(window), time.Time.Compare)
		worst = max(worst, end-i)
	}
	return worst
}

// TestTurnsHoldTheRate fails if all nodes together send more than an endpoint takes, or use less than
// nine tenths of it although there are callers for it at each node.
func TestTurnsHoldTheRate(t *testing.T) {
	const window, contact, length = 4 * time.Second, 4 * time.Second, 60 * time.Second
	tests := []struct {
		nodes        int
		rate, demand float64
	}{
		{1, 0.2, 5},
		{1, 1, 5},
		{1, 50, 100},
		{1, 400, 800},
		{6, 0.2, 7},
		{6, 1, 7},
		{6, 1.4, 7},
		{6, 2.5, 7},
		{6, 50, 20},
		{6, 400, 120},
		{7, 1, 7},
		{7, 2.5, 7},
		{7, 50, 20},
		{66, 0.2, 7},
		{66, 1, 7},
		{66, 1.4, 7},
		{66, 2.5, 7},
		{66, 50, 7},
		{66, 400, 14},
		{640, 0.2, 8},
		{640, 1, 8},
		{640, 2.5, 8},
		{640, 50, 8},
		{640, 400, 8},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d nodes, %v a second", tt.nodes, tt.rate), func(t *testing.T) {
			t.Parallel()
			m := newFleetModel(tt.nodes, tt.demand, 1)
			m.play(tt.rate, length)
			allowed := 1.5*tt.rate*window.Seconds() + 5
			if worst := m.worst(modelBegin.Add(contact), window); float64(worst) > allowed {
				t.Errorf("%d requests in %v, allowed %.1f", worst, window, allowed)
			}
			from, _ := slices.BinarySearchFunc(m.sends, modelBegin.Add(contact), time.Time.Compare)
			if used := float64(len(m.sends)-from) / (tt.rate * (length - contact).Seconds()); used < 0.9 {
				t.Errorf("%.2f of the rate is used", used)
			}
		})
	}
}

// TestTurnsHoldWhenMembersDiffer fails if nodes that don't agree on the members of the fleet send more
// together than is allowed: some miss a member, some count one that is gone, one is cut off from most.
func TestTurnsHoldWhenMembersDiffer(t *testing.T) {
	const window, contact = 4 * time.Second, 4 * time.Second
	tests := []struct {
		name string
		set  func(m *fleetModel)
	}{
		{"half of the nodes miss one", func(m *fleetModel) {
			for _, l := range m.nodes[:len(m.nodes)/2] {
				l.shares.SetMembers(modelBegin, slices.DeleteFunc(slices.Clone(m.names), func(id qf.NodeID) bool { return id == m.names[len(m.names)-1] }))
			}
		}},
		{"half of the nodes count one that is gone", func(m *fleetModel) {
			for _, l := range m.nodes[:len(m.nodes)/2] {
				l.shares.SetMembers(modelBegin, append(slices.Clone(m.names), "node-999"))
			}
		}},
		{"one node is alone", func(m *fleetModel) { m.nodes[0].shares.SetMembers(modelBegin, m.names[:1]) }},
		{"two halves", func(m *fleetModel) {
			half := len(m.names) / 2
			for i, l := range m.nodes {
				if i < half {
					l.shares.SetMembers(modelBegin, m.names[:half])
				} else {
					l.shares.SetMembers(modelBegin, m.names[half:])
				}
			}
		}},
	}
	for _, tt := range tests {
		for _, nodes := range []int{6, 66} {
			for _, rate := range []float64{1, 2.5, 50} {
				t.Run(fmt.Sprintf("%s, %d nodes, %v a second", tt.name, nodes, rate), func(t *testing.T) {
					t.Parallel()
					m := newFleetModel(nodes, 10, 2)
					tt.set(m)
					m.play(rate, 40*time.Second)
					allowed := 1.5*rate*window.Seconds() + 5
					if worst := m.worst(modelBegin.Add(contact), window); float64(worst) > allowed {
						t.Errorf("%d requests in %v, allowed %.1f", worst, window, allowed)
					}
				})
			}
		}
	}
}

// TestNoTurnsWithoutMembers fails if a node that doesn't know the other nodes yet takes all of the
// rate for itself.
func TestNoTurnsWithoutMembers(t *testing.T) {
	l := NewLimiter(qfshare.NewTable("node-1"))
	l.RecordAnswer(modelBegin, modelBegin, &modelEndpoint, qf.StatedNumber{Kind: qf.StatedNumeric, Value: 50})
	for i := range 100 {
		if l.MaySend(modelBegin.Add(time.Duration(i)*100*time.Millisecond), modelEndpoint.ID) {
			t.Fatal("the node may send")
		}
	}
}

// TestTurnsFollowDemand fails if the turns go to nodes without callers while others have many.
func TestTurnsFollowDemand(t *testing.T) {
	m := newFleetModel(6, 0, 3)
	for i, l := range m.nodes {
		m.state(modelBegin, i, 2)
		for j, name := range m.names {
			demand := 0.0
			if j == 0 {
				demand = 20
			}
			l.shares.MergeDemands(modelBegin, name, []qf.EntryDemand{{Entry: "chat", PerSecond: demand}})
		}
	}
	sent := 0
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		now := modelBegin.Add(at)
		if m.nodes[0].MaySend(now, modelEndpoint.ID) {
			m.nodes[0].RecordSend(now, modelEndpoint.ID)
			sent++
		}
	}
	if sent < 9 {
		t.Errorf("the only node with callers sent %d requests in 5 s, the endpoint takes 10", sent)
	}
}

// TestRateStatements fails if an answer changes the known rate although it may be older, or doesn't
// although it must.
func TestRateStatements(t *testing.T) {
	numeric := func(value float64) qf.StatedNumber {
		return qf.StatedNumber{Kind: qf.StatedNumeric, Value: value}
	}
	none, unreadable := qf.StatedNumber{Kind: qf.StatedNone}, qf.StatedNumber{Kind: qf.StatedUnreadable}
	at := func(seconds float64) time.Time {
		return modelBegin.Add(time.Duration(seconds * float64(time.Second)))
	}
	type statement struct {
		now, sentAt float64
		stated      qf.StatedNumber
	}
	tests := []struct {
		name       string
		statements []statement
		want       float64
	}{
		{"stated", []statement{{1, 0.5, numeric(2)}}, 2},
		{"falls", []statement{{1, 0.5, numeric(2)}, {2, 0.8, numeric(1)}}, 1},
		{"rises", []statement{{1, 0.5, numeric(2)}, {2, 1.5, numeric(4)}}, 4},
		{"an older answer with a higher rate", []statement{{1, 0.5, numeric(2)}, {1.2, 0.2, numeric(4)}}, 2},
		{"ends", []statement{{1, 0.5, numeric(2)}, {2, 1.5, none}}, 0},
		{"an older answer without a rate", []statement{{1, 0.5, numeric(2)}, {1.2, 0.2, none}}, 2},
		{"comes back", []statement{{1, 0.5, numeric(2)}, {2, 1.5, none}, {3, 2.5, numeric(1)}}, 1},
		{"unreadable", []statement{{1, 0.5, numeric(2)}, {2, 1.5, unreadable}}, 2},
		{"unreadable at first", []statement{{1, 0.5, unreadable}}, 0},
		{"zero", []statement{{1, 0.5, numeric(0)}}, minRate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLimiter(qfshare.NewTable("node-1"))
			for _, s := range tt.statements {
				l.RecordAnswer(at(s.now), at(s.sentAt), &modelEndpoint, s.stated)
			}
			rate := 0.0
			if e := l.endpoints[modelEndpoint.ID]; e != nil {
				rate = e.rate
			}
			if rate != tt.want || l.HasRates() != (tt.want > 0) {
				t.Errorf("the rate is %v, want %v", rate, tt.want)
			}
			peer := NewLimiter(qfshare.NewTable("node-2"))
			peer.MergeRates(at(5), l.ReportRates(at(5)))
			if peer.HasRates() != l.HasRates() {
				t.Error("a peer that gets the report doesn't know the rate")
			}
		})
	}
}

// TestRetryAfterFitsTheRate fails if callers that are refused are asked to return faster than the
// endpoints take requests.
func TestRetryAfterFitsTheRate(t *testing.T) {
	m := newFleetModel(6, 0, 4)
	m.state(modelBegin, 0, 12)
	previous := time.Duration(0)
	for range 5 {
		after := m.nodes[0].RetryAfter(modelBegin, "chat")
		if gap := after - previous; gap < 450*time.Millisecond || gap > 550*time.Millisecond {
			t.Errorf("the next caller returns %v after the one before, the node's share is 2 a second", gap)
		}
		previous = after
	}
}

// BenchmarkMaySend measures a decision at one of 640 nodes while 2,800 endpoints state rates.
func BenchmarkMaySend(b *testing.B) {
	m := newFleetModel(640, 0, 5)
	l := m.nodes[0]
	endpoints := make([]qf.Endpoint, 2800)
	for i := range endpoints {
		endpoints[i] = qf.Endpoint{ID: qf.EndpointID(fmt.Sprintf("engine-%d", i)), Incarnation: 1, Entry: "chat"}
		l.RecordAnswer(modelBegin, modelBegin, &endpoints[i], qf.StatedNumber{Kind: qf.StatedNumeric, Value: 10})
	}
	now := modelBegin
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Second / 64 / 30)
		l.MaySend(now, endpoints[i%len(endpoints)].ID)
	}
}

// BenchmarkReport measures a report to a peer while 2,800 endpoints state rates, none of them new.
func BenchmarkReport(b *testing.B) {
	m := newFleetModel(640, 0, 5)
	l := m.nodes[0]
	for i := range 2800 {
		endpoint := qf.Endpoint{ID: qf.EndpointID(fmt.Sprintf("i-%010d", i)), Incarnation: 1_780_000_000_000, Entry: "loda41a"}
		l.RecordAnswer(modelBegin, modelBegin, &endpoint, qf.StatedNumber{Kind: qf.StatedNumeric, Value: 10})
	}
	size := 0
	for b.Loop() {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(l.ReportRates(modelBegin.Add(time.Minute))); err != nil {
			b.Fatal(err)
		}
		size = buffer.Len()
	}
	b.ReportMetric(float64(size), "bytes/report")
}
