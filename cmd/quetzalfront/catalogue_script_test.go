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

// raceEdits OPERATORS BASE NAME FILE NAME FILE applies two files with the same base
// revision at once. Exactly one must be accepted, and the other refused with a conflict
// that names the operator of the first.
func raceEdits(ts *testscript.TestScript, _ bool, args []string) {
	operators := []string{args[2], args[4]}
	outputs := make([]bytes.Buffer, len(operators))
	var applies sync.WaitGroup
	for i, operator := range operators {
		program, err := exec.LookPath("quetzalfront")
		ts.Check(err)
		c := exec.Command(program, "catalogue", "apply", "--node", args[0], "--base-revision", args[1],
			"--operator", operator, ts.MkAbs(args[3+2*i]))
		c.Stdout = &outputs[i]
		applies.Go(func() { _ = c.Run() }) // The refused one exits with a failure.
	}
	applies.Wait()
	winner := 0
	if strings.Contains(outputs[1].String(), "Accepted") {
		winner = 1
	}
	want := fmt.Sprintf("conflict: %s changed assistant at revision", operators[winner])
	won, lost := outputs[winner].String(), outputs[1-winner].String()
	if !strings.Contains(won, "Accepted") || !strings.Contains(lost, want) || strings.Contains(lost, "Accepted") {
		ts.Fatalf("%s got %q, %s got %q", operators[0], outputs[0].String(), operators[1], outputs[1].String())
	}
}

// setTableFault ADDRESS Down | LoseAnswers | None sets the fault of the stand-in table
// service. LoseAnswers loses the responses to the next two writes.
func setTableFault(ts *testscript.TestScript, _ bool, args []string) {
	body := map[string]string{"Down": `{"Down":true}`, "LoseAnswers": `{"LoseAnswers":2}`, "None": `{}`}[args[1]]
	request, err := http.NewRequest(http.MethodPut, "http://"+args[0]+"/faults", strings.NewReader(body))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	ts.Check(response.Body.Close())
}
