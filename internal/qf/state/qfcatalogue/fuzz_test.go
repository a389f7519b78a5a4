package qfcatalogue_test

import (
	"strings"
	"testing"

	fixtures "quetzalfront"
	"quetzalfront/internal/qf/state/qfcatalogue"
)

// FuzzParse checks that any text is either rejected with complete faults or parsed to a
// document that is the same after it was encoded and parsed again.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"lahore", "lanka"} {
		data, err := fixtures.Fixtures.ReadFile("_fixtures/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(data))
	}
	f.Add("[[Entries]]\nName = 'a'\n[[Entries]]\nName = 'a'\nKind = 'X'\n[[Entries.Limits]]\nWeight = -1\n")
	f.Add("[[Entries]]\n[[Entries.Versions]]\nName = ''\n[Entries.Placement]\nMinReplicas = 3\nMaxReplicas = 2\n")
	f.Fuzz(func(t *testing.T, text string) {
		document, faults := qfcatalogue.Parse([]byte(text))
		lines := strings.Count(text, "\n") + 1
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Key == "" || fault.Expected == "" {
				t.Errorf("fault %+v of %d lines", fault, lines)
			}
		}
		if len(faults) > 0 {
			return
		}
		written, err := document.TOML()
		if err != nil {
			t.Fatal(err)
		}
		again, faults := qfcatalogue.Parse([]byte(written))
		if len(faults) > 0 {
			t.Fatalf("the encoded document has faults: %v in\n%s", faults, written)
		}
		if rewritten, err := again.TOML(); err != nil || rewritten != written || len(again.Entries) != len(document.Entries) {
			t.Errorf("the document changed (%v):\n%s\n%s", err, written, rewritten)
		}
	})
}
