//go:build review

package world2

import (
	"fmt"
	"os"
	"testing"
)

// cases are the scripts' cases. Each returns whether the rule was broken.
var cases = map[string]func(w *world, hasTrouble bool) (isBroken bool, err error){
	"limit": playLimit, "killed-poison": playKilledPoison, "dark-poison": playDarkPoison, "brittle-poison": playBrittlePoison,
}

// TestMain plays one case: NAME and the path of the record are its arguments.
func TestMain(*testing.M) { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	const couldNotRun = 2
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-world-2 CASE RECORD")
		return couldNotRun
	}
	folder, err := os.MkdirTemp("", "review-world-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs:", folder)
	}
	w, err := newWorld(folder, args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer w.close()
	isBroken, err := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.write("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return couldNotRun
	case isBroken:
		return 1
	default:
		return 0
	}
}
