package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/demo"
)

func demoCommand() *command {
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "run both deployments in this process, reclaim a zone, and check every answer"
	return &command{sub: sub, run: func(ctx context.Context) int {
		if err := demo.Run(ctx, os.Stdout); err != nil {
			return fail(err)
		}
		return exitOK
	}}
}
