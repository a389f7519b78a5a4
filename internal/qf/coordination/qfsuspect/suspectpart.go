package qfsuspect

import (
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

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
