package qfcatalogue

import (
	"fmt"
	"path"
	"strings"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfdocument"
)

// crossCheck checks the rules that involve several keys.
func (d *Document) crossCheck(data []byte) []qfdocument.Fault {
	index := qfdocument.NewLineIndex(data)
	var faults []qfdocument.Fault
	add := func(key, expected string) {
		faults = append(faults, qfdocument.Fault{Line: index.Line(key), Key: key, Expected: expected})
	}
	for i := range d.Entries {
		e := &d.Entries[i]
		at := fmt.Sprintf("Entries[%d].", i)
		e.checkVersions(at, add)
		e.checkCalls(at, add)
		e.checkLimits(at, add)
		e.Placement.check(at+"Placement.", add)
	}
	return faults
}

func (e *Entry) checkVersions(at string, add func(key, expected string)) {
	if len(e.Versions) > 0 && e.Target != "" && !e.HasVersion(e.Target) {
		add(at+"Target", fmt.Sprintf("expected one of the entry's Versions, not %q", e.Target))
	}
	// The decoder gives a time without an offset the location of this machine.
	if !e.MoveBy.IsZero() && e.MoveBy.Location() == time.Local {
		add(at+"MoveBy", "expected a time with its UTC offset, such as 2026-01-31T18:00:00Z; offices are in different time zones")
	}
	if e.Deadline > 0 && e.FirstTokenTarget >= e.Deadline {
		add(at+"FirstTokenTarget", "expected less than Deadline")
	}
}

func (e *Entry) checkCalls(at string, add func(key, expected string)) {
	if e.Kind == qf.KindModelEngine && len(e.OnceOnly) > 0 {
		add(at+"OnceOnly", "expected only for entries of kind PlainService")
	}
	seen := map[OnceOnlyCall]bool{}
	for i, c := range e.OnceOnly {
		if seen[c] {
			add(fmt.Sprintf("%sOnceOnly[%d]", at, i), "expected each call only once")
		}
		seen[c] = true
	}
}

func (e *Entry) checkLimits(at string, add func(key, expected string)) {
	seen := map[string]bool{}
	for i, l := range e.Limits {
		key := fmt.Sprintf("%sLimits[%d]", at, i)
		name := string(l.Organisation) + "/" + string(l.Class)
		if seen[name] {
			add(key, "expected one limit for each organisation and class")
		}
		seen[name] = true
		if l.Concurrency == 0 && l.RequestsPerSecond == 0 && l.TokensPerSecond == 0 && l.Weight == 0 {
			add(key, "expected a bound: Concurrency, RequestsPerSecond or TokensPerSecond, or a Weight")
		}
	}
}

func (p *Placement) check(at string, add func(key, expected string)) {
	if p.MaxReplicas > 0 && p.MaxReplicas < p.MinReplicas {
		add(at+"MaxReplicas", "expected at least MinReplicas")
	}
	if p.MaxTotalPricePerHour > 0 && p.MaxTotalPricePerHour < p.MaxPricePerHour*uint64(max(p.MinReplicas, 1)) {
		add(at+"MaxTotalPricePerHour", "expected at least MinReplicas times MaxPricePerHour")
	}
	seen := map[qf.Region]bool{}
	for _, region := range p.Regions {
		if seen[region] {
			add(at+"Regions", "expected each region only once")
			return
		}
		seen[region] = true
	}
}

// matchesPath reports whether a call's path is the prefix or lies below it. The path is
// cleaned first, so that "//permits" can't evade the rule.
func matchesPath(prefix, callPath string) bool {
	bare, _, _ := strings.Cut(callPath, "?")
	cleaned := path.Clean("/" + bare)
	trimmed := strings.TrimSuffix(prefix, "/")
	return cleaned == trimmed || strings.HasPrefix(cleaned, trimmed+"/")
}
