package qfsettings_test

import (
	"strings"
	"testing"

	"quetzalfront/internal/qfsettings"
)

// FuzzParse checks that any text is either valid or has faults, and that each fault names a
// line of the document, a key and what was expected, in the order of the lines.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add(replaced("Insecure = true", ""))
	f.Add(validSettings + "[Peer]\nTimeout = '5'\nTimout = '5s'\n[Feed]\nLoadEvery = [\n1,\n2]\n")
	f.Add("[Node.ID]\nA = 1\n[Request.MaxTimeout]\n")
	f.Add("Node = {ID = 1, Seeds = ['x']}\n[Log]\nLevel = \"\"\"\nloud\n\"\"\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		settings, faults := qfsettings.Parse([]byte(text))
		lines := strings.Count(text, "\n") + 1
		last := 0
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Line < last || fault.Key == "" || fault.Expected == "" {
				t.Errorf("fault %+v after line %d, of %d lines", fault, last, lines)
			}
			last = fault.Line
		}
		if len(faults) == 0 && (settings.Node.ID == "" || settings.Peer.Timeout <= 0) {
			t.Errorf("settings without faults break a rule: %+v", settings)
		}
	})
}
