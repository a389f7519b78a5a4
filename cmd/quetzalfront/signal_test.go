package main

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// sendSignal NAME FILE sends a signal to the process whose identifier is in the file. It
// waits until the node has written the file.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(waitLimit)
	for time.Now().Before(end) {
		text, err := os.ReadFile(ts.MkAbs(args[1]))
		pid, convErr := strconv.Atoi(strings.TrimSpace(string(text)))
		if err == nil && convErr == nil {
			ts.Check(syscall.Kill(pid, signals[args[0]]))
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	ts.Fatalf("no process identifier in %s", args[1])
}
