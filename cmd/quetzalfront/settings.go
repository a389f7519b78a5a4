package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/platform"
)

func settingsCommands() []*command {
	var path string
	parent := flaggy.NewSubcommand("settings")
	parent.Description = "check a node's settings"
	check := flaggy.NewSubcommand("check")
	check.Description = "check a settings file and explain every fault"
	check.AddPositionalValue(&path, "FILE", 1, true, "the settings file")
	parent.AttachSubcommand(check, 1)
	platformCheck := flaggy.NewSubcommand("platform")
	platformCheck.Description = "check a settings file that the users' platform wrote"
	platformCheck.AddPositionalValue(&path, "FILE", 1, true, "the settings file")
	parent.AttachSubcommand(platformCheck, 1)
	flaggy.AttachSubcommand(parent, 1)
	return []*command{
		{sub: check, run: func(context.Context) int { return checkSettings(path) }},
		{sub: platformCheck, run: func(context.Context) int { return checkPlatformSettings(path) }},
	}
}

func checkPlatformSettings(path string) int {
	if _, err := platform.LoadSettings(path); err != nil {
		fmt.Println(err)
		return exitUsage
	}
	fmt.Printf("%s: no faults\n", path)
	return exitOK
}

func checkSettings(path string) int {
	_, faults, err := qfsettings.Check(path)
	if err != nil {
		return fail(err)
	}
	return printFaults(path, faults)
}

// printFaults prints a document's faults and returns the exit code for them.
func printFaults(path string, faults []qfdocument.Fault) int {
	for _, f := range faults {
		fmt.Printf("%s: %s\n", path, f)
	}
	if len(faults) > 0 {
		return exitUsage
	}
	fmt.Printf("%s: no faults\n", path)
	return exitOK
}
