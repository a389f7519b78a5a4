package qfroute

import (
	"math"

	"quetzalfront/internal/qf"
)

// speed is the lasting speed of an endpoint: how many times as long as the mean of its version work takes there, without
// the noise of the machine. Figures are logarithms.
type speed struct {
	// own is what this node has measured, and samples its weight, at most speedSamples.
	own, samples float64
	// peers holds the measurements of other nodes, at most maxSpeedPeers.
	peers []peerSpeed
	// merged is the mean of own and peers, weighted by samples.
	merged float64
}

// peerSpeed is a peer's last measurement.
type peerSpeed struct {
	node          qf.NodeID
	mean, samples float64
}

const (
	// speedSamples bounds the weight of a measured speed, in answers.
	speedSamples = 64
	// speedPrior is the weight, in answers, of the assumption that an endpoint is as fast as the mean of its version.
	speedPrior = 2
	// maxSpeedRatio bounds lasting speeds, in both directions; what is beyond it counts as a deviation.
	maxSpeedRatio = 2.5
	// maxPeerSamples bounds the weight of all peers' measurements together, in answers.
	maxPeerSamples = 8
	// maxSpeedPeers bounds the peers whose measurements are kept for an endpoint.
	maxSpeedPeers = 16
)

// factor returns how many times as long as the mean of its version work takes.
func (s *speed) factor() float64 { return math.Exp(s.merged) }

// record records a measurement, as a logarithm; weight is the share of the measured time that depends on the speed.
func (s *speed) record(measured, weight float64) {
	bound := math.Log(maxSpeedRatio)
	s.samples = min(s.samples+weight, speedSamples)
	if s.samples > 0 {
		s.own += (min(max(measured, -bound), bound) - s.own) * weight / s.samples
	}
	s.merge()
}

// recordPeer records a peer's measurement in place of its last one.
func (s *speed) recordPeer(node qf.NodeID, mean, samples float64) {
	bound := math.Log(maxSpeedRatio)
	update := peerSpeed{node: node, mean: min(max(mean, -bound), bound), samples: min(max(samples, 0), speedSamples)}
	least := -1
	for i := range s.peers {
		if s.peers[i].node == node {
			s.peers[i] = update
			s.merge()
			return
		}
		if least < 0 || s.peers[i].samples < s.peers[least].samples {
			least = i
		}
	}
	if len(s.peers) < maxSpeedPeers {
		s.peers = append(s.peers, update)
	} else if s.peers[least].samples < update.samples {
		s.peers[least] = update
	}
	s.merge()
}

// merge updates the merged speed.
func (s *speed) merge() {
	sum, samples := 0.0, 0.0
	for i := range s.peers {
		sum += s.peers[i].mean * s.peers[i].samples
		samples += s.peers[i].samples
	}
	if weight := max(maxPeerSamples-s.samples, 0); samples > weight {
		sum *= weight / samples
		samples = weight
	}
	s.merged = (s.own*s.samples + sum) / (s.samples + samples + speedPrior)
}

// shift subtracts from all measurements, after the mean of the version has changed.
func (s *speed) shift(by float64) {
	s.own -= by
	for i := range s.peers {
		s.peers[i].mean -= by
	}
	s.merge()
}
