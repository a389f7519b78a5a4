// Package entry runs an entry node of a deployment: it follows the platform's store,
// exchanges digests with its peers, forwards callers' requests and does the duties that one
// node does for the fleet. It wires the layers together and decides nothing itself.
package entry

import (
	"context"
	"errors"
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
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/qf/transport/qfrpc"
	"quetzalfront/internal/qf/transport/qftelemetry"
)

// Platform holds the node's interfaces to everything outside it.
type Platform struct {
	Clock      qf.Clock
	Network    qf.Network
	Feed       qf.FeedReader
	Table      qf.Table
	Eras       qf.EraTracker
	Duties     qf.DutyClient
	Rollouts   qf.RolloutReporter
	RowDecoder qf.RowDecoder
	Protocol   qf.CallerProtocol
	Mover      qf.RunMover
	Peer       qf.PeerClient
	PeerFeed   qf.PeerFeedReader
	// Telemetry may be nil.
	Telemetry *qftelemetry.Telemetry
	// ReadyHandler serves the platform's readiness probe, DirectoryHandler the callers'
	// lookups of addresses.
	ReadyHandler     func(isReady func() bool) http.Handler
	DirectoryHandler func(addresses func(qf.Region, qf.AvailabilityZone) ([]netip.AddrPort, time.Duration)) http.Handler
	Logger           zerolog.Logger
	Random           *rand.Rand
}

// The times of membership. Callers keep addresses for seconds, so a silent node must soon
// be omitted from the directory's answers.
const (
	suspectAfter     = 1500 * time.Millisecond
	deadAfter        = 6 * time.Second
	fullExchangeUpTo = 16
)

// startupHold is how long after its start a node holds requests until its configuration and
// endpoints are loaded. Most nodes have loaded them after half of it.
const startupHold = time.Second

// usageRetention is how long usage counts are kept after the end of their window.
const usageRetention = 40 * time.Second

// Entry is a running entry node.
type Entry struct {
	deployment qf.Deployment
	platform   Platform
	startedAt  time.Time

	configuration qfconfig.Current
	// configurationFetcher reads configurations from peers while the feed doesn't bring them.
	configurationFetcher configurationFetcher
	picker               *endpointPicker
	admission            *admissionController
	poisonFilter         *poisonFilter
	fleetClock           *fleetClock
	mirror               *qfmirror.Mirror
	exchanger            *qfexchange.Client
	forwarder            *qfforward.Forwarder
	monitor              *attemptMonitor
	callers              *qfhttp.CallerPresence
	connectionBudget     *qfhttp.ConnectionBudget
	readTimeouts         *qfhttp.ReadTimeoutHistory
	peerRouter           *peerRouter
	duties               *duties
	storeEra             *eraWatcher
	usageHandover        *usageHandover
	logLimiter           *qflog.Limiter

	// endpointsMu serialises updates of the router's endpoints.
	endpointsMu sync.Mutex
	// mu guards the membership, the registry, the seeds and coldPushedAt.
	mu         sync.Mutex
	membership *qfmember.Membership
	registry   *qfregistry.Registry
	random     *rand.Rand
	// seeds holds peer addresses of a few nodes; they may be stale.
	seeds []netip.AddrPort
	// relays holds the relays of the last exchange. relayFailedAt holds when a call to a relay
	// last failed, relayStaleAt when a relay last had no current copy of a feed.
	relays qfmember.Relays
	// coldPushedAt is when a row of a cold endpoint was last passed on ahead of an exchange.
	coldPushedAt                time.Time
	relayFailedAt, relayStaleAt map[qf.NodeID]time.Time
	// hasEndpoints is set once the list of endpoints was read.
	hasEndpoints atomic.Bool
	// hasNodes is set, and nodesRead closed, once the list of nodes was read.
	hasNodes  atomic.Bool
	nodesRead chan struct{}
	// registerAgain is sent to when the store has lost the node's row.
	registerAgain chan struct{}
	// registeredIn is the store's era in which the node's row was written.
	registeredIn atomic.Uint64
	// nodesEra is the store's era of the last snapshot of the nodes that was read.
	nodesEra atomic.Uint64
	// hasSuspicions is set once the stored suspicions were read.
	hasSuspicions atomic.Bool
	// canServe is closed once the configuration and the endpoints are loaded, loaded once the suspicions are too: held
	// requests wait for it.
	canServe, loaded         chan struct{}
	canServeOnce, loadedOnce sync.Once

	inProgress atomic.Int64
	// transfers is the number of reads of feeds and configurations in progress.
	transfers atomic.Int64
	isLeaving atomic.Bool
	// abortsAt is when the node aborts what is still in progress. It is nil while the node listens.
	abortsAt atomic.Pointer[time.Time]
	// isRelay is true while the node is its zone's relay in a large fleet.
	isRelay atomic.Bool
	// isPushing is true from a change of suspicions until it is sent to peers.
	isPushing atomic.Bool
	// background tracks the node's background goroutines.
	background sync.WaitGroup
	// stopLoops stops the feeds, the exchanges, the duties and the other loops.
	stopLoops context.CancelFunc
	// loops is the context of the background goroutines.
	loops   context.Context
	servers servers
}

// New returns an entry node that hasn't started.
func New(deployment qf.Deployment, platform Platform) *Entry {
	now := platform.Clock.Now()
	deployment.Self.Incarnation = qf.Incarnation(now.UnixMilli())
	deployment.Self.State = qf.NodeLive
	e := &Entry{
		deployment: deployment, platform: platform, startedAt: now, random: platform.Random, seeds: deployment.Seeds,
		relayFailedAt: map[qf.NodeID]time.Time{}, relayStaleAt: map[qf.NodeID]time.Time{}, canServe: make(chan struct{}), loaded: make(chan struct{}), nodesRead: make(chan struct{}),
		registerAgain: make(chan struct{}, 1),
	}
	e.configurationFetcher.entry = e
	e.fleetClock = newFleetClock(now)
	e.registry = qfregistry.New()
	e.membership = qfmember.New(deployment.Self, qfmember.Timing{
		SuspectAfter: suspectAfter, DeadAfter: deadAfter, FullExchangeUpTo: fullExchangeUpTo,
	})
	e.picker = newEndpointPicker(deployment.Self, e.newRandom(), qfroute.NewPredictive(routeConfig(), e.newRandom(), now), e.fleetClock)
	e.picker.observeRates, e.picker.observeBrittle = e.observeRates, e.observeBrittle
	e.picker.observeCold = e.observeCold
	e.picker.observeLeave, e.picker.observePause = e.observeLeave, e.observePause
	if deployment.FairShares {
		e.picker.fair = newFairShares(&deployment.Self)
	}
	e.picker.observeUnreadable = e.observeUnreadableLoad
	e.admission = &admissionController{
		quotas: qflimit.NewQuotas(deployment.Bounds.QuotaWindow), clock: e.fleetClock,
		retries: qfretry.NewFleetBudget(qfretry.FleetBounds{
			Share: deployment.Bounds.RetryShare, Slack: deployment.Bounds.RetrySlack, Window: deployment.Bounds.RetryWindow,
		}),
		usage: qfusage.New(deployment.Self.AvailabilityZone, max(deployment.Bounds.UsageWindow, time.Second), usageRetention),
	}
	e.poisonFilter = newPoisonFilter(e)
	e.logLimiter = qflog.NewLimiter()
	e.mirror = qfmirror.New(platform.Clock)
	e.mirror.SetStaleAfter(qf.FeedEndpoints, endpointsStaleAfter)
	e.exchanger = qfexchange.NewClient(platform.Clock, platform.Network.Dial, platform.Protocol)
	e.callers = qfhttp.NewCallerPresence()
	e.connectionBudget = newConnectionBudget(e)
	e.readTimeouts = qfhttp.NewReadTimeoutHistory(defaultTimeouts, deployment.Bounds.ChangeWithin)
	e.monitor, e.peerRouter = newAttemptMonitor(e), newPeerRouter(e)
	toPeers := qfrpc.DialForward(platform.Network.Dial, PeerTimeout)
	e.forwarder = qfforward.New(qfforward.Ports{
		Clock: platform.Clock, Protocol: platform.Protocol, Endpoints: e.exchanger, Picker: e.picker, Admission: e.admission, PoisonFilter: e.poisonFilter,
		Startup: qfforward.Startup{Ready: e.loaded, Until: now.Add(startupHold)}, Configuration: &e.configuration, Observe: e.observe, IsLeaving: e.isLeaving.Load,
		ServesUntil: e.servesUntil,
		Mover:       platform.Mover, ObserveMove: e.observeMove,
		Self: deployment.Self.ID, Peers: qfexchange.NewClient(platform.Clock, toPeers, platform.Protocol), Router: e.peerRouter, Monitor: e.monitor,
		Callers: e.callers, Answers: newAnswerBudget(e),
	})
	e.duties = newDuties(e)
	e.storeEra = &eraWatcher{entry: e}
	e.usageHandover = newUsageHandover(now)
	return e
}

// newRandom returns a separate generator for a component with its own lock.
func (e *Entry) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
}

// callerCheckInterval is the time between two looks whether callers have left that net/http may not find: well below the
// time after which work for them has to end.
const callerCheckInterval = 200 * time.Millisecond

// The prices, in the router's unit of cost, of a gibibyte between regions and of a token that
// is computed again. Prompts are long, so that each amounts to tenths of a second.
const (
	trafficPrice       = 20000
	uncachedTokenPrice = 4e-4
)

func routeConfig() qfroute.Config {
	config := qfroute.DefaultConfig()
	config.TrafficPrice, config.UncachedTokenPrice = trafficPrice, uncachedTokenPrice
	return config
}

func (e *Entry) now() time.Time { return e.platform.Clock.Now() }

// Start opens the listeners and starts following the store.
func (e *Entry) Start(ctx context.Context) error {
	loops, stop := context.WithCancel(context.Background())
	e.stopLoops, e.loops = stop, loops
	if err := errors.Join(e.observeState(), e.listen(ctx)); err != nil {
		stop()
		return err
	}
	e.followFeeds(loops)
	e.background.Go(func() { e.updateEndpointsLoop(loops) })
	e.background.Go(func() { e.exchangeLoop(loops) })
	e.background.Go(func() { e.registerLoop(loops) })
	e.background.Go(func() { e.loadSuspicions(loops) })
	e.background.Go(func() { e.duties.run(loops) })
	e.background.Go(func() { e.rollBackLoop(loops) })
	e.background.Go(func() { e.runEvery(loops, monitorInterval, e.monitor.step) })
	e.background.Go(func() { e.runEvery(loops, callerCheckInterval, e.callers.Step) })
	e.background.Go(func() { e.storeEra.run(loops) })
	e.background.Go(func() { e.runEvery(loops, droppedLogInterval, e.logDropped) })
	e.background.Go(func() { e.runEvery(loops, coldLogInterval, e.logColdRefusals) })
	e.background.Go(func() { e.runEvery(loops, statusLogInterval, newStatusLogger(e).step) })
	qfevent.NodeStarted.Log(&e.platform.Logger, e.deployment.Self.ID, e.deployment.Self.CallerAddress)
	return nil
}

// signalLoaded releases held requests once the configuration, the endpoints and the suspicions are loaded.
func (e *Entry) signalLoaded() {
	if e.configuration.Get() == nil || !e.hasEndpoints.Load() {
		return
	}
	e.canServeOnce.Do(func() { close(e.canServe) })
	if e.hasSuspicions.Load() {
		e.loadedOnce.Do(func() { close(e.loaded) })
	}
}

// isReady reports whether the node accepts callers' requests.
func (e *Entry) isReady() bool {
	return !e.isLeaving.Load() && e.configuration.Get() != nil && e.hasEndpoints.Load()
}

// Reload applies settings that were read again. Only the seeds change while a node runs; its
// own addresses don't.
func (e *Entry) Reload(deployment *qf.Deployment) {
	e.mu.Lock()
	e.seeds = deployment.Seeds
	e.mu.Unlock()
	qfevent.SettingsReloaded.Log(&e.platform.Logger, "seeds in use")
}

// LogReloadError logs that the settings can't be read; the current ones stay in force.
func (e *Entry) LogReloadError(err error) {
	qfevent.SettingsReloaded.Log(&e.platform.Logger, err)
}
