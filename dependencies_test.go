package quetzalfront

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	directLine = regexp.MustCompile(`(?m)^\t(\S+) v\S+$`)
	reasonLine = regexp.MustCompile(`(?m)^\| (\S+) \| \S.* \|$`)
)

// TestEveryDependencyHasAReason guards against a direct dependency in go.mod without a
// row in docs/DEPENDENCIES.md, and the reverse.
func TestEveryDependencyHasAReason(t *testing.T) {
	read := func(path string, line *regexp.Regexp) []string {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var modules []string
		for _, match := range line.FindAllStringSubmatch(string(data), -1) {
			if strings.Contains(match[1], ".") {
				modules = append(modules, match[1])
			}
		}
		slices.Sort(modules)
		return modules
	}
	direct, explained := read("go.mod", directLine), read("docs/DEPENDENCIES.md", reasonLine)
	if len(direct) == 0 || !slices.Equal(direct, explained) {
		t.Errorf("go.mod requires\n%s\ndocs/DEPENDENCIES.md explains\n%s", strings.Join(direct, "\n"), strings.Join(explained, "\n"))
	}
}
