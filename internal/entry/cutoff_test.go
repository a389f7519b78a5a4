package entry_test

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalfront/internal/standin/standnet"
	"quetzalfront/internal/standin/standreplica"
)

// linkFault is what links between nodes and endpoints show while they are cut.
type linkFault string

const (
	// linksHang hold up everything.
	linksHang linkFault = "Hang"
	// linksReset reset what is open and hold up new connections.
	linksReset linkFault = "Reset"
	// linksRefuse reset what is open and refuse new connections.
	linksRefuse linkFault = "Refuse"
	// linksStay carry what is open and refuse new connections.
	linksStay linkFault = "Stay"
	// linksStayAndHang carry what is open and hold up new connections.
	linksStayAndHang linkFault = "StayAndHang"
)

// cutBegin is when links are cut on a day; cutLength is for how long.
const (
	cutBegin  = 2 * time.Second
	cutLength = 12 * time.Second
)

// cutDay is a day on which some nodes are cut off from endpoints.
type cutDay struct {
	name  string
	nodes int
	// cut are the numbers of the cut nodes.
	cut   []int
	fault linkFault
	// isCut reports whether an endpoint's address is behind the cut; nil stands for all.
	isCut func(netip.Addr) bool
	// flaps is for how long a cut that comes and goes lasts each time.
	flaps time.Duration
	// during is what else happens, from contact after the begin of the cut.
	during func(w *rateWorld)
	// served is the least share of first tries that must be served; 0 stands for 0.98.
	served float64
	seed   uint64
}

func isEndpointAddress(a netip.Addr) bool { return netip.MustParsePrefix("10.8.0.0/16").Contains(a) }

// link returns the links that are cut.
func (d *cutDay) link() standnet.Link {
	isNode := func(a netip.Addr) bool {
		return slices.ContainsFunc(d.cut, func(node int) bool { return a == nodeAddress(node) })
	}
	isBehind := func(a netip.Addr) bool { return isEndpointAddress(a) && (d.isCut == nil || d.isCut(a)) }
	return func(a, b netip.Addr) bool { return isNode(a) && isBehind(b) || isNode(b) && isBehind(a) }
}

// apply cuts the links.
func (d *cutDay) apply(n *standnet.Network) {
	link := d.link()
	switch d.fault {
	case linksReset:
		n.Reset(link)
		n.BlockDials(link)
	case linksRefuse:
		n.Reset(link)
		n.RefuseDials(link)
	case linksStay:
		n.RefuseDials(link)
	case linksStayAndHang:
		n.BlockDials(link)
	default:
		n.Partition(link)
	}
}

func heal(n *standnet.Network) {
	n.RefuseDials(nil)
	n.Heal()
}

// firstTries returns how many requests that were sent in a time at cut nodes, or at the others, were
// served, and how many there were.
func firstTries(answers []ratedAnswer, cut []int, isCut bool, from, to time.Time) (served, count int) {
	for i := range answers {
		a := &answers[i]
		if a.at.Before(from) || !a.at.Before(to) || slices.Contains(cut, a.node) != isCut {
			continue
		}
		count++
		if a.status == http.StatusOK && a.err == nil {
			served++
		}
	}
	return served, count
}

// checkRunsOnce fails if a request that may not be repeated ran more than once, or ran although its
// caller was told that it didn't.
func (w *rateWorld) checkRunsOnce(answers []ratedAnswer) {
	runs := map[string]int{}
	for _, replica := range w.replicas {
		for _, run := range replica.Runs() {
			runs[run.ID]++
		}
	}
	for i := range answers {
		a := &answers[i]
		if a.path != "/file/1" {
			continue
		}
		if runs[a.id] > 1 {
			w.t.Errorf("%s ran %d times", a.id, runs[a.id])
		}
		if impliesNotRun := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests; impliesNotRun && runs[a.id] > 0 {
			w.t.Errorf("%s was refused as not run, and ran", a.id)
		}
	}
}

// checkWhole fails if an answer that looks complete isn't the whole answer to its request.
func (w *rateWorld) checkWhole(answers []ratedAnswer) {
	for i := range answers {
		a := &answers[i]
		if a.status != http.StatusOK || a.err != nil {
			continue
		}
		want := ""
		if strings.HasPrefix(a.path, "/file") || strings.HasPrefix(a.path, "/read") {
			want = "answer to " + a.id
			if !strings.HasPrefix(a.body, want) {
				w.t.Errorf("%s got %q", a.id, a.body)
			}
			continue
		}
		for number := range w.endpoints[0].EventCount {
			want += standreplica.StreamEvent(a.id, number+1)
		}
		if a.body != want {
			w.t.Errorf("%s got %q, want %q", a.id, a.body, want)
		}
	}
}

// TestCutNodesServeThroughPeers fails if callers of nodes that have lost their links to endpoints are
// served worse than others, although peers reach the endpoints; if what may not be repeated runs twice, or an
// answer isn't whole.
func TestCutNodesServeThroughPeers(t *testing.T) {
	services := func(a netip.Addr) bool { return netip.MustParsePrefix("10.8.0.0/24").Contains(a) }
	oneZone := func(a netip.Addr) bool { return a.As4()[3]%2 == 0 }
	tests := []cutDay{
		{name: "one of six, hang", cut: []int{2}, fault: linksHang},
		{name: "one of six, reset", cut: []int{2}, fault: linksReset},
		{name: "one of six, refuse", cut: []int{2}, fault: linksRefuse},
		{name: "one of six, open ones stay and new ones are refused", cut: []int{2}, fault: linksStay},
		{name: "one of six, open ones stay and new ones hang", cut: []int{2}, fault: linksStayAndHang},
		{name: "three of six, hang", cut: []int{1, 2, 5}, fault: linksHang},
		{name: "three of six, reset", cut: []int{1, 2, 5}, fault: linksReset},
		{name: "three of six, refuse", cut: []int{1, 2, 5}, fault: linksRefuse},
		{name: "a zone, hang", cut: []int{1, 3, 5}, fault: linksHang},
		{name: "a zone, reset", cut: []int{2, 4, 6}, fault: linksReset},
		{name: "all but one, hang", cut: []int{1, 2, 3, 4, 5}, fault: linksHang},
		{name: "all but one, reset", cut: []int{2, 3, 4, 5, 6}, fault: linksReset},
		{name: "from one service, hang", cut: []int{2, 3}, fault: linksHang, isCut: services},
		{name: "from one service, refuse", cut: []int{2, 3}, fault: linksRefuse, isCut: services},
		{name: "from one zone, hang", cut: []int{2, 3}, fault: linksHang, isCut: oneZone},
		{name: "from one zone, reset", cut: []int{2, 3}, fault: linksReset, isCut: oneZone},
		{name: "relays, half a zone", nodes: 20, cut: []int{2, 4, 6, 8, 10}, fault: linksHang},
		{name: "relays, a zone", nodes: 20, cut: []int{2, 4, 6, 8, 10, 12, 14, 16, 18, 20}, fault: linksReset},
		{name: "comes and goes", cut: []int{2, 5}, fault: linksHang, flaps: time.Second, served: 0.9},
		{name: "a node starts", cut: []int{2}, fault: linksHang, during: func(w *rateWorld) { w.replaceNode(1) }},
		{name: "a node that passes requests on drains", cut: []int{2, 3}, fault: linksHang, during: func(w *rateWorld) { w.replaceNode(1) }},
		{name: "a node that is passed requests drains", cut: []int{2, 3}, fault: linksHang, during: func(w *rateWorld) { w.replaceNode(0) }},
		{name: "a node that is passed requests falls silent", cut: []int{2, 3}, fault: linksReset, served: 0.8, during: func(w *rateWorld) {
			w.network.Blackhole(func(a, b netip.Addr) bool { return a == nodeAddress(4) || b == nodeAddress(4) })
		}},
		{name: "links between nodes break", cut: []int{2, 3}, fault: linksReset, served: 0.9, during: func(w *rateWorld) {
			for range 10 {
				w.sleep(500 * time.Millisecond)
				w.network.Reset(func(a, b netip.Addr) bool { return a == nodeAddress(2) && b == nodeAddress(4) })
			}
		}},
	}
	for _, day := range tests {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			playCutDay(t, day)
		})
	}
}

func nodeAddress(number int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(number)}) }

// cutFor cuts the links for cutLength, again and again if they flap.
func (d *cutDay) cutFor(w *rateWorld) {
	if d.flaps == 0 {
		d.apply(w.network)
		w.sleep(cutLength)
		heal(w.network)
		return
	}
	for elapsed := time.Duration(0); elapsed < cutLength; elapsed += 2 * d.flaps {
		d.apply(w.network)
		w.sleep(d.flaps)
		heal(w.network)
		w.sleep(d.flaps)
	}
}

func playCutDay(t *testing.T, day cutDay) {
	t.Helper()
	load := rateDay{
		nodes: max(day.nodes, 6), endpoints: 12, interval: 40 * time.Millisecond, length: cutBegin + cutLength + 4*time.Second, seed: day.seed,
		paths: []string{"/ask/1", "/talk/1", "/file/1", "/read/1"},
	}
	load.trouble = func(w *rateWorld) { // 2 s after the begin
		if day.during != nil {
			go func() {
				w.sleep(contact)
				day.during(w)
			}()
		}
		day.cutFor(w)
	}
	if day.served == 0 {
		day.served = 0.98
	}
	runRateDay(t, load, func(w *rateWorld, began time.Time, answers []ratedAnswer) {
		w.checkRunsOnce(answers)
		w.checkWhole(answers)
		from, to := began.Add(cutBegin+contact), began.Add(cutBegin+cutLength)
		for _, part := range []struct {
			name     string
			isCut    bool
			from, to time.Time
		}{
			{"cut nodes", true, from, to},
			{"other nodes", false, from, to},
			{"all nodes afterwards", true, to.Add(2 * time.Second), to.Add(time.Minute)},
		} {
			served, count := firstTries(answers, day.cut, part.isCut, part.from, part.to)
			if count == 0 || float64(served) < day.served*float64(count) {
				t.Errorf("%s served %d of %d first tries", part.name, served, count)
			} else {
				t.Logf("%s served %d of %d first tries", part.name, served, count)
			}
		}
		early, count := firstTries(answers, day.cut, true, began.Add(cutBegin), from)
		t.Logf("cut nodes served %d of %d in the first %v", early, count, contact)
	})
}

// TestSlowStreamsOutlastAFailedCheck fails if streams that pause for a second or so are ended because new
// connections to the endpoints fail for a moment, while the open ones go on.
func TestSlowStreamsOutlastAFailedCheck(t *testing.T) {
	const streams, blocked = 12, time.Second
	runRateFleet(t, rateDay{nodes: 3}, func(w *rateWorld) {
		for i := range 4 {
			w.addEndpoint(i)
			w.endpoints[i].EventCount, w.endpoints[i].EventInterval = 8, 100*time.Millisecond
		}
		w.sleep(2 * time.Second)
		answers := make([]answer, streams)
		var wait sync.WaitGroup
		ask := func(i int) {
			path := []string{"/ask/1", "/talk/1"}[i%2]
			answers[i] = w.call(w.t.Context(), 1, http.MethodPost, path, "", "X-Token-Counts", "500,20")
		}
		for i := range streams {
			wait.Go(func() { ask(i) })
		}
		w.sleep(350 * time.Millisecond)
		for _, replica := range w.endpoints {
			replica.FallSilent(1500 * time.Millisecond)
		}
		day := cutDay{cut: []int{1}, fault: linksStayAndHang}
		day.apply(w.network)
		wait.Go(func() { w.call(w.t.Context(), 1, http.MethodPost, "/read/1", "") })
		w.sleep(blocked)
		heal(w.network)
		wait.Wait()
		for i := range answers {
			runs := 0
			for _, replica := range w.endpoints {
				for _, run := range replica.Runs() {
					if run.ID == answers[i].id {
						runs++
					}
				}
			}
			if answers[i].status != http.StatusOK || answers[i].err != nil || runs != 1 {
				t.Errorf("stream %d ended with %d, %v after %d runs", i, answers[i].status, answers[i].err, runs)
			}
		}
	})
}
