package qfroute

import (
	"math/rand/v2"
	"time"

	"quetzalfront/internal/qf"
)

// Random picks any endpoint. It is a baseline.
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
		return r.choice(&query, -1, "")
	}
	return r.choice(&query, list[r.random.IntN(len(list))], "Random")
}

// PredictEndpoint implements qf.Router.
func (r *Random) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	return r.ChooseEndpoint(query)
}

// RoundRobin picks the endpoints in turn. It is a baseline.
type RoundRobin struct {
	baseline
	turn int
}

// NewRoundRobin returns a router without endpoints that begins at a turn.
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
		return r.choice(&query, -1, "")
	}
	return r.choice(&query, list[r.turn%len(list)], "RoundRobin")
}

// PrefixHash sends equal beginnings of prompts to the same endpoint. It is a
// baseline.
type PrefixHash struct {
	baseline
	// blocks is the number of leading blocks that count.
	blocks int
}

// NewPrefixHash returns a router without endpoints.
func NewPrefixHash(blocks int) *PrefixHash {
	return &PrefixHash{baseline: newBaseline(), blocks: blocks}
}

// ChooseEndpoint implements qf.Router by rendezvous hashing, so that the loss of an
// endpoint moves only its own prefixes.
func (p *PrefixHash) ChooseEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	prefix := uint64(0)
	if n := min(p.blocks, len(query.Prefixes)); n > 0 {
		prefix = query.Prefixes[n-1]
	}
	best, highest := -1, uint64(0)
	for _, i := range p.candidates(&query) {
		if score := mix(prefix, p.endpoints[i].ID); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return p.choice(&query, best, "PrefixHash")
}

// PredictEndpoint implements qf.Router.
func (p *PrefixHash) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	return p.ChooseEndpoint(query)
}

// mix hashes a prefix and an endpoint by FNV-1a with a final scramble.
func mix(prefix uint64, endpoint qf.EndpointID) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset) ^ prefix
	for i := range len(endpoint) {
		h = (h ^ uint64(endpoint[i])) * prime
	}
	h ^= h >> 33
	h *= prime
	return h ^ h>>29
}

// TwoChoices compares two endpoints by their reported load. It is a baseline.
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
		return t.choice(&query, -1, "")
	}
	a, b := list[t.random.IntN(len(list))], list[t.random.IntN(len(list))]
	if t.load(b) < t.load(a) {
		a = b
	}
	return t.choice(&query, a, "TwoChoices")
}

func (t *TwoChoices) load(index int) int {
	report := t.reports[t.endpoints[index].ID]
	return report.Running + report.Queued
}

// PredictEndpoint implements qf.Router.
func (t *TwoChoices) PredictEndpoint(query qf.RouteQuery) (qf.RouteChoice, error) {
	return t.ChooseEndpoint(query)
}
