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
	// ExpireAfter is how long a suspicion lasts after its last update.
	ExpireAfter time.Duration
}

const (
	// breakWindow is the longest time between a broken attempt and the death of its
	// endpoint for which the attempt counts as a possible cause.
	breakWindow = 10 * time.Second
	// waveWindow is the time within which deaths in one availability zone that have no
	// request in common are taken for a wave of reclaims.
	waveWindow = 2 * time.Second
	// maxSuspects and maxBrokenAttempts bound the memory; the oldest are dropped first.
	maxSuspects       = 2048
	maxBrokenAttempts = 2048
)

// suspect holds what is recorded for one fingerprint. Both lists only grow.
type suspect struct {
	deaths, cleared []qf.EndpointID
	updatedAt       time.Time
}

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
}

// isInWave reports whether a death is close to others in its availability zone that
// have no request in common, which means that the zone is being reclaimed. A request
// that was retried within the zone may be common to some of them, but not to all.
func (s *Tracker) isInWave(d *blamedDeath) bool {
	var near []*blamedDeath
	for _, other := range s.deaths {
		if other.AvailabilityZone == d.AvailabilityZone && other.at.Sub(d.at).Abs() <= waveWindow {
			near = append(near, other)
		}
	}
	return len(near) > 1 && !haveCommon(near)
}

// settleWaves dismisses the deaths that certainly belong to a wave. Until waveWindow
// has passed, a broken attempt may still be recorded for them.
func (s *Tracker) settleWaves(now time.Time) {
	for _, d := range s.deaths {
		if d.settled || now.Sub(d.at) <= waveWindow {
			continue
		}
		d.settled = true
		if s.isInWave(d) {
			s.dismiss(d)
		}
	}
	s.deaths = slices.DeleteFunc(s.deaths, func(d *blamedDeath) bool { return now.Sub(d.at) > breakWindow })
}

// countedDeaths returns the deaths that count against a suspect: those that aren't
// cleared and don't seem to belong to a wave.
func (s *Tracker) countedDeaths(u *suspect) []qf.EndpointID {
	var counted []qf.EndpointID
	for _, e := range u.deaths {
		seemsDismissed := slices.ContainsFunc(s.deaths, func(d *blamedDeath) bool {
			return d.Endpoint == e && !d.settled && s.isInWave(d)
		})
		if !seemsDismissed && !slices.Contains(u.cleared, e) {
			counted = append(counted, e)
		}
	}
	return counted
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
	counted := s.countedDeaths(u)
	u.cleared = append(u.cleared, counted...)
	u.updatedAt = now
	return len(counted) > 0
}

// lookUp returns the suspect, or nil if there is none or it expired.
func (s *Tracker) lookUp(now time.Time, fingerprint uint64) *suspect {
	s.settleWaves(now)
	u, ok := s.suspects.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.Sub(u.updatedAt) > s.config.ExpireAfter {
		s.suspects.Remove(fingerprint)
		return nil
	}
	return u
}
