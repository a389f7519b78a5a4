package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"quetzalfront/internal/entry"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfrpc"
	"quetzalfront/internal/qf/transport/qftelemetry"
	"quetzalfront/platform"
)

const (
	// logLines is the number of log lines that may wait for their reader.
	logLines = 4096
	// peerTimeout bounds a call to a peer; the longest way there and back is 60 ms.
	peerTimeout = 800 * time.Millisecond
	// silentAfter is how long data may stay without an acknowledgement before the
	// connection counts as lost.
	silentAfter = 2 * time.Second
	// dialTimeout bounds the opening of a connection. It is below the first repeat of a
	// lost packet, so that a new try is the faster way once the other end is back.
	dialTimeout = 600 * time.Millisecond
	// probeEvery is the time between probes of an idle connection.
	probeEvery = time.Second
	probeCount = 3
	// tcpUserTimeout is the number of the socket option, which package syscall lacks.
	tcpUserTimeout = 18
)

func entryCommand() *command {
	path := os.Getenv(platform.SettingsVariable)
	sub := flaggy.NewSubcommand("entry")
	sub.Description = "run an entry node on the users' platform"
	sub.String(&path, "s", "settings", "the platform's settings file; "+platform.SettingsVariable+" names it otherwise")
	return &command{sub: sub, run: func(ctx context.Context) int { return runEntry(ctx, path) }}
}

func runEntry(ctx context.Context, path string) int {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzalfront:", err)
		return exitUsage
	}
	logger, closeLog := newBoundedLogger()
	defer closeLog()
	timer := qftimer.NewWall()
	telemetry, err := qftelemetry.New(qftelemetry.Config{
		Node: settings.Deployment.Self.ID, AvailabilityZone: settings.Deployment.Self.AvailabilityZone, Timer: timer,
	})
	if err != nil {
		return fail(err)
	}
	joined := connect(settings, timer, logger)
	joined.Telemetry = telemetry
	e := entry.New(settings.Deployment, joined)
	if err := e.Start(ctx); err != nil {
		return fail(err)
	}
	reloadOnHangUp(ctx, e, path)
	e.Stop(context.Background())
	return exitOK
}

// reloadOnHangUp reads the settings again at each SIGHUP until the context ends.
func reloadOnHangUp(ctx context.Context, e *entry.Entry, path string) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			settings, err := platform.LoadSettings(path)
			if err != nil {
				e.LogReloadError(err)
				continue
			}
			e.Reload(&settings.Deployment)
		}
	}
}

// newBoundedLogger returns a logger that never waits for its reader: lines beyond
// what is kept for it are left out and counted.
func newBoundedLogger() (zerolog.Logger, func()) {
	var logger zerolog.Logger
	writer := diode.NewWriter(os.Stdout, logLines, 0, func(missed int) {
		plain := zerolog.New(os.Stdout)
		qfevent.LinesLeftOut.Log(&plain, missed)
	})
	logger = zerolog.New(writer).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	return logger, func() { _ = writer.Close() } // What is left is written first.
}

func connect(settings *platform.Settings, timer qf.Clock, logger zerolog.Logger) entry.Platform {
	network := watchfulNetwork()
	store := platform.NewStore(settings.Store, entry.MaxPollTimeout, network.Dial)
	peers := qfrpc.NewClient(timer, peerTimeout, network.Dial, nil)
	seed := uint64(time.Now().UnixNano()) //nolint:gosec // Any bits will do.
	return entry.Platform{
		Clock: timer, Network: network, Feed: store, Table: store, Rollouts: store,
		Duties:     platform.NewCloud(settings.Cloud, network.Dial),
		RowDecoder: platform.Codec{Regions: settings.Deployment.Regions}, Protocol: platform.Protocol{},
		Peer: peers, PeerFeed: peers,
		ReadyHandler: platform.ReadyHandler, DirectoryHandler: platform.DirectoryHandler,
		Logger: logger, Random: rand.New(rand.NewPCG(seed, uint64(os.Getpid()))), //nolint:gosec // As above.
	}
}

// watchfulNetwork opens connections that notice when the other end has gone silent.
func watchfulNetwork() qf.Network {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
		Control:         setUserTimeout,
	}
	return qf.Network{
		Dial: dialer.DialContext,
		Listen: func(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
			config := net.ListenConfig{KeepAliveConfig: dialer.KeepAliveConfig}
			return config.Listen(ctx, "tcp", address.String())
		},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
