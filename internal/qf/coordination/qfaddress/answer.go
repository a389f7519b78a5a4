// Package qfaddress decides which nodes a caller is told to use. Callers keep an
// answer and can't be balanced later, so that the answers themselves balance. It
// does no I/O and reads no clock.
package qfaddress

import (
	"math"
	"math/rand/v2"

	"quetzalfront/internal/qf"
)

const (
	// MaxAddresses bounds an answer: the caller's own nodes and some to go to when
	// these are lost.
	MaxAddresses = 4
	// leastAddresses is how many addresses a caller gets even if they share a zone.
	leastAddresses = 2
	// overload is the load of a region against the mean from which on callers are
	// sent to other regions.
	overload = 1.5
	// leastWeight and mostWeight bound how much load changes a node's chance; loads
	// are late, so that a node which was seen idle must not get every caller.
	leastWeight = 0.25
	mostWeight  = 1.75
)

// Query asks for an answer.
type Query struct {
	// Region is the caller's region, or empty if the caller didn't say.
	Region qf.Region
	// Nodes are the candidates: those that are live and not under notice.
	Nodes []qf.Node
	// Random draws; answers must differ from caller to caller.
	Random *rand.Rand
}

// picker is one run of Pick.
type picker struct {
	nodes  []qf.Node
	region qf.Region
	// weights holds the nodes' chances; a node that was picked has none.
	weights []float64
	picked  []qf.Node
}

// Pick returns the addresses for one caller, best first. The first is in the
// caller's region, unless that is overloaded: it is drawn by spare capacity. The
// others are for the time until the caller's next answer if that one is lost. They
// are drawn from all other zones, near or far, so that the callers of a lost node
// or zone spread evenly over all that is left.
func Pick(query Query) []qf.Node {
	p := &picker{nodes: query.Nodes, region: query.Region, weights: weigh(query.Nodes)}
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

// weigh gives each node a chance that falls with its load against the mean.
func weigh(nodes []qf.Node) []float64 {
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
		if p.hasRoomNear() {
			return p.draw(random, p.isNear)
		}
		return p.draw(random, func(int) bool { return true })
	}
	if i := p.draw(random, p.isInNewZone); i >= 0 {
		return i
	}
	return p.draw(random, func(int) bool { return len(p.picked) < leastAddresses })
}

func (p *picker) isNear(i int) bool { return p.region == "" || p.nodes[i].Region == p.region }

func (p *picker) isInNewZone(i int) bool {
	for j := range p.picked {
		if p.picked[j].AvailabilityZone == p.nodes[i].AvailabilityZone {
			return false
		}
	}
	return true
}

// hasRoomNear reports whether the nodes of the caller's region can take its
// callers: they have at most overload times the mean load.
func (p *picker) hasRoomNear() bool {
	near, nearLoad, load := 0, 0, 0
	for i := range p.nodes {
		load += p.nodes[i].Load
		if p.isNear(i) {
			near++
			nearLoad += p.nodes[i].Load
		}
	}
	return near > 0 && float64(nearLoad)*float64(len(p.nodes)) <= overload*float64(load)*float64(near)
}

// draw picks one of the wanted nodes with a chance in proportion to its weight.
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
