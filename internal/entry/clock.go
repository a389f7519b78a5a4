package entry

import (
	"slices"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// clockSampleFor is how long a peer's time counts.
const clockSampleFor = 10 * time.Second

// clock tells the time of day on which the nodes agree: the median of what they read
// at their starts. So neither a step of one machine's clock nor a pause of one machine
// moves it much.
type clock struct {
	mu sync.Mutex
	// base is the time of day at the start, with its monotonic reading.
	base    time.Time
	offset  time.Duration
	samples map[qf.NodeID]clockSample
}

type clockSample struct {
	offset time.Duration
	at     time.Time
}

func newClock(now time.Time) *clock {
	return &clock{base: now, samples: map[qf.NodeID]clockSample{}}
}

// own is the time of day by this node's start and its steady clock.
func (c *clock) own(now time.Time) time.Time {
	return c.base.Round(0).Add(now.Sub(c.base))
}

// agreed is the time of day by all nodes.
func (c *clock) agreed(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own(now).Add(c.offset)
}

// heard takes a peer's time.
func (c *clock) heard(now time.Time, node qf.NodeID, sentAt time.Time) {
	if sentAt.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[node] = clockSample{offset: sentAt.Sub(c.own(now)), at: now}
	offsets := []time.Duration{0}
	for id, sample := range c.samples {
		if now.Sub(sample.at) > clockSampleFor {
			delete(c.samples, id)
			continue
		}
		offsets = append(offsets, sample.offset)
	}
	slices.Sort(offsets)
	c.offset = offsets[len(offsets)/2]
}
