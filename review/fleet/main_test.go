//go:build review

// Package fleet holds the scripts of the third review: it starts real node processes and stand-ins, and judges what clients, servers
// and the platform have seen.
package fleet

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases are the scripts by their names. Each returns what broke the rule, or nothing.
var cases = map[string]func(w *world, isTrouble bool) (broken []string, err error){
	"survivor": playSurvivor,
}

// TestMain runs a script: its arguments are the script's name and the path of its record.
func TestMain(*testing.M) { os.Exit(run()) }

const exitCannotRun = 2

// longest is how long a script may run.
const longest = 115 * time.Second

// closeWhenStopped ends the world's processes when the script is stopped, or runs for too long.
func closeWhenStopped(w *world) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		w.record.note("the script was stopped")
		w.close()
		os.Exit(exitCannotRun)
	}()
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "expected the name of a script and the path of its record")
		return exitCannotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.file.Close()
	isTrouble := os.Getenv("TROUBLE") != "0"
	r.note("script %s, with the disruption: %t", os.Args[1], isTrouble)
	w, err := newWorld(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer w.close()
	closeWhenStopped(w)
	broken, err := cases[os.Args[1]](w, isTrouble)
	if err != nil {
		r.note("the script couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	for _, b := range broken {
		r.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
