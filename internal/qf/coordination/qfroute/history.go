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
	// historyStep is the time for which one element of the history stands.
	historyStep = 100 * time.Millisecond
)

// history remembers the load that nodes had sent to an endpoint over the last
// seconds, so that a late report can be compared with the load of its time.
type history struct {
	// slots is a ring; next is the position that is written next.
	slots [historyLength]moment
	next  int
}

type moment struct {
	at   time.Time
	load load
}

// note keeps the load from a time on. Changes within one step share an element.
func (h *history) note(at time.Time, l load) {
	last := &h.slots[(h.next+historyLength-1)%historyLength]
	if !last.at.IsZero() && at.Sub(last.at) < historyStep {
		last.load = l
		return
	}
	h.slots[h.next] = moment{at: at, load: l}
	h.next = (h.next + 1) % historyLength
}

// at returns the load at a time; before the first element it is zero.
func (h *history) at(t time.Time) load {
	for i := 1; i <= historyLength; i++ {
		m := &h.slots[(h.next+historyLength-i)%historyLength]
		if m.at.IsZero() {
			return load{}
		}
		if !m.at.After(t) {
			return m.load
		}
	}
	return h.slots[h.next].load
}
