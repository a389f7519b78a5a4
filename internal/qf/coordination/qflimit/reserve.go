package qflimit

import "time"

// reserve is the share of a bucket that is set aside for nodes which this one doesn't hear. They may be cut off and spend
// it, as they set the rest aside.
type reserve struct {
	// units is what is set aside, part the part of the nodes for which it is, and since when that part isn't 0.
	units, part float64
	since       time.Time
}

// update sets the part of the nodes that aren't heard, and returns what the level of the bucket gains by that. It is
// negative if more is set aside: their share of the level, and of what all nodes may have used before it showed that
// they aren't heard.
func (r *reserve) update(now time.Time, level, part, usedBefore float64) (gain float64) {
	switch {
	case part > r.part:
		if r.part == 0 {
			r.since = now
		}
		used := usedBefore * (part - r.part)
		gain = -used - max(level-used, 0)*(part-r.part)/(1-r.part)
	case part < r.part:
		gain = r.units * (r.part - part) / r.part
	}
	r.units -= gain
	r.part = part
	return gain
}

// mostUsed returns the most that the nodes which aren't heard may have used in a window.
func (r *reserve) mostUsed(now time.Time, rate float64, window time.Duration) float64 {
	if r.part == 0 {
		return 0
	}
	return r.units + r.part*rate*min(now.Sub(r.since), window).Seconds()
}
