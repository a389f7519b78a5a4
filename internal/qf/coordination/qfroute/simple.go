package qfroute

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// Random picks an endpoint at random. It is a baseline for benchmarks.
type Random struct {
	baseline
	random *rand.Rand
}

// NewRandom returns a router without endpoints.
func NewRandom(random *rand.Rand) *Random { return &Random{baseline: newBaseline(), random: random} }

// ChooseEndpoint implements qf.Router.
func (r *Random) ChooseEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	list := r.candidates(&query)
	if len(list) == 0 {
		return r.buildChoice(&query, -1, "")
	}
	return r.buildChoice(&query, list[r.random.IntN(len(list))], "Random")
}

// PredictEndpoint implements qf.Router.
func (r *Random) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	return r.ChooseEndpoint(query)
}

// RoundRobin picks the endpoints in turn. It is a baseline for benchmarks.
type RoundRobin struct {
	baseline
	turn int
}

// NewRoundRobin returns a router without endpoints that starts at the given turn.
func NewRoundRobin(turn int) *RoundRobin { return &RoundRobin{baseline: newBaseline(), turn: turn} }

// ChooseEndpoint implements qf.Router.
func (r *RoundRobin) ChooseEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	r.turn++
	return r.PredictEndpoint(query)
}

// PredictEndpoint implements qf.Router.
func (r *RoundRobin) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	list := r.candidates(&query)
	if len(list) == 0 {
		return r.buildChoice(&query, -1, "")
	}
	return r.buildChoice(&query, list[r.turn%len(list)], "RoundRobin")
}

// PrefixHash sends prompts with the same prefix to the same endpoint. It is a baseline for
// benchmarks.
type PrefixHash struct {
	baseline
	// blocks is the number of leading blocks that are hashed.
	blocks int
}

// NewPrefixHash returns a router without endpoints.
func NewPrefixHash(blocks int) *PrefixHash {
	return &PrefixHash{baseline: newBaseline(), blocks: blocks}
}

// ChooseEndpoint implements qf.Router by rendezvous hashing, so that the loss of an
// endpoint moves only that endpoint's prefixes.
func (p *PrefixHash) ChooseEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	prefix := uint64(0)
	if n := min(p.blocks, len(query.Prefixes)); n > 0 {
		prefix = query.Prefixes[n-1]
	}
	best, highest := -1, uint64(0)
	for _, i := range p.candidates(&query) {
		if score := rendezvousHash(prefix, p.endpoints[i].ID); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return p.buildChoice(&query, best, "PrefixHash")
}

// PredictEndpoint implements qf.Router.
func (p *PrefixHash) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	return p.ChooseEndpoint(query)
}

// rendezvousHash hashes a prefix and an endpoint by FNV-1a with a final mixing step.
func rendezvousHash(prefix uint64, endpoint qf.EndpointID) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset) ^ prefix
	for i := range len(endpoint) {
		h = (h ^ uint64(endpoint[i])) * prime
	}
	h ^= h >> 33
	h *= prime
	return h ^ h>>29
}

// TwoChoices picks the less loaded of two random endpoints by their load reports. It is a
// baseline for benchmarks.
type TwoChoices struct {
	baseline
	random  *rand.Rand
	reports map[qf.EndpointID]qf.LoadReport
}

// NewTwoChoices returns a router without endpoints.
func NewTwoChoices(random *rand.Rand) *TwoChoices {
	return &TwoChoices{baseline: newBaseline(), random: random, reports: map[qf.EndpointID]qf.LoadReport{}}
}

// RecordLoadReport implements qf.Router.
func (t *TwoChoices) RecordLoadReport(_ time.Time, report qf.LoadReport) {
	t.reports[report.Endpoint] = report
}

// ChooseEndpoint implements qf.Router.
func (t *TwoChoices) ChooseEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	list := t.candidates(&query)
	if len(list) == 0 {
		return t.buildChoice(&query, -1, "")
	}
	a, b := list[t.random.IntN(len(list))], list[t.random.IntN(len(list))]
	if t.load(b) < t.load(a) {
		a = b
	}
	return t.buildChoice(&query, a, "TwoChoices")
}

func (t *TwoChoices) load(index int) int {
	report := t.reports[t.endpoints[index].ID]
	return report.Running + report.Queued
}

// PredictEndpoint implements qf.Router.
func (t *TwoChoices) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	return t.ChooseEndpoint(query)
}
