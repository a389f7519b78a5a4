package qfcatalogue

import (
	"fmt"
	"path"
	"strings"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfdocument"
)

// crossCheck checks rules that span several keys.
func (d *Document) crossCheck(data []byte) []qfdocument.Fault {
	index := qfdocument.NewLineIndex(data)
	var faults []qfdocument.Fault
	add := func(key, expected string) {
		faults = append(faults, qfdocument.Fault{Line: index.Line(key), Key: key, Expected: expected})
	}
	for i := range d.Entries {
		e := &d.Entries[i]
		at := fmt.Sprintf("Entries[%d].", i)
		if !e.HasVersion(e.Target) {
			add(at+"Target", fmt.Sprintf("expected one of the entry's Versions, not %q", e.Target))
		}
		if e.Kind == qf.KindModelEngine && len(e.OnceOnly) > 0 {
			add(at+"OnceOnly", "expected only for entries of kind PlainService")
		}
		if e.Placement.MaxReplicas > 0 && e.Placement.MaxReplicas < e.Placement.MinReplicas {
			add(at+"Placement.MaxReplicas", "expected at least MinReplicas")
		}
		e.checkLimits(at, add)
	}
	return faults
}

func (e *Entry) checkLimits(at string, add func(key, expected string)) {
	seen := map[string]bool{}
	for i, l := range e.Limits {
		name := string(l.Organisation) + "/" + string(l.Class)
		if seen[name] {
			add(fmt.Sprintf("%sLimits[%d]", at, i), "expected one limit for each organisation and class")
		}
		seen[name] = true
	}
}

// matchesPath reports whether a call's path is the prefix or lies below it. The
// path is cleaned first, so that "//permits" can't slip past the rule.
func matchesPath(prefix, callPath string) bool {
	bare, _, _ := strings.Cut(callPath, "?")
	cleaned := path.Clean("/" + bare)
	trimmed := strings.TrimSuffix(prefix, "/")
	return cleaned == trimmed || strings.HasPrefix(cleaned, trimmed+"/")
}
