package qfsuspect

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// suspect holds what is recorded for one fingerprint. The lists only grow.
type suspect struct {
	deaths, cleared []qf.EndpointID
	// expired holds the deaths for which the request was refused until a trial. relapses counts the trials
	// since it was last answered, and trialAt is when any node began the latest; both are zero if all of expired
	// is cleared.
	expired  []qf.EndpointID
	relapses int
	trialAt  time.Time
	// updatedAt is the time of the latest death or answer.
	updatedAt time.Time
	// blamedAt holds when this node blamed the request for a death, burstTrialAt is when it last tried the request
	// although it is refused, because all deaths were close together.
	blamedAt     map[qf.EndpointID]time.Time
	burstTrialAt time.Time
}

// changedAt returns when the suspicion last changed.
func (u *suspect) changedAt() time.Time { return latest(u.updatedAt, u.trialAt) }

// endTrials forgets the trials once an answer has cleared the deaths before them.
func (u *suspect) endTrials() {
	isOpen := slices.ContainsFunc(u.expired, func(e qf.EndpointID) bool { return !slices.Contains(u.cleared, e) })
	if !isOpen {
		u.relapses, u.trialAt = 0, time.Time{}
	}
}

// describe returns the suspicion to send to peers.
func (u *suspect) describe(now time.Time, fingerprint uint64) qf.Suspicion {
	n := qf.Suspicion{
		Fingerprint: fingerprint, Deaths: slices.Clone(u.deaths), Cleared: slices.Clone(u.cleared), Age: now.Sub(u.updatedAt),
		Expired: slices.Clone(u.expired), Relapses: u.relapses,
	}
	if !u.trialAt.IsZero() {
		n.TrialAge = max(now.Sub(u.trialAt), 1) // 0 means never.
	}
	return n
}

// merge adds a suspicion that a peer sent.
func (u *suspect) merge(now time.Time, n *qf.Suspicion) {
	u.updatedAt = latest(u.updatedAt, now.Add(-n.Age))
	u.deaths = union(u.deaths, n.Deaths)
	u.cleared = union(u.cleared, n.Cleared)
	u.expired = union(u.expired, n.Expired)
	u.relapses = max(u.relapses, n.Relapses)
	if n.TrialAge > 0 {
		u.trialAt = latest(u.trialAt, now.Add(-n.TrialAge))
	}
	u.endTrials()
}

func union(known, added []qf.EndpointID) []qf.EndpointID {
	for _, e := range added {
		if !slices.Contains(known, e) {
			known = append(known, e)
		}
	}
	return known
}
