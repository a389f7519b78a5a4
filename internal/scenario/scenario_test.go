package scenario

import (
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs every script in a synctest bubble of its own, in which time
// advances only while all goroutines are blocked.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/script/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				testscript.RunT(&inline{t}, testscript.Params{Files: []string{file}, Cmds: commands(t)})
			})
		})
	}
}

// inline makes testscript run its single script in the calling goroutine, because
// subtests are not allowed inside a synctest bubble.
type inline struct{ *testing.T }

func (i *inline) Run(_ string, f func(testscript.T)) { f(i) }

func (i *inline) Parallel() {}

func (i *inline) Verbose() bool { return testing.Verbose() }
