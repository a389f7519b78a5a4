package quetzalfront

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wireName finds paths, headers and tables of the users' platform.
var wireName = regexp.MustCompile(`/quetzalfront/(rows|blob|resolve|report|kv-|hold-|ready)|` +
	`X-(Response-Stamp|Expect-Instance|Deadline-Ms|Token-Counts|Prompt-Prefix|Duty-Holder|Fencing-Token|Not-Executed|Replica-Load|Tenant)|` +
	`"(heartbeat-ms|drain-ms|api-keys|slo-ms|expected-rev|cold-left-ms)"`)

// TestOnlyTheAdapterKnowsWireNames guards that the platform's names stay in one folder.
// The stand-ins speak its protocol too.
func TestOnlyTheAdapterKnowsWireNames(t *testing.T) {
	isAdapter := false
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		found := wireName.FindString(string(data))
		switch {
		case strings.HasPrefix(path, "platform"+string(filepath.Separator)):
			isAdapter = isAdapter || found != ""
		case strings.HasPrefix(path, filepath.Join("internal", "standin")):
		case found != "":
			t.Errorf("%s knows %q", path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if !isAdapter {
		t.Error("the check finds no wire name in the adapter, so that it can't fail")
	}
}
