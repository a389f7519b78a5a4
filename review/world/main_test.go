//go:build review

// Package world plays the scripts of the review: a small deployment of real node processes on loopback
// addresses, with stand-ins of the platform, of replicas and of consumers. It is built by review/build.sh.
package world

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest ends a case that hangs.
const longest = 112 * time.Second

// cases holds the cases by name. Each reports whether the rule was broken, and why.
var cases = map[string]func(w *world) (isBroken bool, verdict string){
	"entries-lapse":  playEntriesLapse,
	"crash-pair":     playCrashPair,
	"ran-429":        playRan429,
	"second-order":   playSecondOrder,
	"spoilt-head":    playSpoiltHead,
	"bad-under-load": playBadUnderLoad,
}

// TestMain plays one case instead of tests.
func TestMain(*testing.M) { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "", "the file for the record")
	program := flag.String("program", "target/quetzalfront", "the program of the nodes")
	logs := flag.String("logs", "", "a folder to keep the logs of the nodes in")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNotRun
	}
	w, err := newWorld(*program, *record, *logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		w.note("stopped", "the case was stopped before its end")
		w.close()
		os.Exit(exitNotRun)
	}()
	isBroken, verdict := false, ""
	func() {
		defer func() {
			if failure := recover(); failure != nil {
				if _, isSetup := failure.(setupError); !isSetup {
					panic(failure)
				}
				verdict = fmt.Sprint("not run: ", failure)
			}
		}()
		isBroken, verdict = run(w)
		if !w.isSound() {
			verdict = "not run: a node ended by itself, or nothing was served: " + verdict
			isBroken = false
			w.hasFailed = true
		}
	}()
	w.note("verdict", verdict)
	fmt.Println(verdict)
	switch {
	case verdict == "" || w.hasFailed || len(verdict) > 7 && verdict[:7] == "not run":
		return exitNotRun
	case isBroken:
		return exitBroken
	default:
		return exitHeld
	}
}

// setupError ends a case that can't run.
type setupError struct{ error }

func must(err error) {
	if err != nil {
		panic(setupError{err})
	}
}
