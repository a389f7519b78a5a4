package qfroute

import "time"

// load counts requests and prompt tokens that wait for prefill.
type load struct {
	requests, tokens float64
}

func (l load) plus(other load) load {
	return load{requests: l.requests + other.requests, tokens: l.tokens + other.tokens}
}

func (l load) minus(other load) load {
	return load{requests: l.requests - other.requests, tokens: l.tokens - other.tokens}
}

func (l load) atLeast(other load) load {
	return load{requests: max(l.requests, other.requests), tokens: max(l.tokens, other.tokens)}
}

const (
	historyLength = 64
	// historyStep is the resolution of the history.
	historyStep = 100 * time.Millisecond
)

// history holds the known load of an endpoint over the last seconds, so that a delayed
// report can be compared with the load at the time it was made.
type history struct {
	// samples is a ring buffer; next is the position that is written next.
	samples [historyLength]loadSample
	next    int
}

// loadSample is the load from a time on.
type loadSample struct {
	at   time.Time
	load load
}

// record adds the load from a time on. Changes within one step share a sample.
func (h *history) record(at time.Time, l load) {
	last := &h.samples[(h.next+historyLength-1)%historyLength]
	if !last.at.IsZero() && at.Sub(last.at) < historyStep {
		last.load = l
		return
	}
	h.samples[h.next] = loadSample{at: at, load: l}
	h.next = (h.next + 1) % historyLength
}

// at returns the load at a time. Before the first sample it is zero; before the oldest
// that is still held, it is that sample's load.
func (h *history) at(t time.Time) load {
	for i := 1; i <= historyLength; i++ {
		m := &h.samples[(h.next+historyLength-i)%historyLength]
		if m.at.IsZero() {
			return load{}
		}
		if !m.at.After(t) {
			return m.load
		}
	}
	return h.samples[h.next].load
}
