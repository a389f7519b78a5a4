package quetzalfront

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wireName matches paths, headers and field names of the protocol of the users' platform.
var wireName = regexp.MustCompile(`/quetzalfront/(rows|blob|resolve|report|kv-|hold-|ready)|` +
	`X-(Response-Stamp|Expect-Instance|Deadline-Ms|Token-Counts|Prompt-Prefix|Duty-Holder|Fencing-Token|Not-Executed|Replica-Load|Tenant)|` +
	`"(heartbeat-ms|drain-ms|api-keys|slo-ms|expected-rev|cold-left-ms)"`)

// TestOnlyTheAdapterUsesWireNames guards against names of the platform's protocol outside
// the adapter in platform/. The stand-ins, which implement the same protocol, are exempt.
func TestOnlyTheAdapterUsesWireNames(t *testing.T) {
	isAdapter := false
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && path == "target" {
			return filepath.SkipDir // What is built there isn't part of the sources; the bench keeps copies of earlier ones.
		}
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
			t.Errorf("%s contains the wire name %q", path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if !isAdapter {
		t.Error("no wire name was found in the adapter, so the check can't fail")
	}
}
