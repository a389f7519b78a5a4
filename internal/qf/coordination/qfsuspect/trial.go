package qfsuspect

import (
	"cmp"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

// isRefused reports whether a suspect is refused: MaxDeaths endpoints died with it in progress, or it was tried since
// and not answered.
func (s *Tracker) isRefused(u *suspect, counted []qf.EndpointID) bool {
	return u.relapses > 0 || len(counted) >= s.config.MaxDeaths
}

// trialDue returns when a refused request may be tried.
func (s *Tracker) trialDue(u *suspect, counted []qf.EndpointID) time.Time {
	return u.changedAt().Add(s.trialDelay(u, counted))
}

// trialDelay returns the time between the last change of a refused request's suspicion and its trial.
func (s *Tracker) trialDelay(u *suspect, counted []qf.EndpointID) time.Duration {
	failed := u.relapses
	if failed > 0 && len(counted) == 0 {
		failed-- // The end of the latest trial isn't known.
	}
	return backOff(s.config.TrialAfter, failed)
}

// ClaimTrial begins the trial of a request, and reports whether it may run. It may not while it is refused and its trial isn't
// due, which is so for all others that claim it once one has begun.
func (s *Tracker) ClaimTrial(now time.Time, fingerprint uint64) bool {
	u := s.lookUp(now, fingerprint)
	if u == nil {
		return true
	}
	counted := s.countedDeaths(u)
	if !s.isRefused(u, counted) {
		return true
	}
	if now.Before(s.trialDue(u, counted)) {
		return false
	}
	u.expired = union(u.expired, counted)
	u.relapses++
	u.trialAt = now
	return true
}

// MayHaveCrashed reports whether a request whose attempt broke shouldn't be tried elsewhere, because it is refused, or was until
// its trial.
func (s *Tracker) MayHaveCrashed(now time.Time, fingerprint uint64) bool {
	u := s.lookUp(now, fingerprint)
	return u != nil && s.isRefused(u, s.countedDeaths(u))
}

// ListOpen returns the suspicions with deaths that no answer has cleared: those of refused requests first, then those with
// the most deaths, then the latest, at most maxOpen.
func (s *Tracker) ListOpen(now time.Time) []qf.Suspicion {
	s.settleWaves(now)
	type open struct {
		suspicion qf.Suspicion
		isRefused bool
		counted   int
		changedAt time.Time
	}
	var list []open
	for _, f := range s.suspects.Keys() {
		u, _ := s.suspects.Peek(f)
		counted := s.countedDeaths(u)
		isRefused := s.isRefused(u, counted)
		if (isRefused || len(counted) > 0) && now.Sub(u.changedAt()) <= s.keepFor(u) {
			list = append(list, open{u.describe(now, f), isRefused, len(counted), u.changedAt()})
		}
	}
	slices.SortFunc(list, func(a, b open) int {
		switch {
		case a.isRefused != b.isRefused && a.isRefused:
			return -1
		case a.isRefused != b.isRefused:
			return 1
		}
		return cmp.Or(cmp.Compare(b.counted, a.counted), b.changedAt.Compare(a.changedAt))
	})
	suspicions := make([]qf.Suspicion, min(len(list), maxOpen))
	for i := range suspicions {
		suspicions[i] = list[i].suspicion
	}
	return suspicions
}

// maxOpen bounds what is kept outside the nodes.
const maxOpen = 64

// Describe returns the suspicion of a request as it is sent to peers, if there is one.
func (s *Tracker) Describe(now time.Time, fingerprint uint64) []qf.Suspicion {
	u := s.lookUp(now, fingerprint)
	if u == nil {
		return nil
	}
	return []qf.Suspicion{u.describe(now, fingerprint)}
}
