package qfsuspect

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalfront/internal/qf"
)

// PartConfig holds the settings of a PartTracker.
type PartConfig struct {
	// MaxDeaths is the number of endpoint deaths from which requests with a part are refused.
	MaxDeaths int
	// SoundFor is how long after an answer on a part no death is blamed on it: the same
	// part doesn't turn from sound to crashing between two answers.
	SoundFor time.Duration
	// UnclearTrialAfter and TrialAfter are the times until one request with a refused part is
	// tried: the first while other causes are as likely and no trial has ended with another
	// death. Each trial that does makes the latter trialBackoff times as long.
	UnclearTrialAfter, TrialAfter time.Duration
}

const (
	// trialBackoff and maxTrialDelay bound the trials of a part that keeps crashing endpoints.
	trialBackoff  = 4
	maxTrialDelay = time.Hour
	// splitTrialDelay is the time until a request is tried that has only one of two refused parts
	// which were in progress at the same deaths. By then those in progress have ended.
	splitTrialDelay = time.Second
	// unclearSpan is the time within which deaths may have one common cause, such as the loss of
	// a zone.
	unclearSpan = 2 * time.Second
	// clearedFor is how long a cleared part is still listed to peers.
	clearedFor = 10 * time.Second
	// maxParts and maxSoundParts bound the memory, maxPartDeaths the lists of one part, and
	// maxListedParts a message to a peer.
	maxParts       = 1024
	maxSoundParts  = 4096
	maxPartDeaths  = 16
	maxListedParts = 24
)

// PartFingerprint identifies a part of a prompt at an entry. Another entry's engines may be able
// to answer on it.
func PartFingerprint(entry qf.EntryName, part uint64) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + strconv.FormatUint(part, 16))
}

// IdentifyDeath returns the identifier of the end of one incarnation of an endpoint.
func IdentifyDeath(endpoint *qf.Endpoint) qf.DeathID {
	const halfBits = 32
	sum := xxhash.Sum64String(string(endpoint.ID) + "\x00" + strconv.FormatUint(uint64(endpoint.Incarnation), 16))
	return qf.DeathID(sum >> halfBits)
}

// IdentifyIncarnation returns a name for one incarnation of an endpoint, under which a Tracker counts its death.
func IdentifyIncarnation(endpoint *qf.Endpoint) qf.EndpointID {
	if endpoint.Incarnation == 0 {
		return endpoint.ID
	}
	return endpoint.ID + "@" + qf.EndpointID(strconv.FormatUint(uint64(endpoint.Incarnation), 10))
}

// brokenParts holds the parts of an attempt that ended without its answer.
type brokenParts struct {
	parts []uint64
	death qf.DeathID
	at    time.Time
}

// PartTracker finds the parts of prompts that crash the endpoints which begin to write an answer
// on them. A part is refused if endpoints died with it in progress, no answer on it was
// received since, and no other part is in progress at more of these deaths. It isn't safe
// for concurrent use.
type PartTracker struct {
	config PartConfig
	parts  *simplelru.LRU[uint64, *suspectPart]
	// sound holds when an answer on a part was last received.
	sound  *simplelru.LRU[uint64, time.Time]
	broken []brokenParts
	// dead holds the deaths of the last breakWindow.
	dead        map[qf.DeathID]time.Time
	forgottenAt time.Time
}

// NewPartTracker returns a tracker that suspects no part.
func NewPartTracker(config PartConfig) *PartTracker {
	parts, _ := simplelru.NewLRU[uint64, *suspectPart](maxParts, nil)   // Fails only for a size below 1.
	sound, _ := simplelru.NewLRU[uint64, time.Time](maxSoundParts, nil) // As above.
	return &PartTracker{config: config, parts: parts, sound: sound, dead: map[qf.DeathID]time.Time{}}
}

// RecordBrokenAttempt records the parts of an attempt that ended without its answer. It reports
// whether peers need an update, because the endpoint is known to have died. An attempt that began
// after the death was known can't have caused it.
func (p *PartTracker) RecordBrokenAttempt(startedAt, now time.Time, parts []uint64, death qf.DeathID) (isNew bool) {
	if len(parts) == 0 {
		return false
	}
	if diedAt, isDead := p.dead[death]; isDead && now.Sub(diedAt) <= breakWindow {
		return startedAt.Before(diedAt) && p.blame(now, parts, death)
	}
	p.broken = append(p.broken, brokenParts{parts: parts, death: death, at: now})
	if extra := len(p.broken) - maxBrokenAttempts; extra > 0 {
		p.broken = slices.Delete(p.broken, 0, extra)
	}
	return false
}

// RecordDeath records that an endpoint died, and blames the parts of the attempts that broke
// there. It returns the parts that got another death.
func (p *PartTracker) RecordDeath(now time.Time, death qf.DeathID) (blamed []uint64) {
	p.forgetOldDeaths(now)
	if _, isKnown := p.dead[death]; !isKnown {
		p.dead[death] = now
	}
	p.broken = slices.DeleteFunc(p.broken, func(b brokenParts) bool {
		if b.death == death && now.Sub(b.at) <= breakWindow {
			for _, part := range b.parts {
				if p.blame(now, []uint64{part}, death) {
					blamed = append(blamed, part)
				}
			}
		}
		return b.death == death || now.Sub(b.at) > breakWindow
	})
	return blamed
}

// forgetOldDeaths forgets the deaths for which no attempt will break any more.
func (p *PartTracker) forgetOldDeaths(now time.Time) {
	if now.Sub(p.forgottenAt) < time.Second {
		return
	}
	p.forgottenAt = now
	for d, at := range p.dead {
		if now.Sub(at) > breakWindow {
			delete(p.dead, d)
		}
	}
}

// RecordAnnouncedStop records that the end of an endpoint was announced, so that no part is
// blamed for it.
func (p *PartTracker) RecordAnnouncedStop(death qf.DeathID) {
	p.broken = slices.DeleteFunc(p.broken, func(b brokenParts) bool { return b.death == death })
}

// blame counts a death against parts, and reports whether any of them got it anew.
func (p *PartTracker) blame(now time.Time, parts []uint64, death qf.DeathID) (isNew bool) {
	for _, part := range parts {
		s, ok := p.parts.Get(part)
		if !ok {
			s = &suspectPart{}
			p.parts.Add(part, s)
		}
		if slices.Contains(s.counted, death) || slices.Contains(s.cleared, death) {
			continue
		}
		isNew = true
		if p.isSound(now, part) {
			s.clear(now, death)
			continue
		}
		s.count(now, death)
		s.hasOtherDeaths = p.hasDeathsWithout(now, s)
	}
	return isNew
}

// hasDeathsWithout reports whether an endpoint died a short time ago without a part in progress.
func (p *PartTracker) hasDeathsWithout(now time.Time, s *suspectPart) bool {
	for d, at := range p.dead {
		if now.Sub(at) <= breakWindow && !slices.Contains(s.counted, d) && !slices.Contains(s.cleared, d) {
			return true
		}
	}
	return false
}

// isSound reports whether an answer on a part was received recently.
func (p *PartTracker) isSound(now time.Time, part uint64) bool {
	answeredAt, ok := p.sound.Peek(part)
	return ok && now.Sub(answeredAt) <= p.config.SoundFor
}

// RecordAnswer clears the parts of a request that is being answered. It reports whether a part
// that may have been refused was cleared, so that peers need an update.
func (p *PartTracker) RecordAnswer(now time.Time, parts []uint64) (cleared bool) {
	for _, part := range parts {
		p.sound.Add(part, now)
		s, ok := p.parts.Peek(part)
		if !ok || len(s.counted) == 0 {
			continue
		}
		cleared = cleared || len(s.counted) >= p.config.MaxDeaths-1
		s.clear(now, slices.Clone(s.counted)...)
	}
	return cleared
}
