package main

import (
	"context"
	"os"
	"syscall"
	"testing"
)

// TestHangupWhileDraining ends the test process if a hangup that comes while a node drains isn't caught.
func TestHangupWhileDraining(t *testing.T) {
	hangups, stop := catchHangups()
	defer stop()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reloadOnHangup(ctx, hangups, nil, "")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-hangups
}
