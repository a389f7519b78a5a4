// Package qfsuspect detects poison requests: those that crash the endpoints which
// run them. It does no I/O and reads no clock.
package qfsuspect

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
)

// Config holds the settings of a Tracker.
type Config struct {
	// MaxDeaths is the number of endpoint deaths after which a request is refused.
	MaxDeaths int
	// ExpireAfter is how long the suspicion of a request that isn't refused lasts after its last update.
	ExpireAfter time.Duration
	// TrialAfter is the time until a refused request is tried. Each trial that ends with another
	// death makes it trialBackoff times as long.
	TrialAfter time.Duration
}

const (
	// breakWindow is the longest time between a broken attempt and the death of its
	// endpoint for which the attempt counts as a possible cause.
	breakWindow = 10 * time.Second
	// waveWindow is the time within which deaths in one availability zone that have no
	// request in common may be a wave of reclaims.
	waveWindow = 2 * time.Second
	// forgetAfter is how long after its trial is due a refused request is forgotten that doesn't come again.
	forgetAfter = time.Hour
	// maxSuspects and maxBrokenAttempts bound the memory; the oldest are dropped first.
	maxSuspects       = 2048
	maxBrokenAttempts = 2048
)

// brokenAttempt is an attempt whose connection broke and which may have killed its
// endpoint.
type brokenAttempt struct {
	fingerprint uint64
	endpoint    qf.EndpointID
	at          time.Time
}

// Death is the end of an endpoint without a notice.
type Death struct {
	Endpoint         qf.EndpointID
	AvailabilityZone qf.AvailabilityZone
}

// blamedDeath is a death with the fingerprints that may have caused it.
type blamedDeath struct {
	Death
	at     time.Time
	blamed []uint64
	// settled is true once it is certain whether the death belongs to a wave;
	// dismissed is true if no request is to blame for it.
	settled, dismissed bool
}

// Tracker holds the suspected requests of all entries. It isn't safe for concurrent
// use.
type Tracker struct {
	config         Config
	suspects       *simplelru.LRU[uint64, *suspect]
	brokenAttempts []brokenAttempt
	// deaths holds the deaths of the last breakWindow, oldest first.
	deaths []*blamedDeath
	// running counts the suspects in progress at each endpoint.
	running map[qf.EndpointID]int
}

// New returns a tracker without suspects.
func New(config Config) *Tracker {
	suspects, _ := simplelru.NewLRU[uint64, *suspect](maxSuspects, nil) // Fails only for a size below 1.
	return &Tracker{config: config, suspects: suspects, running: map[qf.EndpointID]int{}}
}

// HasSuspects reports whether any request is suspected.
func (s *Tracker) HasSuspects() bool { return s.suspects.Len() > 0 }

// RecordBrokenAttempt records an attempt that ended without a response and may have
// started. One that began after the death of the endpoint was known can't have caused it; startedAt is
// zero if that isn't known.
func (s *Tracker) RecordBrokenAttempt(startedAt, now time.Time, fingerprint uint64, endpoint qf.EndpointID) {
	isAfterDeath := slices.ContainsFunc(s.deaths, func(d *blamedDeath) bool {
		return d.Endpoint == endpoint && !startedAt.Before(d.at)
	})
	if isAfterDeath {
		return
	}
	s.brokenAttempts = append(s.brokenAttempts, brokenAttempt{fingerprint: fingerprint, endpoint: endpoint, at: now})
	if extra := len(s.brokenAttempts) - maxBrokenAttempts; extra > 0 {
		s.brokenAttempts = slices.Delete(s.brokenAttempts, 0, extra)
	}
}

// HasBrokenAttempt reports whether an attempt of this node broke at an endpoint
// recently. If none did, the death of the endpoint concerns no request of this node.
func (s *Tracker) HasBrokenAttempt(endpoint qf.EndpointID) bool {
	return slices.ContainsFunc(s.brokenAttempts, func(b brokenAttempt) bool { return b.endpoint == endpoint })
}

// RecordDeath records the death of an endpoint and blames it on the attempts that
// broke there, unless it belongs to a reclaim wave. A broken connection alone isn't
// a death. Recording a death again only adds the attempts that broke since. It
// reports whether peers need an update.
func (s *Tracker) RecordDeath(now time.Time, death Death) (isNew bool) {
	s.settleWaves(now)
	i := slices.IndexFunc(s.deaths, func(d *blamedDeath) bool { return d.Endpoint == death.Endpoint })
	if i < 0 {
		s.deaths = append(s.deaths, &blamedDeath{Death: death, at: now})
		i = len(s.deaths) - 1
	}
	d := s.deaths[i]
	for _, b := range s.brokenAttempts {
		isCause := b.endpoint == d.Endpoint && now.Sub(b.at) <= breakWindow
		if isCause && !d.dismissed && !slices.Contains(d.blamed, b.fingerprint) {
			d.blamed = append(d.blamed, b.fingerprint)
			s.blame(now, b.fingerprint, d.Endpoint)
			isNew = true
		}
	}
	s.brokenAttempts = slices.DeleteFunc(s.brokenAttempts, func(b brokenAttempt) bool { return b.endpoint == d.Endpoint })
	return isNew
}

func (s *Tracker) blame(now time.Time, fingerprint uint64, endpoint qf.EndpointID) {
	u, ok := s.suspects.Get(fingerprint)
	if !ok {
		u = &suspect{}
		s.suspects.Add(fingerprint, u)
	}
	u.updatedAt = now
	if !slices.Contains(u.deaths, endpoint) {
		u.deaths = append(u.deaths, endpoint)
	}
	if u.blamedAt == nil {
		u.blamedAt = map[qf.EndpointID]time.Time{}
	}
	u.blamedAt[endpoint] = now
}

// findWave returns the deaths that are close to a death in its availability zone, this one
// included, if they have no request in common, and nil otherwise. The zone may be being reclaimed,
// or several requests crash endpoints at the same time. A request that was retried within the
// zone may be common to some of them, but not to all.
func (s *Tracker) findWave(d *blamedDeath) []*blamedDeath {
	var near []*blamedDeath
	for _, other := range s.deaths {
		if other.AvailabilityZone == d.AvailabilityZone && other.at.Sub(d.at).Abs() <= waveWindow {
			near = append(near, other)
		}
	}
	if len(near) < 2 || haveCommon(near) {
		return nil
	}
	return near
}

// isReclaim reports whether a wave is one of reclaims for certain: no request was in progress at
// some of its deaths.
func isReclaim(wave []*blamedDeath) bool {
	return slices.ContainsFunc(wave, func(d *blamedDeath) bool { return len(d.blamed) == 0 })
}

// settleWaves dismisses the deaths that belong to a wave of reclaims. In any other wave each
// request is blamed for one death only, because it may have been in progress there by chance.
// Until waveWindow has passed, a broken attempt may still be recorded for them.
func (s *Tracker) settleWaves(now time.Time) {
	for _, d := range s.deaths {
		if d.settled || now.Sub(d.at) <= waveWindow {
			continue
		}
		d.settled = true
		switch wave := s.findWave(d); {
		case wave == nil:
		case isReclaim(wave):
			s.dismiss(d)
		default:
			s.excuse(d, wave)
		}
	}
	s.deaths = slices.DeleteFunc(s.deaths, func(d *blamedDeath) bool { return now.Sub(d.at) > breakWindow })
}

// excuse clears the requests of the blame for a death that are also blamed for another death of
// its wave.
func (s *Tracker) excuse(d *blamedDeath, wave []*blamedDeath) {
	for _, f := range d.blamed {
		u, ok := s.suspects.Peek(f)
		isBlamedForOther := ok && slices.ContainsFunc(wave, func(other *blamedDeath) bool {
			return other != d && slices.Contains(other.blamed, f) && !slices.Contains(u.cleared, other.Endpoint)
		})
		if isBlamedForOther && !slices.Contains(u.cleared, d.Endpoint) {
			u.cleared = append(u.cleared, d.Endpoint)
		}
	}
}

// countedDeaths returns the deaths that count against a suspect: those that aren't cleared or
// expired, and of a wave that isn't settled yet none if it is one of reclaims, and one otherwise.
func (s *Tracker) countedDeaths(u *suspect) []qf.EndpointID {
	var counted []qf.EndpointID
	hasWave := map[qf.AvailabilityZone]bool{}
	for _, e := range u.deaths {
		if slices.Contains(u.cleared, e) || slices.Contains(u.expired, e) {
			continue
		}
		if wave := s.findUnsettledWave(e); wave != nil {
			zone := wave[0].AvailabilityZone
			if isReclaim(wave) || hasWave[zone] {
				continue
			}
			hasWave[zone] = true
		}
		counted = append(counted, e)
	}
	return counted
}

// findUnsettledWave returns the wave to which a death seems to belong, or nil.
func (s *Tracker) findUnsettledWave(endpoint qf.EndpointID) []*blamedDeath {
	i := slices.IndexFunc(s.deaths, func(d *blamedDeath) bool { return d.Endpoint == endpoint })
	if i < 0 || s.deaths[i].settled {
		return nil
	}
	return s.findWave(s.deaths[i])
}

// haveCommon reports whether one fingerprint is blamed for all the deaths.
func haveCommon(deaths []*blamedDeath) bool {
	return slices.ContainsFunc(deaths[0].blamed, func(f uint64) bool {
		return !slices.ContainsFunc(deaths, func(d *blamedDeath) bool { return !slices.Contains(d.blamed, f) })
	})
}

// dismiss clears all requests of the blame for a death.
func (s *Tracker) dismiss(d *blamedDeath) {
	d.dismissed = true
	for _, f := range d.blamed {
		if u, ok := s.suspects.Peek(f); ok && !slices.Contains(u.cleared, d.Endpoint) {
			u.cleared = append(u.cleared, d.Endpoint)
		}
	}
}

// RecordAnnouncedStop records that the end of an endpoint was announced, so that no
// request is blamed for it.
func (s *Tracker) RecordAnnouncedStop(endpoint qf.EndpointID) {
	s.brokenAttempts = slices.DeleteFunc(s.brokenAttempts, func(b brokenAttempt) bool { return b.endpoint == endpoint })
	for _, d := range s.deaths {
		if d.Endpoint == endpoint {
			s.dismiss(d)
		}
	}
}

// RecordAnswer clears a request that received its complete response. It reports
// whether the request was a suspect.
func (s *Tracker) RecordAnswer(now time.Time, fingerprint uint64) (wasSuspect bool) {
	u := s.lookUp(now, fingerprint)
	if u == nil {
		return false
	}
	wasSuspect = u.relapses > 0 || len(s.countedDeaths(u)) > 0
	u.cleared = union(u.cleared, s.countedDeaths(u))
	u.cleared = union(u.cleared, u.expired)
	u.burstTrialAt = time.Time{}
	u.endTrials()
	u.updatedAt = now
	return wasSuspect
}

// lookUp returns the suspect, or nil if there is none or it expired.
func (s *Tracker) lookUp(now time.Time, fingerprint uint64) *suspect {
	s.settleWaves(now)
	u, ok := s.suspects.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.Sub(u.changedAt()) > s.keepFor(u) {
		s.suspects.Remove(fingerprint)
		return nil
	}
	return u
}

// keepFor returns how long a suspicion is kept after its last change.
func (s *Tracker) keepFor(u *suspect) time.Duration {
	if counted := s.countedDeaths(u); s.isRefused(u, counted) {
		return s.trialDelay(u, counted) + forgetAfter
	}
	return s.config.ExpireAfter
}
