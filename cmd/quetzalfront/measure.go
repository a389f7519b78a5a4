package main

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/bench/benchfleet"
	"quetzalfront/internal/bench/benchlimit"
	"quetzalfront/internal/bench/benchrollout"
	"quetzalfront/internal/bench/benchroute"
)

// measurement is the result of a benchmark.
type measurement interface {
	Print(out io.Writer) error
}

func measureCommands() []*command {
	parent := flaggy.NewSubcommand("measure")
	parent.Description = "compare decisions with their baselines in virtual time"
	flaggy.AttachSubcommand(parent, 1)
	return []*command{
		measureCommand(parent, "routing", "print first token, cost and computed tokens of every router",
			func(seed uint64) measurement { return benchroute.Run(seed) }),
		measureCommand(parent, "limits", "print goodput and waits under overload",
			func(seed uint64) measurement { return benchlimit.Run(seed) }),
		measureCommand(parent, "fleet", "print price and shortage of every fleet plan over a day",
			func(seed uint64) measurement { return benchfleet.Run([]uint64{seed}) }),
		measureCommand(parent, "rollouts", "print exposure and time of every rollout policy; the seed is the number of rollouts of each kind",
			func(seed uint64) measurement { return rolloutTable{benchrollout.Run(int(min(seed, maxRollouts)))} }),
	}
}

// rolloutTable adapts the result of the rollout benchmark to measurement.
type rolloutTable struct{ result benchrollout.Result }

// Print implements measurement.
func (t rolloutTable) Print(out io.Writer) error {
	_, err := io.WriteString(out, t.result.Text())
	return err
}

// maxRollouts is the maximum number of rollouts of each kind and deployment.
const maxRollouts = 50

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
