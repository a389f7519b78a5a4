// Command quetzalfront is a serving system on reclaimable VMs: it runs an entry
// node, edits the catalogue, prints reports, and brings stand-ins and a demo.
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
	// exitUsage stands for wrong arguments or a document with faults.
	exitUsage = 2
)

// version is the program's version.
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
	commands := attachAll()
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx)
		}
	}
	flaggy.ShowHelp("a subcommand is needed")
	return exitUsage
}

func attachAll() []*command {
	top := []*command{entryCommand(), nodeCommand(), standinCommand(), demoCommand(), loadCommand(), explainCommand(), versionCommand()}
	for _, c := range top {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	// Inner subcommands come first: a parent is marked as used as well.
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
