// Package node assembles one entry node from the packages below it. It owns the
// goroutines, the listeners and the periodic loops; the packages that it calls make the
// decisions.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/coordination/qfretry"
	"quetzalfront/internal/qf/coordination/qfrollout"
	"quetzalfront/internal/qf/coordination/qfroute"
	"quetzalfront/internal/qf/coordination/qfsuspect"
	"quetzalfront/internal/qf/protocol/qfhandover"
	"quetzalfront/internal/qf/protocol/qfholder"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfledger"
	"quetzalfront/internal/qf/state/qftrial"
	"quetzalfront/internal/qf/transport/qftelemetry"
	"quetzalfront/internal/qf/transport/qftls"
	"quetzalfront/internal/qfsettings"
)

// Platform holds the services that a node depends on. A field may be nil only if its
// comment says so.
type Platform struct {
	Clock   qf.Clock
	Network qf.Network
	Table   qf.Table
	Objects qf.ObjectStore
	VMList  qf.VMLister
	Cloud   qf.Cloud
	Engine  qf.EngineClient
	Service qf.ServiceClient
	Prober  qf.Prober
	Peer    qf.PeerClient
	Ledger  qf.Ledger
	// LedgerCommitRate limits the rate of Ledger's commits.
	LedgerCommitRate *qfledger.CommitRate
	Logger           zerolog.Logger
	// Random is the source of randomness for decisions. It is guarded by the node's lock.
	Random *rand.Rand
	// SpanExporter replaces the span exporter that the settings name; it may be nil.
	SpanExporter sdktrace.SpanExporter
	// Identity holds the node's certificate and verifies those of peers and operators;
	// nil means that certificates are off.
	Identity *qftls.Identity
}

// Phase is a phase of a node's life cycle.
type Phase string

// The phases of a node, in their order. A node never returns to an earlier phase.
const (
	// PhaseServing means that peers direct callers to the node.
	PhaseServing Phase = "Serving"
	// PhaseLeaving means that peers no longer direct callers to the node, but that it
	// still accepts requests.
	PhaseLeaving Phase = "Leaving"
	// PhaseDraining means that the node accepts no new requests.
	PhaseDraining Phase = "Draining"
)

// Node is one entry node.
type Node struct {
	settings       *qfsettings.Settings
	platform       Platform
	catalogue      *qfcatalogue.Current
	catalogueStore *qfcatalogue.Store
	records        *qfrequest.Store
	runner         *qfrequest.Runner
	mover          *mover
	telemetry      *qftelemetry.Telemetry
	// isFetchingCatalogue is true while the catalogue is fetched from a peer.
	isFetchingCatalogue atomic.Bool
	// isCatalogueStale is true while the last confirmed catalogue revision is too old for
	// risky actions.
	isCatalogueStale atomic.Bool
	intentResolver   *qfrequest.IntentResolver
	// openingIntents holds the identifiers of the once-only requests whose intent is being
	// recorded.
	openingIntents sync.Map
	// sweepCursor is the key up to which the ledger was swept. Only sweepLedger uses it.
	sweepCursor string

	// mu guards shadowStore and the fields below up to peerEvidence, but for attemptLimiter.
	// Their types aren't safe for concurrent use.
	mu       sync.Mutex
	router   qf.Router
	limiter  qf.Limiter
	budget   *qfretry.Budget
	suspects *qfsuspect.Tracker
	// suspectEndpoints holds the endpoints at which suspect requests are in progress.
	suspectEndpoints map[qf.RequestID]qf.EndpointID
	attemptLimiter   *qftrial.AttemptLimiter
	// deadUntil holds the endpoints that refused a connection, with the time until which
	// they get no work.
	deadUntil      map[qf.EndpointID]time.Time
	membership     *qfmember.Membership
	versionChooser *qfrollout.Chooser
	follower       *qfcatalogue.Follower
	endpoints      []qf.Endpoint
	listAsOf       time.Time
	// listedNodes are the entry nodes that the VM list shows as neither starting nor gone.
	listedNodes []qf.NodeID
	// loads holds the last reported number of running and queued requests.
	loads map[qf.EndpointID]int
	// loadReports holds the last load reports.
	loadReports map[qf.EndpointID]qf.LoadReport
	// planReceivedAt is when this node last received a newer plan of an entry.
	planReceivedAt map[qf.EntryName]time.Time
	// peerEvidence is the evidence that peers sent for the rollouts that this node
	// controls.
	peerEvidence map[qf.EntryName]map[qf.NodeID]qf.RolloutEvidence

	// completeExchanges counts the gossip exchanges in which every peer answered.
	completeExchanges atomic.Int64
	// incarnation is set before the node serves.
	incarnation qf.Incarnation
	leases      *qfholder.Holder
	rollouts    *rolloutDriver
	provisioner *provisioner
	shadowStore *qfhandover.ShadowStore

	// hasUrgentUpdates requests an exchange before the next regular one. isIsolated is true
	// while the node receives heartbeats from none of its peers.
	hasUrgentUpdates, isIsolated atomic.Bool

	phase atomic.Value
	// reclaimAt is when the cloud reclaims the node's VM; nil means that no reclaim is
	// announced.
	reclaimAt atomic.Pointer[time.Time]

	listeners []net.Listener
	servers   []*httpServer
	// ctx is cancelled when the node stops; requests run under it.
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	running sync.WaitGroup
}

// New returns a node that doesn't serve yet. Start chooses the ports of addresses with
// port 0.
func New(settings *qfsettings.Settings, platform Platform) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	telemetry := newTelemetry(settings, &platform)
	platform = instrument(platform, telemetry)
	n := &Node{
		telemetry:      telemetry,
		settings:       settings,
		platform:       platform,
		catalogue:      qfcatalogue.NewCurrent(),
		catalogueStore: qfcatalogue.NewStore(platform.Table, platform.Clock),
		records:        qfrequest.NewStore(settings.Request.MaxInProgress),
		router:         qfroute.NewPredictive(settings.Route.RouterConfig(), platform.Random, platform.Clock.Now()),
		limiter:        qflimit.NewSharedLimiter(settings.AdmissionConfig()),
		budget:         qfretry.NewBudget(),
		loads:          map[qf.EndpointID]int{},
		loadReports:    map[qf.EndpointID]qf.LoadReport{},
		planReceivedAt: map[qf.EntryName]time.Time{},
		peerEvidence:   map[qf.EntryName]map[qf.NodeID]qf.RolloutEvidence{},
		suspects: qfsuspect.New(qfsuspect.Config{
			MaxDeaths:   settings.Request.MaxSuspectAttempts + 1,
			ExpireAfter: settings.Request.SuspectsFor.Value(),
			TrialAfter:  settings.Request.SuspectsFor.Value(),
		}),
		suspectEndpoints: map[qf.RequestID]qf.EndpointID{},
		deadUntil:        map[qf.EndpointID]time.Time{},
		attemptLimiter: qftrial.New(platform.Clock, platform.Table, qftrial.Options{
			MaxAttempts: settings.Request.MaxSuspectAttempts,
			ExpireAfter: settings.Request.SuspectsFor.Value(),
		}),
		shadowStore: qfhandover.NewShadowStore(settings.Request.MaxInProgress),
		ctx:         ctx,
		cancel:      cancel,
	}
	n.follower = qfcatalogue.NewFollower(n.catalogue, qfcatalogue.FollowOptions{
		ReadInterval:   settings.Feed.CatalogueEvery.Value(),
		ReadsPerSecond: settings.Feed.CatalogueReadsPerSecond,
		StaleAfter:     settings.Feed.CatalogueStaleAfter.Value(),
	}, platform.Random)
	n.incarnation = qf.Incarnation(n.now().UnixMilli())
	n.versionChooser = qfrollout.NewChooser(qf.Node{ID: qf.NodeID(settings.Node.ID), Incarnation: n.incarnation}, platform.Random)
	n.leases = newLeaseHolder(n, rand.New(rand.NewPCG(platform.Random.Uint64(), platform.Random.Uint64())))
	n.rollouts = newRolloutDriver(n)
	n.provisioner = newProvisioner(n)
	n.mover = newMover(n)
	n.phase.Store(PhaseServing)
	n.runner = qfrequest.NewRunner(qfrequest.Config{
		Clock: platform.Clock, Engine: platform.Engine, Service: platform.Service,
		Router: &lockedRouter{node: n}, Chooser: n, Ledger: platform.Ledger,
		Budget: &lockedBudget{node: n}, Observer: n,
		Self: qf.NodeID(settings.Node.ID), SilentAfter: settings.Request.SilentAfter.Value(),
		Prober: platform.Prober, MaxIntentAge: settings.Request.LeaveWithin.Value(),
		IsCurrent: n.isCurrent,
	})
	n.intentResolver = qfrequest.NewIntentResolver(qfrequest.IntentResolverConfig{
		Clock: platform.Clock, Ledger: platform.Ledger, Service: platform.Service,
		Self: qf.NodeID(settings.Node.ID), IsInProgress: n.isInProgress, IsCurrent: n.isCurrent,
		StatusTimeout: settings.Request.SilentAfter.Value(),
	})
	return n
}

// Phase returns the node's current phase.
func (n *Node) Phase() Phase { return n.phase.Load().(Phase) }

// Self returns this node's membership entry.
func (n *Node) Self() qf.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Self()
}

// Entry returns the catalogue's entry with the given name, or nil.
func (n *Node) Entry(name qf.EntryName) *qfcatalogue.Entry {
	return n.catalogue.Get().Document.Entry(name)
}

func (n *Node) now() time.Time { return n.platform.Clock.Now() }
