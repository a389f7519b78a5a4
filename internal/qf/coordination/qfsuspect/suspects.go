// Package qfsuspect finds requests that crash the endpoints which run them. It
// does no I/O and reads no clock.
package qfsuspect

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
)

// Config governs a set of suspects.
type Config struct {
	// MaxDeaths is the number of endpoints' deaths after which a request is
	// refused.
	MaxDeaths int
	// ExpireAfter is how long a suspicion lasts after its latest news.
	ExpireAfter time.Duration
}

const (
	// breakWindow is how long before an endpoint's death an attempt there may have
	// broken to count as one that was in progress.
	breakWindow = 10 * time.Second
	// waveWindow is the time within which deaths in one availability zone that have
	// no request in common are taken for a wave.
	waveWindow = 2 * time.Second
	// maxSuspects and maxBreaks bound the memory; the oldest go.
	maxSuspects = 2048
	maxBreaks   = 2048
)

// suspect is what is known of one fingerprint. Both lists only grow.
type suspect struct {
	deaths, cleared []qf.EndpointID
	newsAt          time.Time
}

// brokenAttempt is an attempt that broke and may have killed its endpoint.
type brokenAttempt struct {
	fingerprint uint64
	endpoint    qf.EndpointID
	at          time.Time
}

// Death is the death of an endpoint that nobody announced.
type Death struct {
	Endpoint         qf.EndpointID
	AvailabilityZone qf.AvailabilityZone
}

// blamedDeath is a death with the fingerprints that it was blamed on.
type blamedDeath struct {
	Death
	at     time.Time
	blamed []uint64
	// settled is true once it is decided for good whether the death belongs to a
	// wave, and excused if it does.
	settled, excused bool
}

// Tracker holds the suspected requests of all entries. It isn't safe for
// concurrent use.
type Tracker struct {
	config   Config
	suspects *simplelru.LRU[uint64, *suspect]
	breaks   []brokenAttempt
	// deaths are those of the last time, oldest first.
	deaths []*blamedDeath
	// running counts the suspects in progress at each endpoint.
	running map[qf.EndpointID]int
}

// New returns an empty set.
func New(config Config) *Tracker {
	suspects, _ := simplelru.NewLRU[uint64, *suspect](maxSuspects, nil) // Fails only for a size below 1.
	return &Tracker{config: config, suspects: suspects, running: map[qf.EndpointID]int{}}
}

// HasSuspects reports whether any request is suspected.
func (s *Tracker) HasSuspects() bool { return s.suspects.Len() > 0 }

// RecordBrokenAttempt takes the news that an attempt ended without an answer, of which nothing
// proves that it didn't start.
func (s *Tracker) RecordBrokenAttempt(now time.Time, fingerprint uint64, endpoint qf.EndpointID) {
	s.breaks = append(s.breaks, brokenAttempt{fingerprint: fingerprint, endpoint: endpoint, at: now})
	if extra := len(s.breaks) - maxBreaks; extra > 0 {
		s.breaks = slices.Delete(s.breaks, 0, extra)
	}
}

// HasBrokenAttempt reports whether an attempt of this node broke at an endpoint of late. The
// death of one at which nothing broke tells this node nothing.
func (s *Tracker) HasBrokenAttempt(endpoint qf.EndpointID) bool {
	return slices.ContainsFunc(s.breaks, func(b brokenAttempt) bool { return b.endpoint == endpoint })
}

// RecordDeath takes the death of an endpoint and blames it on the requests that broke
// there, unless it belongs to a wave. A broken connection is no death. Telling of
// a death twice changes nothing but the requests that broke since. It reports
// whether there is something new to tell peers.
func (s *Tracker) RecordDeath(now time.Time, death Death) (isNews bool) {
	s.settleWaves(now)
	i := slices.IndexFunc(s.deaths, func(d *blamedDeath) bool { return d.Endpoint == death.Endpoint })
	if i < 0 {
		s.deaths = append(s.deaths, &blamedDeath{Death: death, at: now})
		i = len(s.deaths) - 1
	}
	d := s.deaths[i]
	for _, b := range s.breaks {
		isIn := b.endpoint == d.Endpoint && now.Sub(b.at) <= breakWindow
		if isIn && !d.excused && !slices.Contains(d.blamed, b.fingerprint) {
			d.blamed = append(d.blamed, b.fingerprint)
			s.blame(now, b.fingerprint, d.Endpoint)
			isNews = true
		}
	}
	s.breaks = slices.DeleteFunc(s.breaks, func(b brokenAttempt) bool { return b.endpoint == d.Endpoint })
	return isNews
}

func (s *Tracker) blame(now time.Time, fingerprint uint64, endpoint qf.EndpointID) {
	u, ok := s.suspects.Get(fingerprint)
	if !ok {
		u = &suspect{}
		s.suspects.Add(fingerprint, u)
	}
	u.newsAt = now
	if !slices.Contains(u.deaths, endpoint) {
		u.deaths = append(u.deaths, endpoint)
	}
}

// isInWave reports whether a death is close to others in its availability zone
// that have no request in common: the zone is being reclaimed. A request that was
// sent again within the zone may be common to some of them, but not to all.
func (s *Tracker) isInWave(d *blamedDeath) bool {
	var near []*blamedDeath
	for _, other := range s.deaths {
		if other.AvailabilityZone == d.AvailabilityZone && other.at.Sub(d.at).Abs() <= waveWindow {
			near = append(near, other)
		}
	}
	return len(near) > 1 && !haveCommon(near)
}

// settleWaves takes back the blame for the deaths of which it is now certain that
// they belong to a wave. Until then the news of a break may still come.
func (s *Tracker) settleWaves(now time.Time) {
	for _, d := range s.deaths {
		if d.settled || now.Sub(d.at) <= waveWindow {
			continue
		}
		d.settled = true
		if s.isInWave(d) {
			s.excuse(d)
		}
	}
	s.deaths = slices.DeleteFunc(s.deaths, func(d *blamedDeath) bool { return now.Sub(d.at) > breakWindow })
}

// open returns the deaths of which a suspect wasn't acquitted, those left out that
// seem to belong to a wave.
func (s *Tracker) open(u *suspect) []qf.EndpointID {
	var open []qf.EndpointID
	for _, e := range u.deaths {
		seemsExcused := slices.ContainsFunc(s.deaths, func(d *blamedDeath) bool {
			return d.Endpoint == e && !d.settled && s.isInWave(d)
		})
		if !seemsExcused && !slices.Contains(u.cleared, e) {
			open = append(open, e)
		}
	}
	return open
}

// haveCommon reports whether one fingerprint is blamed for all the deaths.
func haveCommon(deaths []*blamedDeath) bool {
	return slices.ContainsFunc(deaths[0].blamed, func(f uint64) bool {
		return !slices.ContainsFunc(deaths, func(d *blamedDeath) bool { return !slices.Contains(d.blamed, f) })
	})
}

func (s *Tracker) excuse(d *blamedDeath) {
	d.excused = true
	for _, f := range d.blamed {
		if u, ok := s.suspects.Peek(f); ok && !slices.Contains(u.cleared, d.Endpoint) {
			u.cleared = append(u.cleared, d.Endpoint)
		}
	}
}

// RecordAnnouncedStop takes the news that an endpoint's end was announced: it is no evidence.
func (s *Tracker) RecordAnnouncedStop(endpoint qf.EndpointID) {
	s.breaks = slices.DeleteFunc(s.breaks, func(b brokenAttempt) bool { return b.endpoint == endpoint })
	for _, d := range s.deaths {
		if d.Endpoint == endpoint {
			s.excuse(d)
		}
	}
}

// RecordAnswer acquits a request that got its whole answer.
func (s *Tracker) RecordAnswer(now time.Time, fingerprint uint64) (wasSuspect bool) {
	u := s.find(now, fingerprint)
	if u == nil {
		return false
	}
	open := s.open(u)
	u.cleared = append(u.cleared, open...)
	u.newsAt = now
	return len(open) > 0
}

// find returns the suspect, or nil if there is none or it expired.
func (s *Tracker) find(now time.Time, fingerprint uint64) *suspect {
	s.settleWaves(now)
	u, ok := s.suspects.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.Sub(u.newsAt) > s.config.ExpireAfter {
		s.suspects.Remove(fingerprint)
		return nil
	}
	return u
}
