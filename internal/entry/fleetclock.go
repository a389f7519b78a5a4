package entry

import (
	"slices"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// clockSampleExpiry is the age at which a peer's time sample is dropped.
const clockSampleExpiry = 10 * time.Second

// fleetClock estimates a common time of day: the median of the nodes' clocks, each read at
// the node's start and advanced monotonically. A step of one machine's clock or a pause of
// one machine therefore moves it little.
type fleetClock struct {
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

func newFleetClock(now time.Time) *fleetClock {
	return &fleetClock{base: now, samples: map[qf.NodeID]clockSample{}}
}

// localTime returns the time of day at this node's start plus the monotonic time since.
func (c *fleetClock) localTime(now time.Time) time.Time {
	return c.base.Round(0).Add(now.Sub(c.base))
}

// fleetTime returns the median time of day of the nodes.
func (c *fleetClock) fleetTime(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.localTime(now).Add(c.offset)
}

// recordPeerTime records the time in a peer's message and updates the median.
func (c *fleetClock) recordPeerTime(now time.Time, node qf.NodeID, sentAt time.Time) {
	if sentAt.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[node] = clockSample{offset: sentAt.Sub(c.localTime(now)), at: now}
	offsets := []time.Duration{0}
	for id, sample := range c.samples {
		if now.Sub(sample.at) > clockSampleExpiry {
			delete(c.samples, id)
			continue
		}
		offsets = append(offsets, sample.offset)
	}
	slices.Sort(offsets)
	c.offset = offsets[len(offsets)/2]
}
