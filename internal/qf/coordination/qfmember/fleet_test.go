package qfmember

import (
	"encoding/gob"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"quetzalfront/internal/qf"
)

// simulated is a fleet of memberships whose exchanges arrive at once. Each node
// exchanges every half second, at a time of its own within it.
type simulated struct {
	now     time.Time
	random  *rand.Rand
	members []*Membership
	// stopped holds the nodes that neither send nor respond; cut reports which links are cut.
	stopped map[int]bool
	cut     func(a, b int) bool
	index   map[qf.NodeID]int
	encoder *gob.Encoder
	counter *countingWriter
	// isCounting says whether messages are encoded to count their bytes.
	isCounting bool
	messages   int
	sent       []int
	// urgent holds the nodes that received a new departure in this step.
	urgent map[int]bool
}

const (
	stepsPerRound = 10
	step          = 500 * time.Millisecond / stepsPerRound
)

var timing = Timing{SuspectAfter: 3 * time.Second, DeadAfter: 8 * time.Second, FullExchangeUpTo: 12}

func newSimulated(members, zones int) *simulated {
	s := &simulated{
		now: start, random: rand.New(rand.NewPCG(uint64(members), 9)), stopped: map[int]bool{},
		cut: func(int, int) bool { return false }, index: map[qf.NodeID]int{}, counter: &countingWriter{},
		sent: make([]int, members), urgent: map[int]bool{},
	}
	s.encoder = gob.NewEncoder(s.counter)
	var all []qf.Node
	for i := range members {
		n := node(fmt.Sprintf("lahore-node-%03d", i), start)
		n.Region, n.AvailabilityZone = qf.Region(fmt.Sprintf("region-%d", i%zones%5)), qf.AvailabilityZone(fmt.Sprintf("zone-%02d", i%zones))
		n.CallerAddress, n.PeerAddress = netip.MustParseAddrPort("10.1.2.3:7080"), netip.MustParseAddrPort("10.1.2.3:7081")
		s.index[n.ID] = i
		all = append(all, n)
		s.members = append(s.members, New(n, timing))
	}
	for _, m := range s.members { // The VM list names all nodes, without incarnations and heartbeats.
		for _, n := range all {
			m.AddSeed(start, qf.Node{ID: n.ID, AvailabilityZone: n.AvailabilityZone, Region: n.Region, PeerAddress: n.PeerAddress, CallerAddress: n.CallerAddress, State: qf.NodeLive})
		}
	}
	return s
}

// run simulates the time d.
func (s *simulated) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		urgent := s.urgent
		s.urgent = map[int]bool{}
		phase := int(s.now.Sub(start)/step) % stepsPerRound
		for i, m := range s.members {
			if s.stopped[i] || i%stepsPerRound != phase && !urgent[i] {
				continue
			}
			m.RaiseHeartbeat(s.now, 4100, 440)
			for _, to := range m.ChooseTargets(s.now, s.random, urgent[i]) {
				s.exchange(i, to)
			}
		}
	}
}

func (s *simulated) exchange(from int, to qf.Node) {
	other, ok := s.index[to.ID]
	if !ok || s.stopped[other] || s.cut(from, other) {
		return
	}
	request := qf.Digest{From: s.members[from].Self()}
	s.members[from].FillDigest(s.now, &request, qf.NodeRecipient(&to), nil)
	s.deliver(from, other, &request)
	response := qf.Digest{From: s.members[other].Self()}
	sender := s.members[from].Self()
	s.members[other].FillDigest(s.now, &response, qf.NodeRecipient(&sender), request.Wants)
	s.deliver(other, from, &response)
}

func (s *simulated) deliver(from, to int, digest *qf.Digest) {
	if s.isCounting {
		before := s.counter.bytes
		if err := s.encoder.Encode(digest); err != nil {
			panic(err)
		}
		s.messages++
		s.sent[from] += s.counter.bytes - before
	}
	s.members[to].ApplyDigest(s.now, digest)
	for _, d := range digest.Departures {
		if s.members[to].RecordDeparture(s.now, d) {
			s.urgent[to] = true
		}
	}
}

// runUntil runs until the condition holds or the limit is reached, and returns the time
// that passed.
func (s *simulated) runUntil(limit time.Duration, holds func() bool) time.Duration {
	begin := s.now
	for !holds() && s.now.Sub(begin) < limit {
		s.run(2 * step)
	}
	return s.now.Sub(begin)
}

// countSeen counts the running members that see the node in a state.
func (s *simulated) countSeen(id qf.NodeID, state qf.NodeState) int {
	count := 0
	for i, m := range s.members {
		if p := m.peers[id]; p != nil && !s.stopped[i] && m.stateOf(s.now, p) == state {
			count++
		}
	}
	return count
}

// countNotLive counts the pairs of running members of which the first doesn't see the
// second as live.
func (s *simulated) countNotLive() int {
	count := 0
	for i, m := range s.members {
		if s.stopped[i] {
			continue
		}
		live := 0
		for id, p := range m.peers {
			if p.node.Incarnation > 0 && m.stateOf(s.now, p) == qf.NodeLive && !s.stopped[s.index[id]] {
				live++
			}
		}
		count += len(s.members) - len(s.stopped) - 1 - live
	}
	return count
}

var large = flag.Bool("large", false, "simulate 640 members as well, which takes a minute")

// TestGossipSpreadsInTime checks at several fleet sizes that departures spread in time while
// each node's traffic stays bounded, that a failed node is detected, and that partitioned
// regions find each other again.
func TestGossipSpreadsInTime(t *testing.T) {
	sites := []struct{ members, zones int }{{6, 3}, {60, 6}}
	if *large {
		sites = append(sites, struct{ members, zones int }{640, 17})
	}
	for _, c := range sites {
		t.Run(fmt.Sprint(c.members), func(t *testing.T) {
			s := newSimulated(c.members, c.zones)
			joined := s.runUntil(30*time.Second, func() bool { return s.countNotLive() == 0 })
			s.run(10 * time.Second)
			s.isCounting = true
			s.deliver(0, 0, &qf.Digest{From: s.members[0].Self()}) // Types are described once for each connection.
			s.messages, s.counter.bytes, s.sent = 0, 0, make([]int, c.members)
			falseAlarms := 0
			const quiet = 10
			for range quiet {
				s.run(time.Second)
				falseAlarms += s.countNotLive()
			}
			most := 0
			for _, bytes := range s.sent {
				most = max(most, bytes/quiet)
			}
			s.isCounting = false
			perNode := float64(quiet * c.members)
			t.Logf("%d members: joined in %s; %.1f messages and %.0f bytes sent per second and node, %d by the busiest; %d false alarms in %d s",
				c.members, joined, float64(s.messages)/perNode, float64(s.counter.bytes)/perNode, most, falseAlarms, quiet)
			if joined >= 30*time.Second || falseAlarms > 0 || most > 12000 {
				t.Error("joining took too long, or there were false alarms or too many bytes")
			}
			checkDepartureSpreads(t, s)
			checkFailureDetection(t, s)
		})
	}
}

// checkDepartureSpreads checks that a departure recorded at one node reaches all in time.
func checkDepartureSpreads(t *testing.T, s *simulated) {
	t.Helper()
	s.members[0].RecordDeparture(s.now, qf.Departure{VM: "engine-1", Incarnation: 1, In: 30 * time.Second})
	s.urgent[0] = true
	took := s.runUntil(10*time.Second, func() bool {
		for _, m := range s.members {
			if !m.IsDeparting("engine-1", 1) {
				return false
			}
		}
		return true
	})
	t.Logf("a departure has reached all nodes after %s", took)
	if took > 2*time.Second {
		t.Error("departures spread too slowly")
	}
}

// checkFailureDetection stops a node and then partitions a region for a minute.
func checkFailureDetection(t *testing.T, s *simulated) {
	t.Helper()
	lost := s.members[1].self.ID
	s.stopped[1] = true
	took := s.runUntil(30*time.Second, func() bool { return s.countSeen(lost, qf.NodeLive) == 0 })
	t.Logf("a failed node is live in no view after %s", took)
	if took > 16*time.Second { // Heartbeats of the failed node still spread for some seconds.
		t.Error("a failed node is detected too late")
	}
	isIn := func(i int) bool { return s.members[i].self.Region == "region-0" }
	s.cut = func(a, b int) bool { return isIn(a) != isIn(b) }
	s.run(time.Minute)
	inside := s.members[0]
	for _, n := range inside.Peers(s.now) {
		if isIn(s.index[n.ID]) != (n.State == qf.NodeLive) {
			t.Errorf("%s is %s in the view of a node in the partitioned region", n.ID, n.State)
		}
	}
	s.cut = func(int, int) bool { return false }
	healed := s.runUntil(time.Minute, func() bool { return s.countNotLive() == 0 })
	t.Logf("regions that were partitioned for a minute see each other again after %s", healed)
	if healed > 15*time.Second {
		t.Error("regions find each other too late")
	}
}

// TestPauseIsNotFailureOfOthers checks that a node detects that it was paused or is cut
// off, and doesn't take all other nodes for failed because of it.
func TestPauseIsNotFailureOfOthers(t *testing.T) {
	s := newSimulated(60, 6)
	s.run(20 * time.Second)
	paused := s.members[3]
	s.stopped[3] = true
	s.run(20 * time.Second)
	delete(s.stopped, 3)
	if !paused.IsIsolated(s.now) {
		t.Error("a node that received nothing doesn't detect that it is isolated")
	}
	if got := paused.RaiseHeartbeat(s.now, 1, 1); got < 20*time.Second {
		t.Errorf("got a pause of %s, want at least 20 s", got)
	}
	if paused.IsIsolated(s.now) {
		t.Error("a node counts as isolated after its pause ended")
	}
	if took := s.runUntil(30*time.Second, func() bool { return s.countNotLive() == 0 }); took > 15*time.Second {
		t.Errorf("all nodes are live to each other again only after %s", took)
	}
}
