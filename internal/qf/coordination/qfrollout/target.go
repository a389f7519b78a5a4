// Package qfrollout splits traffic between the versions of an entry and judges
// them. It does no I/O and reads no clock.
package qfrollout

import "quetzalfront/internal/qf"

// TargetOnly sends all traffic to the target version at once. It is a baseline for
// comparisons.
type TargetOnly struct {
	targets map[qf.EntryName]qf.Version
	stops   map[qf.EntryName]qf.RolloutStop
}

// NewTargetOnly returns a chooser without targets.
func NewTargetOnly() *TargetOnly {
	return &TargetOnly{
		targets: map[qf.EntryName]qf.Version{},
		stops:   map[qf.EntryName]qf.RolloutStop{},
	}
}

// SetTarget sets an entry's target version.
func (t *TargetOnly) SetTarget(entry qf.EntryName, version qf.Version) { t.targets[entry] = version }

// ChooseVersion implements qf.VersionChooser.
func (t *TargetOnly) ChooseVersion(query qf.VersionQuery) (qf.Version, qf.Reason) {
	return t.targets[query.Entry], qf.Reason{Rule: "TargetOnly"}
}

// RecordObservation implements qf.VersionChooser.
func (t *TargetOnly) RecordObservation(qf.Observation) {}

// ApplyStop implements qf.VersionChooser.
func (t *TargetOnly) ApplyStop(stop qf.RolloutStop) bool {
	if t.stops[stop.Entry].Epoch >= stop.Epoch {
		return false
	}
	t.stops[stop.Entry] = stop
	return true
}

// ListStops implements qf.VersionChooser.
func (t *TargetOnly) ListStops() []qf.RolloutStop {
	stops := make([]qf.RolloutStop, 0, len(t.stops))
	for _, s := range t.stops {
		stops = append(stops, s)
	}
	return stops
}
