package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
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
	// logBufferLines is the number of log lines that are buffered for a slow reader of
	// standard output.
	logBufferLines = 4096
	// unackedTimeout is how long sent data may stay unacknowledged before the connection
	// is closed.
	unackedTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection. It is shorter than TCP's first
	// retransmission timeout, because a new dial then connects sooner once the other end
	// is back.
	dialTimeout = 600 * time.Millisecond
	// keepAliveInterval is the time between keep-alive probes of an idle connection.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which a connection is
	// closed.
	keepAliveProbes = 3
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall
	// doesn't define.
	tcpUserTimeout = 18
)

func entryCommand() *command {
	path, hasFairShares := os.Getenv(platform.SettingsVariable), false
	sub := flaggy.NewSubcommand("entry")
	sub.Description = "run an entry node on the users' platform"
	sub.String(&path, "s", "settings", "the platform's settings file; default: the value of "+platform.SettingsVariable)
	sub.Bool(&hasFairShares, "", "fair-shares", "divide the room of entries in a shortage between ranks and organisations")
	return &command{sub: sub, run: func(ctx context.Context) int { return runEntry(ctx, path, hasFairShares) }}
}

func runEntry(ctx context.Context, path string, hasFairShares bool) int {
	hangups, stop := catchHangups()
	defer stop() // Only once the node has stopped: a hangup may come while it drains.
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzalfront:", err)
		return exitUsage
	}
	limitHeap(settings.Deployment.Process.MemoryBytes)
	settings.Deployment.FairShares = hasFairShares
	logger, closeLog := newBoundedLogger()
	defer closeLog()
	timer := qftimer.NewWall()
	telemetry, err := qftelemetry.New(qftelemetry.Config{
		Node: settings.Deployment.Self.ID, AvailabilityZone: settings.Deployment.Self.AvailabilityZone, Clock: timer,
	})
	if err != nil {
		return fail(err)
	}
	entryPlatform := newPlatform(settings, timer, logger, telemetry.RecordPlatformCall)
	entryPlatform.Telemetry = telemetry
	e := entry.New(settings.Deployment, entryPlatform)
	if err := e.Start(ctx); err != nil {
		return fail(err)
	}
	reloadOnHangup(ctx, hangups, e, path)
	e.Stop(context.Background())
	return exitOK
}

// heapShare is the share of the process's memory from which the collector works harder, so that the heap doesn't grow to twice of
// what is in use where there is no room for it.
const heapShare = 0.7

// limitHeap sets the heap's soft limit from the memory of the process, unless it isn't known.
func limitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memoryBytes)))
	}
}

// catchHangups catches SIGHUP until the returned function is called. Uncaught, it ends the process.
func catchHangups() (hangups chan os.Signal, stop func()) {
	hangups = make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups, func() { signal.Stop(hangups) }
}

// reloadOnHangup reloads the settings at each SIGHUP until the context ends.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, e *entry.Entry, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			settings, err := platform.LoadSettings(path)
			if err != nil {
				e.LogReloadError(err)
				continue
			}
			e.Reload(&settings.Deployment)
		}
	}
}

// newBoundedLogger returns a logger that never blocks on its reader: lines are dropped
// and counted while the buffer is full. The returned function flushes the buffer.
func newBoundedLogger() (zerolog.Logger, func()) {
	var logger zerolog.Logger
	writer := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) {
		plain := zerolog.New(os.Stdout)
		qfevent.LinesLeftOut.Log(&plain, missed)
	})
	logger = zerolog.New(writer).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	return logger, func() { _ = writer.Close() } // Buffered lines are written first.
}

// newPlatform connects an entry node to the services of the users' platform. It reports the name of each call.
func newPlatform(settings *platform.Settings, timer qf.Clock, logger zerolog.Logger, observeCall func(name string)) entry.Platform {
	network := keepAliveNetwork()
	store := platform.NewStore(settings.Store, entry.MaxPollTimeout, network.Dial)
	store.ObserveCalls(observeCall)
	duties := platform.NewDutyClient(settings.Cloud, network.Dial)
	duties.ObserveCalls(observeCall)
	peers := qfrpc.NewClient(timer, entry.PeerTimeout, network.Dial, nil)
	seed := uint64(time.Now().UnixNano()) //nolint:gosec // Any bits will do.
	return entry.Platform{
		Clock: timer, Network: network, Feed: store, Table: store, Eras: store, Rollouts: store,
		Duties:     duties,
		RowDecoder: platform.RowDecoder{Regions: settings.Deployment.Regions}, Protocol: platform.Protocol{},
		Mover: platform.NewMoveClient(network.Dial),
		Peer:  peers, PeerFeed: peers,
		ReadyHandler: platform.ReadyHandler, DirectoryHandler: platform.DirectoryHandler,
		Logger: logger, Random: rand.New(rand.NewPCG(seed, uint64(os.Getpid()))), //nolint:gosec // As above.
	}
}

// keepAliveNetwork returns a network whose connections fail when the other end is
// unreachable: idle ones by keep-alive probes, busy ones by unackedTimeout.
func keepAliveNetwork() qf.Network {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
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

// setUserTimeout sets the limit for unacknowledged data on a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
