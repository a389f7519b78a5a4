package main

import (
	"os"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
)

// TestEveryCommandHasAPage guards against a subcommand without a page in docs/commands,
// and a page that lacks an inner subcommand or the exit codes.
func TestEveryCommandHasAPage(t *testing.T) {
	attachCommands()
	for _, top := range flaggy.DefaultParser.Subcommands {
		data, err := os.ReadFile("../../docs/commands/" + top.Name + ".md")
		if err != nil {
			t.Error(err)
			continue
		}
		page := string(data)
		if !strings.Contains(strings.ToLower(page), "exit code") {
			t.Errorf("%s: the page lacks the exit codes", top.Name)
		}
		for _, inner := range top.Subcommands {
			if !strings.Contains(page, "quetzalfront "+top.Name+" "+inner.Name) {
				t.Errorf("%s: the page lacks %s", top.Name, inner.Name)
			}
		}
	}
}
