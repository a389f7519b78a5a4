// Package standworld combines the stand-ins in one process: a platform, and the
// engines and services on its VMs. By default they listen on loopback.
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

// Fleet describes the initial VMs of a world and the addresses of its services.
type Fleet struct {
	// TableAddress and CloudAddress are for Serve, ObjectsAddress and WeightsAddress
	// for ServeStores. Port 0 chooses a free port.
	TableAddress   netip.AddrPort
	CloudAddress   netip.AddrPort
	ObjectsAddress netip.AddrPort
	WeightsAddress netip.AddrPort
	Groups         []Group `validate:"dive"`
	Nodes          []Node  `validate:"dive"`
}

// Group is a number of identical endpoints.
type Group struct {
	Count            int                 `validate:"min=1"`
	Role             qf.VMRole           `validate:"oneof=ModelEngine PlainService"`
	Entry            qf.EntryName        `validate:"required"`
	Version          qf.Version          `validate:"required"`
	AvailabilityZone qf.AvailabilityZone `validate:"required"`
	Class            qf.VMClass          `validate:"oneof=Reclaimable OnDemand"`
	// SlowFactor and FailEvery inject faults, for tests of faulty versions.
	SlowFactor float64
	FailEvery  int
	// Varies makes the engines' tokens differ between attempts.
	Varies bool
	// TokenInterval overrides the delay before each token.
	TokenInterval qfdocument.Duration
	// Slots overrides the number of requests that an engine runs at once.
	Slots int `validate:"gte=0"`
}

// Node is an entry node in the VM list.
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
	// AddressIn returns the address on which the servers in a zone listen, normally
	// with port 0.
	AddressIn func(zone qf.AvailabilityZone) netip.AddrPort
	Table     *standtable.Table
	Cloud     *standcloud.Cloud
	Objects   *standobject.Store
	Weights   *standweight.Store

	mu            sync.Mutex
	executionLogs map[qf.EntryName]*standservice.ExecutionLog
	engines       map[qf.VMID]*standengine.Engine
	services      map[qf.VMID]*standservice.Service
	// behaviours holds the behaviour of each version's engines.
	behaviours map[qf.Version]standengine.Behaviour
	// servers holds the servers of the platform's services.
	servers []*http.Server
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// New returns a world without VMs.
func New(clock qf.Clock, network qf.Network) *World {
	w := &World{
		Clock: clock, network: network, AddressIn: func(qf.AvailabilityZone) netip.AddrPort { return loopback },
		Table: standtable.New(clock), Objects: standobject.New(clock),
		Weights:       standweight.New(clock, standweight.DefaultBytesPerSecond),
		executionLogs: map[qf.EntryName]*standservice.ExecutionLog{},
		behaviours:    map[qf.Version]standengine.Behaviour{},
		engines:       map[qf.VMID]*standengine.Engine{},
		services:      map[qf.VMID]*standservice.Service{},
	}
	w.Cloud = standcloud.New(clock, nil, w.launch)
	return w
}

// SetBehaviour sets the behaviour of a version's engines, running and future ones.
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

// Behaviour returns the behaviour of a version's engines.
func (w *World) Behaviour(version qf.Version) standengine.Behaviour { return w.behaviourOf(version) }

// SendStaleOrder sends the engines of a version an order as of a former duty holder: it
// orders another version with the lowest fencing number.
func (w *World) SendStaleOrder(version, other qf.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if e.Version() == version {
			_, _ = e.ApplyOrder(qf.Order{Entry: "assistant", Version: other, Role: qf.EngineMixed}) // Engines that check fencing numbers refuse it.
		}
	}
}

// CountReporting returns the number of engines that report the version.
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

// LatestArrivalWhileLeaving returns the longest time after the call of Leave at which
// any engine received an attempt.
func (w *World) LatestArrivalWhileLeaving() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	latest := time.Duration(0)
	for _, e := range w.engines {
		latest = max(latest, e.LatestArrivalWhileLeaving())
	}
	return latest
}

// SetServiceBehaviour sets the behaviour of the running services.
func (w *World) SetServiceBehaviour(behaviour standservice.Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.services {
		s.SetBehaviour(behaviour)
	}
}

// ExecutionLog returns the execution log that an entry's services share.
func (w *World) ExecutionLog(entry qf.EntryName) *standservice.ExecutionLog {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.executionLogs[entry] == nil {
		w.executionLogs[entry] = &standservice.ExecutionLog{}
	}
	return w.executionLogs[entry]
}

// Populate starts the fleet's endpoints and registers its nodes with the cloud.
func (w *World) Populate(ctx context.Context, fleet *Fleet) error {
	number := 0
	for _, g := range fleet.Groups {
		w.SetBehaviour(g.Version, g.behaviour())
		w.Weights.Add(g.Entry, g.Version, weightBytes)
		for range g.Count {
			number++
			if err := w.startEndpoint(ctx, &g, number); err != nil {
				return err
			}
		}
	}
	for _, n := range fleet.Nodes {
		w.Cloud.Register(NodeVM(n.ID, n.AvailabilityZone, n.CallerAddress, n.PeerAddress), nil)
	}
	return nil
}

// weightBytes is the size of each version's weights.
const weightBytes = 16 << 30

// NodeVM returns the VM of an entry node with its caller and peer addresses.
func NodeVM(id qf.VMID, zone qf.AvailabilityZone, callers, peers netip.AddrPort) qf.VM {
	return qf.VM{
		ID: id, Role: qf.RoleEntryNode, AvailabilityZone: zone, Region: standcloud.RegionOf(zone),
		Class: qf.ClassReclaimable, Address: callers, PeerAddress: peers,
	}
}

// behaviour returns the behaviour of the group's engines.
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

// startEndpoint starts the VM of one endpoint of a group.
func (w *World) startEndpoint(ctx context.Context, g *Group, number int) error {
	result := w.Cloud.StartVM(ctx, qf.StartVMRequest{
		Token: string(g.Entry) + "/" + string(g.Version) + "/" + strconv.Itoa(number),
		Role:  g.Role, Entry: g.Entry, Version: g.Version,
		AvailabilityZone: g.AvailabilityZone, Class: g.Class,
	})
	return result.Err
}

// launch starts the server of a VM. It implements standcloud.Launcher.
func (w *World) launch(vm qf.VM) (standcloud.Server, error) {
	s := &server{}
	endpoint := qf.Endpoint{ID: qf.EndpointID(vm.ID), VM: vm.ID, Entry: vm.Entry, Version: vm.Version}
	var handler http.Handler
	if vm.Role == qf.RolePlainService {
		service := standservice.New(w.Clock, endpoint, standservice.Behaviour{}, w.ExecutionLog(vm.Entry))
		w.register(vm.ID, nil, service)
		handler = service.Handler()
		s.leave = service.Leave
	} else {
		engine := standengine.New(w.Clock, endpoint, w.behaviourOf(vm.Version), func() { w.Cloud.Crash(vm.ID) })
		w.register(vm.ID, engine, nil)
		handler = engine.Handler()
		s.leave = engine.Leave
	}
	return s, s.start(w.network.Listen, w.AddressIn(vm.AvailabilityZone), handler)
}

// register adds the engine or the service of a VM.
func (w *World) register(vm qf.VMID, engine *standengine.Engine, service *standservice.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if engine != nil {
		w.engines[vm] = engine
		return
	}
	w.services[vm] = service
}

// behaviourOf returns the behaviour of a version's engines, or the default.
func (w *World) behaviourOf(version qf.Version) standengine.Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b, ok := w.behaviours[version]; ok {
		return b
	}
	return standengine.DefaultBehaviour()
}

// Serve serves the table and the cloud API on the addresses and returns the addresses
// on which they listen.
func (w *World) Serve(table, cloud netip.AddrPort) (tableAddress, cloudAddress netip.AddrPort, err error) {
	tableAddress, err = w.open(table, w.Table.Handler())
	if err != nil {
		return
	}
	cloudAddress, err = w.open(cloud, w.Cloud.Handler())
	return
}

// ServeStores serves the object store and the weight store on the addresses and
// returns the addresses on which they listen. An invalid address stands for a free
// port on loopback.
func (w *World) ServeStores(objects, weights netip.AddrPort) (objectsAddress, weightsAddress netip.AddrPort, err error) {
	objectsAddress, err = w.open(orLoopback(objects), w.Objects.Handler())
	if err != nil {
		return
	}
	weightsAddress, err = w.open(orLoopback(weights), w.Weights.Handler())
	return
}

// orLoopback replaces an invalid address by a free port on loopback.
func orLoopback(address netip.AddrPort) netip.AddrPort {
	if address.IsValid() {
		return address
	}
	return loopback
}

// open serves a handler on an address and returns the address on which it listens.
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

// serve runs a server until it is closed.
func serve(s *http.Server, listener net.Listener) {
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		panic(err) // Without the stand-in, every later result would be invalid.
	}
}

// Close stops the servers of the platform and of the VMs.
func (w *World) Close() {
	for _, s := range w.servers {
		_ = s.Close() // The server is discarded in any case.
	}
	w.Cloud.SetFaults(standcloud.Faults{}) // While the cloud is down, ListVMs fails.
	vms, _ := w.Cloud.ListVMs(context.Background())
	for i := range vms {
		w.Cloud.Crash(vms[i].ID)
	}
}
