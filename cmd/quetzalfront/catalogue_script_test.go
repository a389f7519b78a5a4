package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// raceEdits OPERATORS BASE NAME FILE NAME FILE applies two files on one base at
// once. Exactly one must be accepted, and the other told who won.
func raceEdits(ts *testscript.TestScript, _ bool, args []string) {
	operators := []string{args[2], args[4]}
	outputs := make([]bytes.Buffer, len(operators))
	var offices sync.WaitGroup
	for i, operator := range operators {
		program, err := exec.LookPath("quetzalfront")
		ts.Check(err)
		c := exec.Command(program, "catalogue", "apply", "--node", args[0], "--base-revision", args[1],
			"--operator", operator, ts.MkAbs(args[3+2*i]))
		c.Stdout = &outputs[i]
		offices.Go(func() { _ = c.Run() }) // The loser exits with a failure.
	}
	offices.Wait()
	winner := 0
	if strings.Contains(outputs[1].String(), "Accepted") {
		winner = 1
	}
	want := fmt.Sprintf("conflict: %s changed assistant at revision", operators[winner])
	won, lost := outputs[winner].String(), outputs[1-winner].String()
	if !strings.Contains(won, "Accepted") || !strings.Contains(lost, want) || strings.Contains(lost, "Accepted") {
		ts.Fatalf("%s was told %q, %s %q", operators[0], outputs[0].String(), operators[1], outputs[1].String())
	}
}

// tableFault ADDRESS Down | LoseAnswers | None sets the table service's fault.
func tableFault(ts *testscript.TestScript, _ bool, args []string) {
	body := map[string]string{"Down": `{"Down":true}`, "LoseAnswers": `{"LoseAnswers":2}`, "None": `{}`}[args[1]]
	request, err := http.NewRequest(http.MethodPut, "http://"+args[0]+"/faults", strings.NewReader(body))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	ts.Check(response.Body.Close())
}
