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
	var deployment string
	sub.String(&deployment, "d", "deployment", "Lahore or Lanka; both if not given")
	var onPlatform bool
	sub.Bool(&onPlatform, "p", "platform", "run entry nodes on a stand-in of the users' platform instead")
	return &command{sub: sub, run: func(ctx context.Context) int {
		if onPlatform {
			if err := runPlatformDemo(ctx, os.Stdout); err != nil {
				return fail(err)
			}
			return exitOK
		}
		if err := demo.Run(ctx, os.Stdout, deployment); err != nil {
			return fail(err)
		}
		return exitOK
	}}
}
