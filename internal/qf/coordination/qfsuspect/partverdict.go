package qfsuspect

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

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
		mayBlameOther := p.mayBlameOther(s, parts)
		dueAt := p.trialDue(s)
		if mayBlameOther {
			dueAt = s.splitDue()
		}
		if wait := dueAt.Sub(now); wait > 0 {
			verdict.Treatment, verdict.RetryAfter = TreatRefused, wait
			return verdict
		}
		if mayBlameOther {
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

// mayBlameOther reports whether the deaths under a refused part may be those of another refused part
// that isn't among the parts of a request: without them, too few count against it.
func (p *PartTracker) mayBlameOther(s *suspectPart, parts []uint64) bool {
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
// blame, may be tried: its end shows which of the two it is.
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
