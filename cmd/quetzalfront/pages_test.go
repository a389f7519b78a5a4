package main

import (
	"os"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
)

// TestEveryCommandHasAPage guards that docs/commands explains each subcommand, its
// inner ones and the exit codes.
func TestEveryCommandHasAPage(t *testing.T) {
	attachAll()
	for _, top := range flaggy.DefaultParser.Subcommands {
		data, err := os.ReadFile("../../docs/commands/" + top.Name + ".md")
		if err != nil {
			t.Error(err)
			continue
		}
		page := string(data)
		if !strings.Contains(strings.ToLower(page), "exit code") {
			t.Errorf("%s: the page doesn't name the exit codes", top.Name)
		}
		for _, inner := range top.Subcommands {
			if !strings.Contains(page, "quetzalfront "+top.Name+" "+inner.Name) {
				t.Errorf("%s: the page doesn't show %s", top.Name, inner.Name)
			}
		}
	}
}
