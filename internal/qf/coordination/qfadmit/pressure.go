// Package qfadmit decides from what first tokens took whether more requests can be served in
// time, and whether more endpoints are needed. It does no I/O and reads no clock.
package qfadmit

import (
	"math"
	"time"
)

const (
	// pressureWindow is the time over which the pressure is averaged.
	pressureWindow = 2 * time.Second
	// pressed is the pressure from which on more endpoints are needed.
	pressed = 0.4
	// pressureSamples bounds the weight of the past by a number of first tokens.
	pressureSamples = 16
)

// Pressure is how late first tokens are, as a share of their objective. It isn't safe for
// concurrent use.
type Pressure struct {
	// mean is as of at.
	mean float64
	at   time.Time
}

// RecordFirstToken averages how late a first token was.
func (p *Pressure) RecordFirstToken(at time.Time, took, objective time.Duration) {
	if objective <= 0 {
		return
	}
	keep := math.Exp(-at.Sub(p.at).Seconds() / pressureWindow.Seconds())
	weight := max(1-keep, 1.0/pressureSamples)
	p.mean += (float64(took)/float64(objective) - p.mean) * weight
	p.at = at
}

// IsHigh reports whether first tokens come late enough that more endpoints are needed.
func (p *Pressure) IsHigh(now time.Time) bool {
	return p.mean > pressed && now.Sub(p.at) < 2*pressureWindow
}
