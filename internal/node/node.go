// Package node wires the layers into one entry node: it owns the goroutines, the
// listeners and the loops, and leaves every decision to the packages below.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
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

// Platform holds the services that a node stands on. No field may be nil unless
// it says so.
type Platform struct {
	Timer   qf.Clock
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
	// LedgerPace is the pace of Ledger.
	LedgerPace *qfledger.CommitRate
	Logger     zerolog.Logger
	// Random draws for decisions. It is guarded by the node's lock.
	Random *rand.Rand
	// Spans takes the spans in place of the exporter that the settings name; it
	// may be nil.
	Spans sdktrace.SpanExporter
	// Identity is what the node shows and asks for on the peers' and operators'
	// ports; nil means that certificates are off.
	Identity *qftls.Identity
}

// Phase is where a node stands in its life.
type Phase string

// The phases of a node. They only advance.
const (
	// PhaseServing means that callers are sent here.
	PhaseServing Phase = "Serving"
	// PhaseLeaving means that callers are no longer sent here, but those who
	// come are served.
	PhaseLeaving Phase = "Leaving"
	// PhaseDraining means that nothing new is accepted.
	PhaseDraining Phase = "Draining"
)

// Node is one entry node.
type Node struct {
	settings  *qfsettings.Settings
	platform  Platform
	catalogue *qfcatalogue.Current
	store     *qfcatalogue.Store
	records   *qfrequest.Store
	runner    *qfrequest.Runner
	mover     *mover
	telemetry *qftelemetry.Telemetry
	// fetching is true while a peer is asked for its catalogue.
	fetching atomic.Bool
	// stale is true while the news of the catalogue is too old for risky actions.
	stale atomic.Bool
	keys  *qfrequest.IntentResolver
	// beginning holds the once-only requests whose intent is being recorded.
	beginning sync.Map
	// swept is the key up to which the ledger was swept. Only the sweep uses it.
	swept string

	// mu guards the decisions, which aren't safe for concurrent use.
	mu       sync.Mutex
	router   qf.Router
	limiter  qf.Limiter
	budget   *qfretry.Budget
	suspects *qfsuspect.Tracker
	// suspectRuns holds where the suspects in progress run.
	suspectRuns map[qf.RequestID]qf.EndpointID
	trials      *qftrial.AttemptLimiter
	// deadUntil holds the endpoints that refused a connection.
	deadUntil  map[qf.EndpointID]time.Time
	membership *qfmember.Membership
	versions   *qfrollout.Chooser
	follower   *qfcatalogue.Follower
	endpoints  []qf.Endpoint
	listAsOf   time.Time
	// listedNodes are the entry nodes that the VM list doesn't say are gone.
	listedNodes []qf.NodeID
	// loads holds the last reported number of running requests.
	loads map[qf.EndpointID]int
	// reports holds the last load reports.
	reports map[qf.EndpointID]qf.LoadReport
	// planAt is when this node last got a newer plan of an entry.
	planAt map[qf.EntryName]time.Time
	// evidence is what peers have told of the rollouts that this node controls.
	evidence map[qf.EntryName]map[qf.NodeID]qf.RolloutEvidence

	// wholeExchanges counts the exchanges in which every partner answered.
	wholeExchanges atomic.Int64
	// incarnation is set before the node serves.
	incarnation qf.Incarnation
	leases      *qfholder.Holder
	rollouts    *rollouts
	buyer       *buyer
	shadows     *qfhandover.ShadowStore

	// hasUrgentNews asks for an exchange before its time; isCutOff is true while the
	// node hears none of its peers.
	hasUrgentNews, isCutOff atomic.Bool

	phase atomic.Value
	// leaveAt is when the node's VM is taken, if that is known.
	leaveAt atomic.Pointer[time.Time]

	listeners []net.Listener
	servers   []*http.Server
	// ctx ends when the node stops; requests run under it.
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	running sync.WaitGroup
}

// New returns a node that isn't serving yet. Addresses with port 0 are settled
// by Start.
func New(settings *qfsettings.Settings, platform Platform) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	telemetry := newTelemetry(settings, &platform)
	platform = instrument(platform, telemetry)
	n := &Node{
		telemetry: telemetry,
		settings:  settings,
		platform:  platform,
		catalogue: qfcatalogue.NewCurrent(),
		store:     qfcatalogue.NewStore(platform.Table, platform.Timer),
		records:   qfrequest.NewStore(settings.Request.MaxInProgress),
		router:    qfroute.NewPredictive(settings.Route.RouterConfig(), platform.Random, platform.Timer.Now()),
		limiter:   qflimit.NewSharedLimiter(settings.AdmissionConfig()),
		budget:    qfretry.NewBudget(),
		loads:     map[qf.EndpointID]int{},
		reports:   map[qf.EndpointID]qf.LoadReport{},
		planAt:    map[qf.EntryName]time.Time{},
		evidence:  map[qf.EntryName]map[qf.NodeID]qf.RolloutEvidence{},
		suspects: qfsuspect.New(qfsuspect.Config{
			MaxDeaths:   settings.Request.MaxSuspectAttempts + 1,
			ExpireAfter: settings.Request.SuspectsFor.Value(),
		}),
		suspectRuns: map[qf.RequestID]qf.EndpointID{},
		deadUntil:   map[qf.EndpointID]time.Time{},
		trials: qftrial.New(platform.Timer, platform.Table, qftrial.Options{
			MaxAttempts: settings.Request.MaxSuspectAttempts,
			ExpireAfter: settings.Request.SuspectsFor.Value(),
		}),
		shadows: qfhandover.NewShadowStore(settings.Request.MaxInProgress),
		ctx:     ctx,
		cancel:  cancel,
	}
	n.follower = qfcatalogue.NewFollower(n.catalogue, qfcatalogue.FollowOptions{
		MinReadInterval: settings.Feed.CatalogueEvery.Value(),
		ReadsPerSecond:  settings.Feed.CatalogueReadsPerSecond,
		StaleAfter:      settings.Feed.CatalogueStaleAfter.Value(),
	}, platform.Random)
	n.incarnation = qf.Incarnation(n.now().UnixMilli())
	n.versions = qfrollout.NewChooser(qf.Node{ID: qf.NodeID(settings.Node.ID), Incarnation: n.incarnation}, platform.Random)
	n.leases = newLeases(n, rand.New(rand.NewPCG(platform.Random.Uint64(), platform.Random.Uint64())))
	n.rollouts = newRollouts(n)
	n.buyer = newBuyer(n)
	n.mover = newMover(n)
	n.phase.Store(PhaseServing)
	n.runner = qfrequest.NewRunner(qfrequest.Config{
		Clock: platform.Timer, Engine: platform.Engine, Service: platform.Service,
		Router: &lockedRouter{node: n}, Chooser: n, Ledger: platform.Ledger,
		Budget: &lockedBudget{node: n}, Observer: n,
		Self: qf.NodeID(settings.Node.ID), SilentAfter: settings.Request.SilentAfter.Value(),
		Prober: platform.Prober, MaxIntentAge: settings.Request.LeaveWithin.Value(),
		IsCurrent: n.isCurrent,
	})
	n.keys = qfrequest.NewIntentResolver(qfrequest.IntentResolverConfig{
		Clock: platform.Timer, Ledger: platform.Ledger, Service: platform.Service,
		Self: qf.NodeID(settings.Node.ID), IsInProgress: n.isInProgress, IsCurrent: n.isCurrent,
		StatusTimeout: settings.Request.SilentAfter.Value(),
	})
	return n
}

// Phase returns where the node stands.
func (n *Node) Phase() Phase { return n.phase.Load().(Phase) }

// Self describes the node.
func (n *Node) Self() qf.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Self()
}

// Entry returns the catalogue's entry of the name, or nil.
func (n *Node) Entry(name qf.EntryName) *qfcatalogue.Entry {
	return n.catalogue.Get().Document.Entry(name)
}

func (n *Node) now() time.Time { return n.platform.Timer.Now() }
