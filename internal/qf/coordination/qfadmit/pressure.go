// Package qfadmit decides from measured times to first token whether a request can be served
// in time, and whether more endpoints are needed. It does no I/O and reads no clock.
package qfadmit

import (
	"math"
	"time"
)

const (
	// pressureWindow is the time constant of the moving average.
	pressureWindow = 2 * time.Second
	// highPressure is the pressure above which more endpoints are needed.
	highPressure = 0.4
	// pressureSamples bounds the weight of a new sample from below, to one over this number,
	// so that first tokens in quick succession still move the average.
	pressureSamples = 16
)

// Pressure is the moving average of the time to first token as a share of its objective.
// It isn't safe for concurrent use.
type Pressure struct {
	// mean is the average as of at.
	mean float64
	at   time.Time
}

// RecordFirstToken adds a measured time to first token.
func (p *Pressure) RecordFirstToken(at time.Time, took, objective time.Duration) {
	if objective <= 0 {
		return
	}
	keep := math.Exp(-at.Sub(p.at).Seconds() / pressureWindow.Seconds())
	weight := max(1-keep, 1.0/pressureSamples)
	p.mean += (float64(took)/float64(objective) - p.mean) * weight
	p.at = at
}

// IsHigh reports whether more endpoints are needed. Without recent first tokens it is false.
func (p *Pressure) IsHigh(now time.Time) bool {
	return p.mean > highPressure && now.Sub(p.at) < 2*pressureWindow
}
