package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"quetzalfront/internal/node"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qfsettings"
)

func nodeCommand() *command {
	var path, pidFile string
	sub := flaggy.NewSubcommand("node")
	sub.Description = "run an entry node"
	sub.String(&path, "s", "settings", "the settings file")
	sub.String(&pidFile, "p", "pid-file", "a file to which the process identifier is written")
	return &command{sub: sub, run: func(ctx context.Context) int {
		if err := writePID(pidFile); err != nil {
			return fail(err)
		}
		return runNode(ctx, path)
	}}
}

const pidFileMode = 0o600

func writePID(path string) error {
	if path == "" {
		return nil
	}
	return os.WriteFile(path, []byte(strconv.Itoa(os.Getpid())), pidFileMode)
}

func runNode(ctx context.Context, path string) int {
	settings, err := qfsettings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzalfront:", err)
		return exitUsage
	}
	logger := newLogger(&settings.Log)
	seed := uint64(time.Now().UnixNano()) //nolint:gosec // Any bits will do.
	n := node.New(settings, node.Connect(settings, qftimer.NewWall(), qf.TCP(), logger, seed))
	if err := n.Start(); err != nil {
		return fail(err)
	}
	n.Wait(ctx)
	if settings.Node.SecondSignalAborts {
		abortOnSignal(n, &logger)
	}
	n.Stop("signal")
	n.Wait(context.Background())
	return exitOK
}

// abortOnSignal kills the node at the next signal. Without it, later signals have no
// effect, because the handler of the first one stays registered.
func abortOnSignal(n *node.Node, logger *zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		qfevent.NodeAborted.Log(logger, n.Self().ID)
		n.Kill()
	}()
}

func newLogger(settings *qfsettings.LogSettings) zerolog.Logger {
	level, err := zerolog.ParseLevel(settings.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	if settings.Format == "console" {
		return zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).Level(level).With().Timestamp().Logger()
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
}
