package qfsuspect

import (
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

// Describe returns the suspicion of a request as it is sent to peers, if there is one.
func (s *Tracker) Describe(now time.Time, fingerprint uint64) []qf.Suspicion {
	u := s.lookUp(now, fingerprint)
	if u == nil {
		return nil
	}
	return []qf.Suspicion{u.describe(now, fingerprint)}
}
