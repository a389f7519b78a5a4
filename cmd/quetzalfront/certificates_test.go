package main

import (
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"quetzalfront/internal/qf/transport/qftls"
	"quetzalfront/internal/standin/standca"
)

var roles = map[string]qftls.Role{"node": qftls.RoleNode, "operator": qftls.RoleOperator}

// writeCertificates ROLE... creates an authority and writes a certificate for each
// role to files named after the role.
func writeCertificates(ts *testscript.TestScript, _ bool, args []string) {
	now := time.Now()
	authority, err := standca.New(now)
	ts.Check(err)
	for _, name := range args {
		_, err := authority.IssueFiles(ts.MkAbs("."), name, roles[name], now.Add(time.Hour))
		ts.Check(err)
	}
}

// retry PROGRAM ARGS... runs a program repeatedly until it exits with 0.
func retry(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(waitLimit)
	for ts.Exec(args[0], args[1:]...) != nil {
		if time.Now().After(end) {
			ts.Fatalf("%v still failed after %s", args, waitLimit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitOutput PATTERN PROGRAM ARGS... runs a program repeatedly until it exits with 0
// and its output matches the pattern.
func awaitOutput(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	end := time.Now().Add(waitLimit)
	for {
		if ts.Exec(args[1], args[2:]...) == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%v never printed %s", args[1:], args[0])
		}
		time.Sleep(50 * time.Millisecond)
	}
}
