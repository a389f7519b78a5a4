package qfsuspect

import (
	"cmp"
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
	// clearedFor is how long peers are told that a part was cleared.
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

// suspectPart holds what is known of one part.
type suspectPart struct {
	// counted holds the deaths with the part in progress that no answer has cleared since, and
	// cleared the others. No death is in both. Both are at most maxPartDeaths long.
	counted, cleared []qf.DeathID
	// firstAt and lastAt are the times of the first and the latest counted death.
	firstAt, lastAt time.Time
	clearedAt       time.Time
	// trialAt is when a request with the part was last tried, trials the number of trials that
	// ended with another death.
	trialAt time.Time
	trials  int
	onTrial bool
	// hasOtherDeaths is true if, at the latest counted death, endpoints had died a short time
	// before without the part in progress: they crash for another reason too.
	hasOtherDeaths bool
	// splitAt, splits and onSplit are trialAt, trials and onTrial for requests without another
	// refused part that may be to blame. They are this node's own.
	splitAt time.Time
	splits  int
	onSplit bool
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
// whether peers need an update, because the endpoint is known to have died.
func (p *PartTracker) RecordBrokenAttempt(now time.Time, parts []uint64, death qf.DeathID) (isNew bool) {
	if len(parts) == 0 {
		return false
	}
	if diedAt, isDead := p.dead[death]; isDead && now.Sub(diedAt) <= breakWindow {
		return p.blame(now, parts, death)
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

func (s *suspectPart) count(now time.Time, death qf.DeathID) {
	if len(s.counted) == 0 {
		s.firstAt = now
	}
	s.counted, s.lastAt = appendBounded(s.counted, death), now
	if s.onTrial {
		s.onTrial = false
		s.trials++
	}
	if s.onSplit {
		s.onSplit = false
		s.splits++
	}
}

// clear moves deaths from the counted ones to the cleared ones.
func (s *suspectPart) clear(now time.Time, deaths ...qf.DeathID) {
	for _, d := range deaths {
		if !slices.Contains(s.cleared, d) {
			s.cleared = appendBounded(s.cleared, d)
			s.clearedAt = now
		}
	}
	s.counted = slices.DeleteFunc(s.counted, func(d qf.DeathID) bool { return slices.Contains(s.cleared, d) })
	if len(s.counted) == 0 {
		s.trials, s.onTrial = 0, false
		s.splits, s.onSplit = 0, false
	}
}

func appendBounded(list []qf.DeathID, death qf.DeathID) []qf.DeathID {
	list = append(list, death)
	if extra := len(list) - maxPartDeaths; extra > 0 {
		list = slices.Delete(list, 0, extra)
	}
	return list
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

// HasSuspects reports whether any part is suspected.
func (p *PartTracker) HasSuspects() bool { return p.parts.Len() > 0 }

// MayHaveCrashed reports whether a request whose attempt broke shouldn't be tried elsewhere,
// because an endpoint died with one of its parts in progress before.
func (p *PartTracker) MayHaveCrashed(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		s, ok := p.parts.Peek(part)
		return ok && len(s.counted) > 0
	})
}

// PartVerdict is the treatment of a request with the part that decided it.
type PartVerdict struct {
	Treatment Treatment
	Part      uint64
	// Deaths is the number of deaths that count against the part.
	Deaths int
	// RetryAfter is the time until a request with the part may be tried.
	RetryAfter time.Duration
}

// CheckParts returns the treatment of a request with these parts. TreatIsolated means that the
// request is the trial of a refused part; peers then need an update.
func (p *PartTracker) CheckParts(now time.Time, parts []uint64) PartVerdict {
	verdict := PartVerdict{Treatment: TreatNormally}
	var due, split []*suspectPart
	for _, part := range parts {
		s, ok := p.parts.Get(part)
		if !ok || len(s.counted) < p.config.MaxDeaths || p.isExplained(s) {
			continue
		}
		verdict.Part, verdict.Deaths = part, len(s.counted)
		mayBeOther := p.mayBeOther(s, parts)
		dueAt := p.trialDue(s)
		if mayBeOther {
			dueAt = s.splitDue()
		}
		if wait := dueAt.Sub(now); wait > 0 {
			verdict.Treatment, verdict.RetryAfter = TreatRefused, wait
			return verdict
		}
		if mayBeOther {
			split = append(split, s)
		} else {
			due = append(due, s)
		}
	}
	for _, s := range due {
		s.trialAt, s.onTrial = now, true
		verdict.Treatment = TreatIsolated
	}
	for _, s := range split {
		s.splitAt, s.onSplit = now, true
		verdict.Treatment = TreatIsolated
	}
	return verdict
}

// isExplained reports whether another part was in progress at all the deaths that count against
// a part and at more.
func (p *PartTracker) isExplained(s *suspectPart) bool {
	return slices.ContainsFunc(p.parts.Values(), func(other *suspectPart) bool {
		return len(other.counted) > len(s.counted) && containsAll(other.counted, s.counted)
	})
}

// isTied reports whether another part was in progress at just the same deaths.
func (p *PartTracker) isTied(s *suspectPart) bool {
	return slices.ContainsFunc(p.parts.Values(), func(other *suspectPart) bool {
		return other != s && len(other.counted) == len(s.counted) && containsAll(other.counted, s.counted)
	})
}

// mayBeOther reports whether a refused part may be blamed for the deaths of another refused part
// that isn't among the parts of a request: without them, too few count against it.
func (p *PartTracker) mayBeOther(s *suspectPart, parts []uint64) bool {
	return slices.ContainsFunc(p.parts.Keys(), func(part uint64) bool {
		other, _ := p.parts.Peek(part)
		if other == s || len(other.counted) < p.config.MaxDeaths || slices.Contains(parts, part) {
			return false
		}
		left := 0
		for _, d := range s.counted {
			if !slices.Contains(other.counted, d) {
				left++
			}
		}
		return left < p.config.MaxDeaths
	})
}

func containsAll(list, wanted []qf.DeathID) bool {
	return !slices.ContainsFunc(wanted, func(d qf.DeathID) bool { return !slices.Contains(list, d) })
}

// splitDue returns when a request with a refused part, but without another one that may be to
// blame, may be tried: its end tells the two apart.
func (s *suspectPart) splitDue() time.Time {
	return latest(s.lastAt, s.splitAt).Add(backOff(splitTrialDelay, s.splits))
}

// backOff returns the delay of a trial after a number of failed ones.
func backOff(delay time.Duration, failed int) time.Duration {
	for range failed {
		delay = min(delay*trialBackoff, maxTrialDelay)
	}
	return delay
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// trialDue returns when a request with a refused part may be tried.
func (p *PartTracker) trialDue(s *suspectPart) time.Time {
	isUnclear := s.lastAt.Sub(s.firstAt) < unclearSpan || s.hasOtherDeaths || p.isTied(s)
	delay := backOff(p.config.TrialAfter, s.trials)
	switch {
	case isUnclear && s.trials == 0:
		delay = p.config.UnclearTrialAfter
	case isUnclear:
		delay = backOff(p.config.TrialAfter, s.trials-1)
	}
	return latest(s.lastAt, s.trialAt).Add(delay)
}

// ListSuspicions returns the suspicions to send to peers: those with the most deaths first, and
// those that were cleared a short time ago.
func (p *PartTracker) ListSuspicions(now time.Time) []qf.PartSuspicion {
	return p.list(now, func(s *suspectPart) bool { return len(s.counted) > 0 || now.Sub(s.clearedAt) <= clearedFor })
}

// ListRefused returns the suspicions of the parts that are refused.
func (p *PartTracker) ListRefused(now time.Time) []qf.PartSuspicion {
	return p.list(now, func(s *suspectPart) bool { return len(s.counted) >= p.config.MaxDeaths && !p.isExplained(s) })
}

func (p *PartTracker) list(now time.Time, isListed func(s *suspectPart) bool) []qf.PartSuspicion {
	var list []qf.PartSuspicion
	for _, part := range p.parts.Keys() {
		s, _ := p.parts.Peek(part)
		if !isListed(s) {
			continue
		}
		n := qf.PartSuspicion{Part: part, Deaths: slices.Clone(s.counted), Cleared: slices.Clone(s.cleared), Trials: s.trials}
		if len(s.counted) > 0 {
			n.FirstAge, n.Age = now.Sub(s.firstAt), now.Sub(s.lastAt)
		}
		if !s.trialAt.IsZero() {
			n.TrialAge = now.Sub(s.trialAt)
		}
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b qf.PartSuspicion) int {
		return cmp.Or(cmp.Compare(len(b.Deaths), len(a.Deaths)), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part))
	})
	return list[:min(len(list), maxListedParts)]
}

// MergeSuspicions adds the suspicions that a peer sent, and returns the parts that got another
// death by it. It reports whether this node's own answers cleared any of them, so that peers
// need an update.
func (p *PartTracker) MergeSuspicions(now time.Time, suspicions []qf.PartSuspicion) (blamed []uint64, cleared bool) {
	p.recordPeerDeaths(now, suspicions)
	for i := range suspicions {
		n := &suspicions[i]
		s, ok := p.parts.Peek(n.Part)
		if !ok {
			s = &suspectPart{}
			p.parts.Add(n.Part, s)
		}
		before := len(s.counted)
		s.merge(now, n)
		if len(s.counted) > before {
			blamed = append(blamed, n.Part)
			s.hasOtherDeaths = p.hasDeathsWithout(now, s)
		}
		if len(s.counted) > 0 && p.isSound(now, n.Part) {
			cleared = cleared || len(s.counted) >= p.config.MaxDeaths-1
			s.clear(now, slices.Clone(s.counted)...)
		}
	}
	return blamed, cleared
}

// recordPeerDeaths records the deaths that a peer reports, so that all nodes judge by the same.
func (p *PartTracker) recordPeerDeaths(now time.Time, suspicions []qf.PartSuspicion) {
	p.forgetOldDeaths(now)
	for i := range suspicions {
		n := &suspicions[i]
		if n.Age > breakWindow {
			continue
		}
		for _, d := range n.Deaths {
			if _, isKnown := p.dead[d]; !isKnown {
				p.dead[d] = now.Add(-n.Age)
			}
		}
	}
}

func (s *suspectPart) merge(now time.Time, n *qf.PartSuspicion) {
	s.clear(now, n.Cleared...)
	first, last := now.Add(-n.FirstAge), now.Add(-n.Age)
	for _, d := range n.Deaths {
		if slices.Contains(s.counted, d) || slices.Contains(s.cleared, d) {
			continue
		}
		if len(s.counted) == 0 {
			s.firstAt, s.lastAt = first, last
		}
		s.counted = appendBounded(s.counted, d)
	}
	if len(s.counted) == 0 || len(n.Deaths) == 0 {
		return
	}
	if first.Before(s.firstAt) {
		s.firstAt = first
	}
	if last.After(s.lastAt) {
		s.lastAt = last
	}
	s.trials = max(s.trials, n.Trials)
	if at := now.Add(-n.TrialAge); n.TrialAge > 0 && at.After(s.trialAt) {
		s.trialAt = at
	}
}
