package qfroute

import (
	"math"
	"time"

	"quetzalfront/internal/qf"
)

const (
	// maxReportedSpeeds bounds the endpoints in one report of speeds to peers.
	maxReportedSpeeds = 64
	// minReportedSamples is the least weight, in answers, of a measurement that is reported.
	minReportedSamples = 4
)

// ReportSpeeds implements qf.Router. It reports only what this node has measured itself, so that no measurement counts
// twice. Of more endpoints than a report holds, it begins with a drawn one.
func (p *Predictive) ReportSpeeds(now time.Time) []qf.EndpointSpeed {
	p.tick(now)
	if !p.hasUneven {
		return nil
	}
	first := 0
	if len(p.listed) > maxReportedSpeeds {
		first = p.random.IntN(len(p.listed))
	}
	var speeds []qf.EndpointSpeed
	for i := range p.listed {
		e := p.endpoints[p.listed[(first+i)%len(p.listed)].ID]
		s := &e.timing.speed
		if !e.pool.isUneven || s.samples < minReportedSamples {
			continue
		}
		speeds = append(speeds, qf.EndpointSpeed{
			Endpoint: e.ID, Incarnation: e.Incarnation, Slowdown: math.Exp(s.own), Samples: int(s.samples),
		})
		if len(speeds) == maxReportedSpeeds {
			break
		}
	}
	return speeds
}

// RecordPeerSpeeds implements qf.Router.
func (p *Predictive) RecordPeerSpeeds(node qf.NodeID, speeds []qf.EndpointSpeed) {
	for _, s := range speeds[:min(len(speeds), maxReportedSpeeds)] {
		e := p.endpoints[s.Endpoint]
		if e == nil || e.Incarnation != s.Incarnation || !(s.Slowdown > 0) || math.IsInf(s.Slowdown, 0) || s.Samples <= 0 {
			continue
		}
		e.timing.speed.recordPeer(node, math.Log(s.Slowdown), float64(s.Samples))
	}
}
