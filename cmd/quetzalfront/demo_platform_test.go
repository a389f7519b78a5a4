package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestPlatformDemo guards against a failure of the demo of entry nodes on a stand-in of
// the users' platform.
func TestPlatformDemo(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	if err := runPlatformDemo(t.Context(), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(out.String(), "all promises held\n") {
		t.Errorf("the demo printed %q", out.String())
	}
}
