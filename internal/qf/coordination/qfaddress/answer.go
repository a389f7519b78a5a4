// Package qfaddress decides which node addresses a caller gets. Callers keep an answer
// and can't be rebalanced later, so the answers themselves must spread the load. It
// does no I/O and reads no clock.
package qfaddress

import (
	"math"
	"math/rand/v2"

	"quetzalfront/internal/qf"
)

const (
	// MaxAddresses bounds the addresses of an answer: one to use and others to fail over
	// to.
	MaxAddresses = 4
	// leastAddresses is the number of addresses that a caller gets even if they are in the
	// same zone.
	leastAddresses = 2
	// overloadFactor is the ratio of a region's mean load to the fleet's above which callers
	// are sent to other regions.
	overloadFactor = 1.5
	// leastWeight and mostWeight bound the influence of load on a node's weight. Load
	// figures arrive late, so a node that was reported idle must not get every caller.
	leastWeight = 0.25
	mostWeight  = 1.75
)

// Query holds the input of Pick.
type Query struct {
	// Region is the caller's region, or empty if it isn't known.
	Region qf.Region
	// Nodes holds the candidates: the nodes that are live and not under notice.
	Nodes []qf.Node
	// Random is the source of random numbers, so that answers differ between callers.
	Random *rand.Rand
}

// picker holds the state of one call of Pick.
type picker struct {
	nodes  []qf.Node
	region qf.Region
	// weights holds the nodes' weights in the draw; a node that was picked has 0.
	weights []float64
	picked  []qf.Node
}

// Pick returns the nodes for one caller, preferred first. The first is drawn by spare
// capacity from the caller's region, or from all regions if that one is overloaded. The
// caller fails over to the others if the first is lost before its next answer. They are
// drawn from all other zones of any region, so that the callers of a lost node or zone
// spread evenly over the remaining nodes.
func Pick(query Query) []qf.Node {
	p := &picker{nodes: query.Nodes, region: query.Region, weights: loadWeights(query.Nodes)}
	for len(p.picked) < MaxAddresses {
		i := p.next(query.Random)
		if i < 0 {
			break
		}
		p.weights[i] = 0
		p.picked = append(p.picked, p.nodes[i])
	}
	return p.picked
}

// loadWeights returns a weight for each node that falls with its load relative to the
// mean.
func loadWeights(nodes []qf.Node) []float64 {
	total := 0
	for i := range nodes {
		total += nodes[i].Load
	}
	mean := float64(total) / math.Max(1, float64(len(nodes)))
	weights := make([]float64, len(nodes))
	for i := range nodes {
		weights[i] = 1
		if mean > 0 {
			weights[i] = min(max(2-float64(nodes[i].Load)/mean, leastWeight), mostWeight)
		}
	}
	return weights
}

// next returns the index of the next address, or -1 if there is none.
func (p *picker) next(random *rand.Rand) int {
	if len(p.picked) == 0 {
		if p.hasCapacityInRegion() {
			return p.draw(random, p.isInRegion)
		}
		return p.draw(random, func(int) bool { return true })
	}
	if i := p.draw(random, p.isInNewZone); i >= 0 {
		return i
	}
	return p.draw(random, func(int) bool { return len(p.picked) < leastAddresses })
}

func (p *picker) isInRegion(i int) bool { return p.region == "" || p.nodes[i].Region == p.region }

func (p *picker) isInNewZone(i int) bool {
	for j := range p.picked {
		if p.picked[j].AvailabilityZone == p.nodes[i].AvailabilityZone {
			return false
		}
	}
	return true
}

// hasCapacityInRegion reports whether the nodes of the caller's region can take its
// callers: their mean load is at most overloadFactor times the mean of all nodes.
func (p *picker) hasCapacityInRegion() bool {
	inRegion, regionLoad, load := 0, 0, 0
	for i := range p.nodes {
		load += p.nodes[i].Load
		if p.isInRegion(i) {
			inRegion++
			regionLoad += p.nodes[i].Load
		}
	}
	return inRegion > 0 && float64(regionLoad)*float64(len(p.nodes)) <= overloadFactor*float64(load)*float64(inRegion)
}

// draw returns the index of one of the wanted nodes, drawn with a probability in
// proportion to its weight, or -1 if there is none.
func (p *picker) draw(random *rand.Rand, isWanted func(i int) bool) int {
	total := 0.0
	for i := range p.nodes {
		if p.weights[i] > 0 && isWanted(i) {
			total += p.weights[i]
		}
	}
	at, last := random.Float64()*total, -1
	for i := range p.nodes {
		if p.weights[i] <= 0 || !isWanted(i) {
			continue
		}
		last = i
		if at -= p.weights[i]; at < 0 {
			break
		}
	}
	return last
}
