package main

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/bench/benchlimit"
	"quetzalfront/internal/bench/benchroute"
)

// measurement is a table that prints itself.
type measurement interface {
	Print(out io.Writer) error
}

func measureCommands() []*command {
	parent := flaggy.NewSubcommand("measure")
	parent.Description = "measure decisions on virtual time against their baselines"
	flaggy.AttachSubcommand(parent, 1)
	return []*command{
		measureCommand(parent, "routing", "print first token, cost and computed tokens of every router",
			func(seed uint64) measurement { return benchroute.Run(seed) }),
		measureCommand(parent, "limits", "print goodput and waits under overload",
			func(seed uint64) measurement { return benchlimit.Run(seed) }),
	}
}

func measureCommand(parent *flaggy.Subcommand, name, description string, measure func(seed uint64) measurement) *command {
	seed := uint64(1)
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.UInt64(&seed, "", "seed", "the seed of the workload")
	parent.AttachSubcommand(sub, 1)
	return &command{sub: sub, run: func(context.Context) int {
		if err := measure(seed).Print(os.Stdout); err != nil {
			return fail(err)
		}
		return exitOK
	}}
}
