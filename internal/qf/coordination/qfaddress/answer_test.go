package qfaddress

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"quetzalfront/internal/qf"
)

// site describes a fleet by its numbers of nodes, zones and regions.
type site struct {
	nodes, zones, regions int
}

func (s site) fleet() []qf.Node {
	var nodes []qf.Node
	for i := range s.nodes {
		zone := i % s.zones
		nodes = append(nodes, qf.Node{
			ID:               qf.NodeID(fmt.Sprintf("node-%03d", i)),
			AvailabilityZone: qf.AvailabilityZone(fmt.Sprintf("zone-%02d", zone)),
			Region:           qf.Region(fmt.Sprintf("region-%d", zone%s.regions)),
		})
	}
	return nodes
}

func without(nodes []qf.Node, isLost func(n *qf.Node) bool) []qf.Node {
	var left []qf.Node
	for i := range nodes {
		if !isLost(&nodes[i]) {
			left = append(left, nodes[i])
		}
	}
	return left
}

// TestPickSpreadsOverZones checks that an answer's nodes are distinct and in different
// zones where possible, and that the first is in the caller's region.
func TestPickSpreadsOverZones(t *testing.T) {
	cases := []struct {
		name  string
		site  site
		want  int
		zones int
	}{
		{name: "one node", site: site{1, 1, 1}, want: 1, zones: 1},
		{name: "six nodes in three zones", site: site{6, 3, 3}, want: 3, zones: 3},
		{name: "one zone only", site: site{6, 1, 1}, want: 2, zones: 1},
		{name: "640 nodes in 17 zones", site: site{640, 17, 5}, want: 4, zones: 4},
		{name: "no nodes"},
	}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(7, 7))
		for range 200 {
			got := Pick(Query{Region: "region-0", Nodes: c.site.fleet(), Random: random})
			zones, seen := map[qf.AvailabilityZone]bool{}, map[qf.NodeID]bool{}
			for i, n := range got {
				zones[n.AvailabilityZone] = true
				seen[n.ID] = true
				if i == 0 && n.Region != "region-0" {
					t.Fatalf("%s: the first address is in %s", c.name, n.Region)
				}
			}
			if len(got) != c.want || len(seen) != c.want || len(zones) != c.zones {
				t.Fatalf("%s: %d addresses in %d zones", c.name, len(got), len(zones))
			}
		}
	}
}

// TestPickWithoutNodesInTheRegion checks that a caller from a region without nodes still
// gets nodes of several regions.
func TestPickWithoutNodesInTheRegion(t *testing.T) {
	got := Pick(Query{Region: "elsewhere", Nodes: site{6, 3, 3}.fleet(), Random: rand.New(rand.NewPCG(1, 1))})
	if len(got) < 3 || got[0].Region == got[1].Region {
		t.Errorf("got %v", got)
	}
}

const (
	// callersPerNode is the number of simulated callers for each node, and leastCallers
	// the minimum for a whole site.
	callersPerNode = 100
	leastCallers   = 24000
)

// answers returns the answers of simulated callers, spread over regions in proportion to
// the regions' nodes.
func answers(nodes []qf.Node) [][]qf.Node {
	random := rand.New(rand.NewPCG(20261203, 1))
	var all [][]qf.Node
	for i := range max(callersPerNode*len(nodes), leastCallers) {
		all = append(all, Pick(Query{Region: nodes[i%len(nodes)].Region, Nodes: nodes, Random: random}))
	}
	return all
}

// firstChoices counts the callers of each node, and those without any. A caller uses the
// first address that isn't lost.
func firstChoices(all [][]qf.Node, isLost func(n *qf.Node) bool) (counts map[qf.NodeID]int, unserved int) {
	counts = map[qf.NodeID]int{}
	for _, answer := range all {
		left := without(answer, isLost)
		if len(left) == 0 {
			unserved++
			continue
		}
		counts[left[0].ID]++
	}
	return counts, unserved
}

// peak returns the ratio of the highest number of callers of a node to the mean.
func peak(counts map[qf.NodeID]int, nodes int) float64 {
	most, total := 0, 0
	for _, n := range counts {
		most = max(most, n)
		total += n
	}
	return float64(most) * float64(nodes) / float64(total)
}

// TestCallersSpreadEvenly checks that callers are spread evenly, including those whose node
// or zone is lost while they keep an answer. The bounds allow for the variance of a
// hundred draws for each node.
func TestCallersSpreadEvenly(t *testing.T) {
	for _, c := range []struct {
		site  site
		bound float64
	}{
		{site: site{6, 3, 3}, bound: 1.2},
		{site: site{60, 6, 3}, bound: 1.35},
		{site: site{640, 17, 5}, bound: 1.45},
	} {
		t.Run(fmt.Sprint(c.site.nodes), func(t *testing.T) {
			nodes := c.site.fleet()
			all := answers(nodes)
			losses := []struct {
				name   string
				isLost func(n *qf.Node) bool
			}{
				{name: "nothing", isLost: func(*qf.Node) bool { return false }},
				{name: "one node", isLost: func(n *qf.Node) bool { return n.ID == "node-000" }},
				{name: "one zone", isLost: func(n *qf.Node) bool { return n.AvailabilityZone == "zone-00" }},
			}
			for _, loss := range losses {
				counts, unserved := firstChoices(all, loss.isLost)
				left := len(without(nodes, loss.isLost))
				got := peak(counts, left)
				t.Logf("%d nodes, %s lost: busiest node %.2f of the mean, %d callers without address",
					len(nodes), loss.name, got, unserved)
				if got > c.bound || unserved > 0 {
					t.Errorf("%s lost: %.2f of the mean, %d without address", loss.name, got, unserved)
				}
			}
		})
	}
}

// TestLoadShiftsCallers checks that loaded nodes get fewer callers, within bounds, and
// that callers of an overloaded region are sent to other regions.
func TestLoadShiftsCallers(t *testing.T) {
	nodes := site{6, 3, 1}.fleet()
	for i := range nodes {
		nodes[i].Load = 100
	}
	nodes[0].Load, nodes[1].Load = 400, 0
	counts, _ := firstChoices(answers(nodes), func(*qf.Node) bool { return false })
	if busy, idle := counts["node-000"], counts["node-001"]; busy*3 > idle || busy == 0 || idle > 2*leastCallers/len(nodes) {
		t.Errorf("the busy node has %d callers, the idle one %d", busy, idle)
	}
	regions := site{6, 3, 3}.fleet()
	regions[0].Load, regions[3].Load = 90, 90
	for i := range regions {
		regions[i].Load += 10
	}
	elsewhere := 0
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		if Pick(Query{Region: "region-0", Nodes: regions, Random: random})[0].Region != "region-0" {
			elsewhere++
		}
	}
	if elsewhere < 50 {
		t.Errorf("%d of 100 callers are sent out of an overloaded region", elsewhere)
	}
}
