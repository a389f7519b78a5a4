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

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qflimit"
	"quetzalfront/internal/qf/coordination/qfmember"
	"quetzalfront/internal/qf/coordination/qfretry"
	"quetzalfront/internal/qf/coordination/qfrollout"
	"quetzalfront/internal/qf/coordination/qfroute"
	"quetzalfront/internal/qf/protocol/qfrequest"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qfsettings"
)

// Platform holds the services that a node stands on. No field may be nil.
type Platform struct {
	Timer   qf.Timer
	Table   qf.Table
	VMList  qf.VMList
	Cloud   qf.Cloud
	Engine  qf.ModelEngine
	Service qf.PlainService
	Peer    qf.Peer
	Ledger  qf.Ledger
	Logger  zerolog.Logger
	// Random draws for decisions. It is guarded by the node's lock.
	Random *rand.Rand
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

	// mu guards the decisions, which aren't safe for concurrent use.
	mu         sync.Mutex
	router     qf.Router
	limiter    qf.Limiter
	budget     *qfretry.Budget
	membership *qfmember.Membership
	versions   *qfrollout.TargetOnly
	endpoints  []qf.Endpoint
	listAsOf   time.Time
	// listedNodes are the entry nodes that the VM list doesn't say are gone.
	listedNodes []qf.NodeID

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
	n := &Node{
		settings:  settings,
		platform:  platform,
		catalogue: qfcatalogue.NewCurrent(),
		store:     qfcatalogue.NewStore(platform.Table),
		records:   qfrequest.NewStore(settings.Request.MaxInProgress),
		router:    qfroute.NewPredictive(settings.Route.Config(), platform.Random, platform.Timer.Now()),
		limiter:   qflimit.NewShared(settings.GuardConfig()),
		budget:    qfretry.NewBudget(),
		versions:  qfrollout.NewTargetOnly(),
		ctx:       ctx,
		cancel:    cancel,
	}
	n.phase.Store(PhaseServing)
	n.runner = qfrequest.NewRunner(qfrequest.Config{
		Timer: platform.Timer, Engine: platform.Engine, Service: platform.Service,
		Router: &lockedRouter{node: n}, Choosing: n, Ledger: platform.Ledger,
		Budget: &lockedBudget{node: n}, Observer: n,
		Self: qf.NodeID(settings.Node.ID), SilentAfter: settings.Request.SilentAfter.Value(),
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
