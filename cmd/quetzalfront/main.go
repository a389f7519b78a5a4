// Command quetzalfront is a serving system on reclaimable VMs. It runs an entry node,
// edits the catalogue, prints reports, and runs stand-ins and a demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// The exit codes of every subcommand.
const (
	exitOK      = 0
	exitFailure = 1
	// exitUsage means invalid arguments or a document with faults.
	exitUsage = 2
)

// version is the version that "quetzalfront version" prints.
const version = "0.1.0"

// command is one subcommand.
type command struct {
	sub *flaggy.Subcommand
	// run returns the exit code.
	run func(ctx context.Context) int
}

func main() { os.Exit(run()) }

func run() int {
	flaggy.SetName("quetzalfront")
	flaggy.SetDescription("serving on reclaimable VMs")
	flaggy.SetVersion(version)
	commands := attachCommands()
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx)
		}
	}
	flaggy.ShowHelp("expected a subcommand")
	return exitUsage
}

// attachCommands registers all subcommands with flaggy and returns them in the order in
// which run looks for the one that was used.
func attachCommands() []*command {
	top := []*command{entryCommand(), nodeCommand(), standinCommand(), demoCommand(), loadCommand(), soakCommand(), explainCommand(), versionCommand()}
	for _, c := range top {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	// Inner subcommands come first, because flaggy marks their parents as used too.
	commands := append(catalogueCommands(), reportCommands()...)
	commands = append(commands, settingsCommands()...)
	commands = append(commands, measureCommands()...)
	return append(commands, top...)
}

func versionCommand() *command {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "print the version"
	return &command{sub: sub, run: func(context.Context) int {
		fmt.Println(version)
		return exitOK
	}}
}

// fail prints an error and returns the exit code for it.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, "quetzalfront:", err)
	return exitFailure
}
