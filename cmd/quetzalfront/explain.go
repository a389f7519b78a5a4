package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/qfexplain"
)

func explainCommand() *command {
	var request, path string
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "print the decisions about a request from the nodes' logs"
	sub.AddPositionalValue(&request, "REQUEST", 1, true, "the request's identifier")
	sub.AddPositionalValue(&path, "FILE", 2, false, "the nodes' log; default: standard input")
	return &command{sub: sub, run: func(context.Context) int { return explain(request, path) }}
}

func explain(request, path string) int {
	log := os.Stdin
	if path != "" {
		file, err := os.Open(path) //nolint:gosec // The operator names the file.
		if err != nil {
			return fail(err)
		}
		defer file.Close() //nolint:errcheck // It was only read.
		log = file
	}
	found, err := qfexplain.Explain(os.Stdout, log, request)
	switch {
	case err != nil:
		return fail(err)
	case !found:
		return fail(fmt.Errorf("the log has no line of request %s", request))
	default:
		return exitOK
	}
}
