package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestDemoOnThePlatform runs the demo that a newcomer sees first on the users' platform.
func TestDemoOnThePlatform(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	if err := showPlatform(t.Context(), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(out.String(), "all promises held\n") {
		t.Errorf("the demo said %q", out.String())
	}
}
