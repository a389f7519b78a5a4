// Package standtrouble is the table of what endpoints, the store, other writers, operators, machines and callers may do
// by the platform's pages, and draws some of it at once. A world, on virtual time or of processes, plays what was drawn.
package standtrouble

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standnet"
	"quetzalfront/internal/standin/standreplica"
	"quetzalfront/internal/standin/standrows"
)

// Actor is who makes a trouble.
type Actor string

// The actors.
const (
	ActorEndpoint Actor = "Endpoint"
	ActorStore    Actor = "Store"
	ActorWriter   Actor = "Writer"
	ActorOperator Actor = "Operator"
	ActorMachine  Actor = "Machine"
	ActorCaller   Actor = "Caller"
)

// Promise is what callers and operators may rely on in any trouble.
type Promise string

// The promises.
const (
	// WholeAnswer means that a success is one endpoint's own, signed and complete.
	WholeAnswer Promise = "WholeAnswer"
	// NotRunIsTrue means that a request which may not be repeated, and was refused, has not run and won't.
	NotRunIsTrue Promise = "NotRunIsTrue"
	// AtMostOnce means that a request which may not be repeated runs once at most.
	AtMostOnce Promise = "AtMostOnce"
	// Answered means that each request gets an answer from a node that runs.
	Answered Promise = "Answered"
	// ServesAgain means that requests are served soon after the trouble.
	ServesAgain Promise = "ServesAgain"
	// SmallExposure means that a bad version gets a small share of the requests.
	SmallExposure Promise = "SmallExposure"
	// CrashesStop means that a request that crashes endpoints soon reaches no more of them.
	CrashesStop Promise = "CrashesStop"
	// WorkEnds means that no endpoint works on for a caller that has left.
	WorkEnds Promise = "WorkEnds"
	// LeavingIsSpared means that an endpoint that leaves soon gets no new requests.
	LeavingIsSpared Promise = "LeavingIsSpared"
)

// Trouble is one row of the table.
type Trouble struct {
	Name  string
	Actor Actor
	// Sentences are the IDs of the sentences that allow it.
	Sentences []string
	// Dose says how much of it is drawn, for readers.
	Dose      string
	Threatens []Promise
	// weight is how often it is drawn, against others of its actor; 0 stands for 1. What breaks something only in one moment
	// has more.
	weight int
	// play does it and returns when it is over.
	play func(s *Stage)
}

// Endpoint is an endpoint of a world.
type Endpoint struct {
	*standreplica.Replica
	Service, Version string
	Zone             qf.AvailabilityZone
	Address          netip.AddrPort
	// Born is the number of its start; later ones are higher.
	Born int
}

// The services of a world. Requests for chat are streams, those for books have short answers.
const (
	ServiceChat  = "chat"
	ServiceBooks = "books"
)

// World is a fleet of nodes with its stand-ins. Its methods may be called by several troubles at once.
type World interface {
	Clock() qf.Clock
	Store() *standrows.Store
	// StoreAddress is where nodes reach the store.
	StoreAddress() netip.Addr
	// Endpoints returns the endpoints of a service that run, in the order of their starts.
	Endpoints(service string) []*Endpoint
	// StartEndpoint starts and lists an endpoint.
	StartEndpoint(service, version string, zone qf.AvailabilityZone) *Endpoint
	// List writes the row of an endpoint, Unlist removes it.
	List(e *Endpoint, state string)
	Unlist(e *Endpoint)
	// ExpectNoWork says that an endpoint has said that it leaves, or its row did.
	ExpectNoWork(e *Endpoint)
	// Nodes returns the addresses of all nodes, Holder that of the node that did a duty last.
	Nodes() []netip.Addr
	Holder() netip.Addr
	// Cut holds up everything on some links, Hold all that a node reads, each until the returned function is called.
	Cut(link standnet.Link) (heal func())
	Hold(node netip.Addr) (release func())
	// Reset breaks the connections on some links once.
	Reset(link standnet.Link)
	// Kill ends a node at once and starts it again. It returns when the node was started.
	Kill(node netip.Addr)
	// Restart stops a node as planned and starts it again. It returns when the node was started.
	Restart(node netip.Addr)
	// Configure writes the configuration once more, with a higher revision.
	Configure()
	// Order orders a version of books to be rolled out, within some time. A bad one may only get a small share meanwhile.
	Order(version string, within time.Duration, isBad bool)
	// SendCrashing sends a request that crashes endpoints, again and again for some time. The node is that of a try.
	SendCrashing(body string, node func(try int) netip.Addr, length time.Duration)
	// SendAndLeave sends a request to a node and closes the connection after some time.
	SendAndLeave(node netip.Addr, method, path string, after time.Duration)
	// SendOdd sends bytes to a node's port for callers and reads what comes back for a moment.
	SendOdd(node netip.Addr, data string)
}

// Stage is what a trouble plays on.
type Stage struct {
	World
	Random *rand.Rand
	// turns gets a value at each turn of the trouble.
	turns chan struct{}
	// told are the drawn doses, for readers.
	told []string
}

// Sleep waits.
func (s *Stage) Sleep(length time.Duration) {
	if length > 0 {
		<-s.Clock().After(length).C()
	}
}

// tell notes a drawn dose.
func (s *Stage) tell(format string, args ...any) {
	s.told = append(s.told, fmt.Sprintf(format, args...))
}

// turn tells troubles that follow this one that something has just changed.
func (s *Stage) turn() {
	select {
	case s.turns <- struct{}{}:
	default: // More turns than others could follow.
	}
}

// between draws a duration.
func (s *Stage) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.Random.Int64N(int64(most-least)+1))
}

// some draws a part of a list, one of it at least.
func some[T any](random *rand.Rand, all []T, share float64) []T {
	picked := make([]T, 0, len(all))
	for _, i := range random.Perm(len(all)) {
		if len(picked) == 0 || random.Float64() < share {
			picked = append(picked, all[i])
		}
	}
	return picked
}

// pick draws one of a list that isn't empty.
func pick[T any](random *rand.Rand, all ...T) T { return all[random.IntN(len(all))] }
