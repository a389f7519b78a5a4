// Package standworld puts the stand-ins together: a platform, and the engines
// and services that its VMs run, in one process and on loopback.
package standworld

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/standin/standcloud"
	"quetzalfront/internal/standin/standengine"
	"quetzalfront/internal/standin/standobject"
	"quetzalfront/internal/standin/standservice"
	"quetzalfront/internal/standin/standtable"
	"quetzalfront/internal/standin/standweight"
)

// Fleet describes the VMs with which a world begins.
type Fleet struct {
	// TableAddress and CloudAddress are used by Serve, ObjectsAddress and
	// WeightsAddress by ServeStores; port 0 takes any.
	TableAddress   netip.AddrPort
	CloudAddress   netip.AddrPort
	ObjectsAddress netip.AddrPort
	WeightsAddress netip.AddrPort
	Groups         []Group `validate:"dive"`
	Nodes          []Node  `validate:"dive"`
}

// Group is a number of equal endpoints.
type Group struct {
	Count            int                 `validate:"min=1"`
	Role             qf.VMRole           `validate:"oneof=ModelEngine PlainService"`
	Entry            qf.EntryName        `validate:"required"`
	Version          qf.Version          `validate:"required"`
	AvailabilityZone qf.AvailabilityZone `validate:"required"`
	Class            qf.VMClass          `validate:"oneof=Reclaimable OnDemand"`
	// SlowFactor and FailEvery make bad versions.
	SlowFactor float64
	FailEvery  int
	// Varies makes the engines draw each attempt's tokens anew.
	Varies bool
	// TokenInterval overrides the time between two tokens.
	TokenInterval qfdocument.Duration
	// Slots overrides the number of requests that an engine runs at once.
	Slots int `validate:"gte=0"`
}

// Node is an entry node that the VM list names.
type Node struct {
	ID               qf.VMID             `validate:"required"`
	AvailabilityZone qf.AvailabilityZone `validate:"required"`
	CallerAddress    netip.AddrPort      `validate:"required"`
	PeerAddress      netip.AddrPort      `validate:"required"`
}

// World is a platform with running endpoints.
type World struct {
	Clock   qf.Clock
	network qf.Network
	// AddressIn returns the address at which a server in the zone listens.
	AddressIn func(zone qf.AvailabilityZone) netip.AddrPort
	Table     *standtable.Table
	Cloud     *standcloud.Cloud
	Objects   *standobject.Store
	Weights   *standweight.Store

	mu       sync.Mutex
	journals map[qf.EntryName]*standservice.ExecutionLog
	engines  map[qf.VMID]*standengine.Engine
	services map[qf.VMID]*standservice.Service
	// behaviours holds how the engines of a version behave.
	behaviours map[qf.Version]standengine.Behaviour
	servers    []*http.Server
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// New returns a world without VMs.
func New(clock qf.Clock, network qf.Network) *World {
	w := &World{
		Clock: clock, network: network, AddressIn: func(qf.AvailabilityZone) netip.AddrPort { return loopback },
		Table: standtable.New(clock), Objects: standobject.New(clock),
		Weights:    standweight.New(clock, standweight.DefaultBytesPerSecond),
		journals:   map[qf.EntryName]*standservice.ExecutionLog{},
		behaviours: map[qf.Version]standengine.Behaviour{},
		engines:    map[qf.VMID]*standengine.Engine{},
		services:   map[qf.VMID]*standservice.Service{},
	}
	w.Cloud = standcloud.New(clock, nil, w.launch)
	return w
}

// SetBehaviour says how the engines of a version behave from now on.
func (w *World) SetBehaviour(version qf.Version, behaviour standengine.Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviours[version] = behaviour
	for _, e := range w.engines {
		if e.Version() == version {
			e.SetBehaviour(behaviour)
		}
	}
}

// Behaviour returns how the engines of a version behave.
func (w *World) Behaviour(version qf.Version) standengine.Behaviour { return w.behaviourOf(version) }

// SendStaleOrder gives the engines of a version an order of a former holder: another
// version under the lowest fencing number.
func (w *World) SendStaleOrder(version, other qf.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if e.Version() == version {
			_, _ = e.ApplyOrder(qf.Order{Entry: "assistant", Version: other, Role: qf.EngineMixed}) // A refusal is what some of them are for.
		}
	}
}

// CountReporting returns how many engines report the version.
func (w *World) CountReporting(version qf.Version) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.engines {
		if e.Load().Version == version {
			n++
		}
	}
	return n
}

// LatestArrivalWhileLeaving returns the longest time after the news of its leaving at which
// any engine was still sent work.
func (w *World) LatestArrivalWhileLeaving() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	latest := time.Duration(0)
	for _, e := range w.engines {
		latest = max(latest, e.LatestArrivalWhileLeaving())
	}
	return latest
}

// SetServiceBehaviour says how the services that run now behave from now on.
func (w *World) SetServiceBehaviour(behaviour standservice.Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.services {
		s.SetBehaviour(behaviour)
	}
}

// ExecutionLog returns the executions of an entry's services.
func (w *World) ExecutionLog(entry qf.EntryName) *standservice.ExecutionLog {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.journals[entry] == nil {
		w.journals[entry] = &standservice.ExecutionLog{}
	}
	return w.journals[entry]
}

// Populate starts the fleet's endpoints and makes its nodes known.
func (w *World) Populate(ctx context.Context, fleet *Fleet) error {
	number := 0
	for _, g := range fleet.Groups {
		w.SetBehaviour(g.Version, g.behaviour())
		w.Weights.Add(g.Entry, g.Version, weightBytes)
		for range g.Count {
			number++
			if err := w.startOne(ctx, &g, number); err != nil {
				return err
			}
		}
	}
	for _, n := range fleet.Nodes {
		w.Cloud.Register(NodeVM(n.ID, n.AvailabilityZone, n.CallerAddress, n.PeerAddress), nil)
	}
	return nil
}

// weightBytes is the size of every version's weights.
const weightBytes = 16 << 30

// NodeVM describes the VM of an entry node.
func NodeVM(id qf.VMID, zone qf.AvailabilityZone, callers, peers netip.AddrPort) qf.VM {
	return qf.VM{
		ID: id, Role: qf.RoleEntryNode, AvailabilityZone: zone, Region: standcloud.RegionOf(zone),
		Class: qf.ClassReclaimable, Address: callers, PeerAddress: peers,
	}
}

func (g *Group) behaviour() standengine.Behaviour {
	b := standengine.DefaultBehaviour()
	b.SlowFactor = g.SlowFactor
	b.FailEvery = g.FailEvery
	b.Varies = g.Varies
	if g.Slots > 0 {
		b.Slots = g.Slots
	}
	if g.TokenInterval > 0 {
		b.TokenInterval = g.TokenInterval.Value()
	}
	return b
}

func (w *World) startOne(ctx context.Context, g *Group, number int) error {
	result := w.Cloud.StartVM(ctx, qf.StartVMRequest{
		Token: string(g.Entry) + "/" + string(g.Version) + "/" + strconv.Itoa(number),
		Role:  g.Role, Entry: g.Entry, Version: g.Version,
		AvailabilityZone: g.AvailabilityZone, Class: g.Class,
	})
	return result.Err
}

// launch starts the server of a VM.
func (w *World) launch(vm qf.VM) (standcloud.Server, error) {
	s := &server{}
	endpoint := qf.Endpoint{ID: qf.EndpointID(vm.ID), VM: vm.ID, Entry: vm.Entry, Version: vm.Version}
	var handler http.Handler
	if vm.Role == qf.RolePlainService {
		service := standservice.New(w.Clock, endpoint, standservice.Behaviour{}, w.ExecutionLog(vm.Entry))
		w.keep(vm.ID, nil, service)
		handler = service.Handler()
		s.leave = service.Leave
	} else {
		engine := standengine.New(w.Clock, endpoint, w.behaviourOf(vm.Version), func() { w.Cloud.Crash(vm.ID) })
		w.keep(vm.ID, engine, nil)
		handler = engine.Handler()
		s.leave = engine.Leave
	}
	return s, s.start(w.network.Listen, w.AddressIn(vm.AvailabilityZone), handler)
}

func (w *World) keep(vm qf.VMID, engine *standengine.Engine, service *standservice.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if engine != nil {
		w.engines[vm] = engine
		return
	}
	w.services[vm] = service
}

func (w *World) behaviourOf(version qf.Version) standengine.Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b, ok := w.behaviours[version]; ok {
		return b
	}
	return standengine.DefaultBehaviour()
}

// Serve opens the platform's services on the addresses and returns where they
// listen.
func (w *World) Serve(table, cloud netip.AddrPort) (tableAddress, cloudAddress netip.AddrPort, err error) {
	tableAddress, err = w.open(table, w.Table.Handler())
	if err != nil {
		return
	}
	cloudAddress, err = w.open(cloud, w.Cloud.Handler())
	return
}

// ServeStores opens the object store and the weight store on the addresses and
// returns where they listen. An invalid address takes any port of loopback.
func (w *World) ServeStores(objects, weights netip.AddrPort) (objectsAddress, weightsAddress netip.AddrPort, err error) {
	objectsAddress, err = w.open(orLoopback(objects), w.Objects.Handler())
	if err != nil {
		return
	}
	weightsAddress, err = w.open(orLoopback(weights), w.Weights.Handler())
	return
}

func orLoopback(address netip.AddrPort) netip.AddrPort {
	if address.IsValid() {
		return address
	}
	return loopback
}

func (w *World) open(address netip.AddrPort, handler http.Handler) (netip.AddrPort, error) {
	listener, err := w.network.Listen(context.Background(), address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	w.servers = append(w.servers, s)
	go serve(s, listener)
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

const readHeaderTimeout = 10 * time.Second

func serve(s *http.Server, listener net.Listener) {
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		panic(err) // A stand-in that can't serve makes every later result worthless.
	}
}

// Close ends all servers.
func (w *World) Close() {
	for _, s := range w.servers {
		_ = s.Close() // It is given up either way.
	}
	w.Cloud.SetFaults(standcloud.Faults{}) // A cloud that is down would keep its VMs.
	vms, _ := w.Cloud.ListVMs(context.Background())
	for i := range vms {
		w.Cloud.Crash(vms[i].ID)
	}
}
