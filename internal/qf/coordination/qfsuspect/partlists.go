package qfsuspect

import (
	"cmp"
	"slices"
	"time"

	"quetzalfront/internal/qf"
)

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
