package main

import (
	"errors"
	"os/exec"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// expectExitCode CODE PROGRAM ARGS... runs a program and checks its exit code.
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		got = ended.ExitCode()
	} else if err != nil {
		ts.Fatalf("%s could not be run: %v", args[1], err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
