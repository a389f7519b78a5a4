// Package entry runs an entry node of a deployment: it follows the platform's store,
// talks to its peers, forwards callers' requests and does the duties that one node
// does for all. It wires the layers and decides nothing itself.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/coordination/qfretry"
	"quetzalfront/internal/qf/coordination/qfroute"
	"quetzalfront/internal/qf/protocol/qfforward"
	"quetzalfront/internal/qf/state/qfconfig"
	"quetzalfront/internal/qf/state/qfevent"
	"quetzalfront/internal/qf/state/qflog"
	"quetzalfront/internal/qf/state/qfmirror"
	"quetzalfront/internal/qf/state/qfregistry"
	"quetzalfront/internal/qf/state/qfusage"
	"quetzalfront/internal/qf/transport/qfexchange"
	"quetzalfront/internal/qf/transport/qftelemetry"
)

// Platform is everything outside the node.
type Platform struct {
	Clock      qf.Clock
	Network    qf.Network
	Feed       qf.FeedReader
	Table      qf.Table
	Duties     qf.DutyClient
	Rollouts   qf.RolloutReporter
	RowDecoder qf.RowDecoder
	Protocol   qf.CallerProtocol
	Peer       qf.PeerClient
	PeerFeed   qf.PeerFeedReader
	// Telemetry may be nil.
	Telemetry *qftelemetry.Telemetry
	// ReadyHandler and DirectoryHandler answer the platform's and callers' questions.
	ReadyHandler     func(isReady func() bool) http.Handler
	DirectoryHandler func(addresses func(qf.Region, qf.AvailabilityZone) ([]netip.AddrPort, time.Duration)) http.Handler
	Logger           zerolog.Logger
	Random           *rand.Rand
}

// The times of membership. Callers keep addresses for seconds, so that a silent node
// should leave the answers soon.
const (
	suspectAfter     = 1500 * time.Millisecond
	deadAfter        = 6 * time.Second
	fullExchangeUpTo = 16
)

// holdFor is how long after its start a node holds requests that it can't judge yet. Most
// nodes know enough after half of it.
const holdFor = time.Second

// usageKeepFor is how long counts of usage are kept after their window.
const usageKeepFor = 40 * time.Second

// Entry is a running entry node.
type Entry struct {
	deployment qf.Deployment
	platform   Platform
	startedAt  time.Time

	configuration qfconfig.Current
	placer        *placer
	governor      *governor
	screen        *screen
	clock         *clock
	mirror        *qfmirror.Mirror
	exchanger     *qfexchange.Exchanger
	forwarder     *qfforward.Forwarder
	duties        *duties
	volume        *qflog.Limiter

	// settling orders the lists of endpoints that the router is given.
	settling sync.Mutex
	// mu guards the membership, the registry and the seeds.
	mu         sync.Mutex
	membership *qfmember.Membership
	registry   *qfregistry.Registry
	random     *rand.Rand
	// seeds are peer addresses of a few nodes; they may be stale.
	seeds []netip.AddrPort
	// relays are those of the last exchange; failedAt is when a call to a relay failed, and
	// staleAt when one couldn't tell of a feed.
	relays            qfmember.Relays
	failedAt, staleAt map[qf.NodeID]time.Time
	// hasEndpoints is set once the list of endpoints was read.
	hasEndpoints atomic.Bool
	// hasNodes is set, and nodesRead closed, once the list of nodes was read.
	hasNodes  atomic.Bool
	nodesRead chan struct{}
	// known is closed once the configuration and the endpoints are known.
	known     chan struct{}
	knownOnce sync.Once

	inProgress atomic.Int64
	leaving    atomic.Bool
	// background counts the node's own loops.
	background sync.WaitGroup
	// stopLoops ends the followers, the exchanges and the duties.
	stopLoops context.CancelFunc
	servers   servers
}

// New returns an entry node that hasn't started.
func New(deployment qf.Deployment, platform Platform) *Entry {
	now := platform.Clock.Now()
	deployment.Self.Incarnation = qf.Incarnation(now.UnixMilli())
	deployment.Self.State = qf.NodeLive
	e := &Entry{
		deployment: deployment, platform: platform, startedAt: now, random: platform.Random, seeds: deployment.Seeds,
		failedAt: map[qf.NodeID]time.Time{}, staleAt: map[qf.NodeID]time.Time{}, known: make(chan struct{}), nodesRead: make(chan struct{}),
	}
	e.clock = newClock(now)
	e.registry = qfregistry.New()
	e.membership = qfmember.New(deployment.Self, qfmember.Timing{
		SuspectAfter: suspectAfter, DeadAfter: deadAfter, FullExchangeUpTo: fullExchangeUpTo,
	})
	e.placer = &placer{self: deployment.Self, random: e.fork(), versions: newVersions()}
	e.placer.router = qfroute.NewPredictive(routeConfig(), e.fork(), now)
	e.governor = &governor{
		quotas: qflimit.NewQuotas(), clock: e.clock,
		repeats: qfretry.NewFleetBudget(qfretry.FleetBounds{
			Share: deployment.Bounds.RetryShare, Slack: deployment.Bounds.RetrySlack, Window: deployment.Bounds.RetryWindow,
		}),
		usage: qfusage.New(max(deployment.Bounds.UsageWindow, time.Second), usageKeepFor),
	}
	e.screen = newScreen(e)
	e.volume = qflog.NewLimiter()
	e.mirror = qfmirror.New(platform.Clock)
	e.exchanger = qfexchange.New(platform.Clock, platform.Network.Dial, platform.Protocol)
	e.forwarder = qfforward.New(qfforward.Ports{
		Clock: platform.Clock, Protocol: platform.Protocol, Endpoints: e.exchanger, Picker: e.placer, Admission: e.governor, PoisonFilter: e.screen,
		Startup: qfforward.Startup{Ready: e.known, Until: now.Add(holdFor)}, Configuration: &e.configuration, Observe: e.observe, IsLeaving: e.leaving.Load,
	})
	e.duties = newDuties(e)
	return e
}

// fork returns a generator of its own for a part that has its own lock.
func (e *Entry) fork() *rand.Rand {
	return rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
}

// The prices in the unit in which routers count: a gibibyte between regions, and a token
// that is computed again. Prompts are long here, so that both weigh as much as tenths of
// a second.
const (
	trafficPrice = 20000
	readPrice    = 4e-4
)

func routeConfig() qfroute.Config {
	config := qfroute.DefaultConfig()
	config.TrafficPrice, config.UncachedTokenPrice = trafficPrice, readPrice
	return config
}

func (e *Entry) now() time.Time { return e.platform.Clock.Now() }

// Start opens the listeners and begins to follow the store.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.listen(ctx); err != nil {
		return err
	}
	loops, stop := context.WithCancel(context.Background())
	e.stopLoops = stop
	e.follow(loops)
	e.background.Go(func() { e.settleLoop(loops) })
	e.background.Go(func() { e.exchangeLoop(loops) })
	e.background.Go(func() { e.registerLoop(loops) })
	e.background.Go(func() { e.duties.loop(loops) })
	e.background.Go(func() { e.every(loops, leftOutEvery, e.tellLeftOut) })
	e.background.Go(func() { e.every(loops, beliefsEvery, newBeliefs(e).step) })
	qfevent.NodeStarted.Log(&e.platform.Logger, e.deployment.Self.ID, e.deployment.Self.CallerAddress)
	return nil
}

// noteKnown lets held requests go on once the node knows what it needs.
func (e *Entry) noteKnown() {
	if e.configuration.Get() != nil && e.hasEndpoints.Load() {
		e.knownOnce.Do(func() { close(e.known) })
	}
}

// isReady reports whether the node takes callers.
func (e *Entry) isReady() bool {
	return !e.leaving.Load() && e.configuration.Get() != nil && e.hasEndpoints.Load()
}

// Reload takes settings that were read again. Only what names other nodes may change
// while a node runs; its own addresses may not.
func (e *Entry) Reload(deployment *qf.Deployment) {
	e.mu.Lock()
	e.seeds = deployment.Seeds
	e.mu.Unlock()
	qfevent.SettingsReloaded.Log(&e.platform.Logger, "seeds in use")
}

// LogReloadError notes that the settings can't be read; those in use stay.
func (e *Entry) LogReloadError(err error) {
	qfevent.SettingsReloaded.Log(&e.platform.Logger, err)
}
