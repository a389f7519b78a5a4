package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/standin/standworld"
)

func standinCommand() *command {
	var path string
	sub := flaggy.NewSubcommand("standin")
	sub.Description = "run stand-ins of the platform, engines and services"
	sub.String(&path, "f", "fleet", "the fleet file")
	return &command{sub: sub, run: func(ctx context.Context) int { return runStandin(ctx, path) }}
}

func runStandin(ctx context.Context, path string) int {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return fail(err)
	}
	fleet := &standworld.Fleet{}
	if faults := qfdocument.Decode(data, fleet); len(faults) > 0 {
		return printFaults(path, faults)
	}
	world := standworld.New(qftimer.NewWall(), qf.TCP())
	defer world.Close()
	table, cloud, err := world.Serve(fleet.TableAddress, fleet.CloudAddress)
	if err != nil {
		return fail(err)
	}
	objects, weights, err := world.ServeStores(fleet.ObjectsAddress, fleet.WeightsAddress)
	if err != nil {
		return fail(err)
	}
	if err := world.Populate(ctx, fleet); err != nil {
		return fail(err)
	}
	fmt.Printf("table %s\ncloud %s\nobjects %s\nweights %s\n", table, cloud, objects, weights)
	<-ctx.Done()
	return exitOK
}
