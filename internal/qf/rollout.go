package qf

import "time"

// RolloutPhase is the phase of a rollout.
type RolloutPhase string

// The phases of a rollout.
const (
	// RolloutRamping means that the new version's share grows in stages.
	RolloutRamping RolloutPhase = "Ramping"
	// RolloutWatching means that all traffic has moved and the old version is kept in
	// case of a rollback.
	RolloutWatching RolloutPhase = "Watching"
	// RolloutDone and RolloutRolledBack are final.
	RolloutDone       RolloutPhase = "Done"
	RolloutRolledBack RolloutPhase = "TakenBack"
)

// Route is a part of an entry's traffic on which versions are compared separately.
type Route struct {
	Organisation Organisation
	Region       Region
	Class        Class
	// OnceOnly separates the calls that may not be repeated.
	OnceOnly bool
}

// RouteProgress is the progress of a rollout on one route.
type RouteProgress struct {
	Route Route
	// First is the route's first share, from which its stages follow. It is 0
	// until the route's own traffic has set it.
	First float64
	// Stage counts the stages that the route has passed; Share is the new
	// version's share of its requests.
	Stage int
	Share float64
	// Dwelled is the time spent in the stage, and StageNew the number of finished
	// attempts at the new version in it.
	Dwelled  time.Duration
	StageNew uint64
	// New and Old count all finished attempts at either version.
	New, Old uint64
	// Rate is the route's recent rate of finished attempts per second.
	Rate float64
}

// RolloutPlan is the split of an entry's traffic between two versions. The holder of
// the entry's lease writes it to the table; nodes spread it by gossip. Of two plans,
// the one with the higher Generation, then the higher Step, replaces the other.
type RolloutPlan struct {
	Entry EntryName
	// From is the version known to be good, To the version under test. They are equal
	// if no traffic is to be moved.
	From, To Version
	// Generation rises with each rollout of the entry, Step with each change of
	// the plan.
	Generation uint64
	Step       uint64
	Phase      RolloutPhase
	// Revision is the catalogue revision that asks for the rollout.
	Revision Revision
	// FirstShare is the share of the first stage. It is 0 while traffic is only
	// measured.
	FirstShare float64
	// RestShare is the share of routes that aren't listed; once-only calls of such
	// routes stay with From until the rollout is done.
	RestShare float64
	// Routes lists the routes that had traffic. Those whose traffic ceased before the
	// versions could be compared stay listed after the rollout is done.
	Routes []RouteProgress
	// MoveBy is when traffic must have moved. Within is the time allowed for that, and
	// Elapsed the time used so far, counted only while the lease had an active holder.
	MoveBy  time.Time
	Within  time.Duration
	Elapsed time.Duration
	// WatchFor is how long From is kept after traffic has moved, Watched the part of it
	// that has passed.
	WatchFor time.Duration
	Watched  time.Duration
	// Baseline holds From's rate of events, by metric, once traffic has moved.
	Baseline []float64
	// Late is the reason why traffic won't have moved in time; it is empty if it will.
	Late string
	// Reason is a sentence on why the phase was entered.
	Reason string
	// Holder and Fencing belong to the lease under which the plan was written.
	Holder  NodeID
	Fencing FencingNumber
}

// IsNewerThan reports whether the plan replaces another one of its entry.
func (p *RolloutPlan) IsNewerThan(other *RolloutPlan) bool {
	if p.Generation != other.Generation {
		return p.Generation > other.Generation
	}
	return p.Step > other.Step
}

// IsActive reports whether versions are compared under the plan.
func (p *RolloutPlan) IsActive() bool {
	switch {
	case p.From == p.To, p.Phase == RolloutRolledBack:
		return false
	case p.Phase == RolloutDone:
		return len(p.Routes) > 0
	default:
		return true
	}
}

// Progress returns the route's progress, or nil.
func (p *RolloutPlan) Progress(route Route) *RouteProgress {
	for i := range p.Routes {
		if p.Routes[i].Route == route {
			return &p.Routes[i]
		}
	}
	return nil
}

// Share returns the new version's share of a route's requests.
func (p *RolloutPlan) Share(route Route) float64 {
	switch {
	case p.From == p.To:
		return 1
	case p.Phase == RolloutRolledBack:
		return 0
	}
	if progress := p.Progress(route); progress != nil {
		return progress.Share
	}
	if route.OnceOnly && p.Phase != RolloutDone {
		return 0
	}
	return p.RestShare
}

// RouteEvidence holds one node's measurements of a route under one generation. All
// of its numbers are sums since the node first received the generation.
type RouteEvidence struct {
	Route Route
	// New and Old count finished attempts. For each metric, NewJudged and OldJudged
	// count the attempts that could be judged, NewEvents and OldEvents the bad ones.
	New, Old             uint64
	NewJudged, OldJudged []uint64
	NewEvents, OldEvents []uint64
	// Scores are logarithms of likelihood ratios, by test and alternative.
	Scores []float64
}

// RolloutEvidence holds one node's measurements of a rollout.
type RolloutEvidence struct {
	Node        NodeID
	Incarnation Incarnation
	Entry       EntryName
	Generation  uint64
	Routes      []RouteEvidence
}
