// Package standcloud is a small stand-in for the platform's cloud API and for
// its lagging list of VMs. A launcher starts the servers of its VMs in the same
// process.
package standcloud

import (
	"context"
	"fmt"
	"net/netip"
	"sort"
	"sync"
	"time"

	"quetzalfront/internal/qf"
)

// Server is what runs on a VM.
type Server interface {
	// Address is where the server listens.
	Address() netip.AddrPort
	// Leave tells the server that its VM will be reclaimed.
	Leave()
	// Kill ends the server at once and cuts its connections.
	Kill()
}

// Launcher starts the server of a VM.
type Launcher func(vm qf.VM) (Server, error)

// Faults are what is wrong with the cloud at present.
type Faults struct {
	// Down refuses every call.
	Down bool
	// RefuseStarts lists zones in which starts are refused.
	RefuseStarts []qf.AvailabilityZone
	// ListLag is how old the VM list's answers are.
	ListLag time.Duration
	// LoseAnswers makes the next so many starts and stops answer Unknown.
	LoseAnswers int
}

// Cloud is the cloud API and the VM list. It implements qf.Cloud and qf.VMLister.
type Cloud struct {
	clock  qf.Clock
	launch Launcher
	prices []qf.Price

	mu      sync.Mutex
	faults  Faults
	vms     map[qf.VMID]*machine
	byToken map[string]qf.VMID
	started int
	// past holds the states of the list, oldest first.
	past []listing
}

type machine struct {
	vm     qf.VM
	server Server
}

type listing struct {
	at  time.Time
	vms []qf.VM
}

// New returns a cloud without VMs.
func New(clock qf.Clock, prices []qf.Price, launch Launcher) *Cloud {
	return &Cloud{
		clock: clock, launch: launch, prices: prices,
		vms: map[qf.VMID]*machine{}, byToken: map[string]qf.VMID{},
	}
}

// SetFaults replaces the faults.
func (c *Cloud) SetFaults(faults Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// Register adds a VM that was not started through the API, such as an entry
// node. A VM of the same identifier gets a new incarnation.
func (c *Cloud) Register(vm qf.VM, server Server) qf.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.vms[vm.ID]; ok {
		vm.Incarnation = old.vm.Incarnation + 1
	}
	vm.Incarnation = max(vm.Incarnation, 1)
	vm.State = qf.VMLive
	c.vms[vm.ID] = &machine{vm: vm, server: server}
	c.record()
	return vm
}

// StartVM implements qf.Cloud. A repeated token returns the same VM.
func (c *Cloud) StartVM(_ context.Context, start qf.StartVMRequest) qf.Result[qf.VM] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refusal(start.AvailabilityZone); err != nil {
		return qf.NotDoneFor[qf.VM](err)
	}
	id, known := c.byToken[start.Token]
	if !known {
		vm, err := c.start(start)
		if err != nil {
			return qf.NotDoneFor[qf.VM](err)
		}
		id = vm.ID
	}
	if c.loseAnswer() {
		return qf.UnknownFor[qf.VM](qf.NewError(qf.CodeBroken, qf.StepCloud, "", "the answer was lost"))
	}
	return qf.DoneWith(c.vms[id].vm)
}

// refusal settles what is due and returns why a call isn't run, if it isn't. It
// is called with the lock held.
func (c *Cloud) refusal(zone qf.AvailabilityZone) error {
	c.takeDue()
	if c.faults.Down {
		return qf.NewError(qf.CodeUnavailable, qf.StepCloud, "", "the cloud is down")
	}
	for _, z := range c.faults.RefuseStarts {
		if z == zone {
			return qf.NewError(qf.CodeLimited, qf.StepCloud, string(zone), "no capacity")
		}
	}
	return nil
}

// start is called with the lock held.
func (c *Cloud) start(start qf.StartVMRequest) (qf.VM, error) {
	c.started++
	vm := qf.VM{
		ID:          qf.VMID(fmt.Sprintf("vm-%04d", c.started)),
		Incarnation: 1, Role: start.Role, Entry: start.Entry, Version: start.Version,
		AvailabilityZone: start.AvailabilityZone, Region: RegionOf(start.AvailabilityZone),
		Class: start.Class, State: qf.VMLive, Token: start.Token,
	}
	server, err := c.launch(vm)
	if err != nil {
		return qf.VM{}, qf.NewError(qf.CodeUnavailable, qf.StepCloud, string(vm.ID), err.Error())
	}
	vm.Address = server.Address()
	c.vms[vm.ID] = &machine{vm: vm, server: server}
	c.byToken[start.Token] = vm.ID
	c.record()
	return vm, nil
}

// RegionOf returns the region of a zone; each region has one zone, named after
// it with the letter a behind it.
func RegionOf(zone qf.AvailabilityZone) qf.Region {
	if n := len(zone); n > 1 {
		return qf.Region(zone[:n-1])
	}
	return qf.Region(zone)
}

func (c *Cloud) loseAnswer() bool {
	if c.faults.LoseAnswers == 0 {
		return false
	}
	c.faults.LoseAnswers--
	return true
}

// StopVM implements qf.Cloud.
func (c *Cloud) StopVM(_ context.Context, id qf.VMID) qf.Result[qf.VM] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refusal(""); err != nil {
		return qf.NotDoneFor[qf.VM](err)
	}
	m, ok := c.vms[id]
	if !ok {
		return qf.NotDoneFor[qf.VM](qf.NewError(qf.CodeNotFound, qf.StepCloud, string(id), "no such VM"))
	}
	c.remove(m)
	if c.loseAnswer() {
		return qf.UnknownFor[qf.VM](qf.NewError(qf.CodeBroken, qf.StepCloud, "", "the answer was lost"))
	}
	return qf.DoneWith(m.vm)
}

// remove is called with the lock held.
func (c *Cloud) remove(m *machine) {
	m.vm.State = qf.VMGone
	delete(c.vms, m.vm.ID)
	if m.server != nil {
		m.server.Kill()
	}
	c.record()
}

// ListPrices implements qf.Cloud.
func (c *Cloud) ListPrices(_ context.Context) ([]qf.Price, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prices, c.refusal("")
}

// SetPrices replaces the prices.
func (c *Cloud) SetPrices(prices []qf.Price) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prices = prices
}

// ListVMs implements qf.Cloud.
func (c *Cloud) ListVMs(_ context.Context) ([]qf.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refusal(""); err != nil {
		return nil, err
	}
	return c.snapshot(), nil
}

func (c *Cloud) snapshot() []qf.VM {
	vms := make([]qf.VM, 0, len(c.vms))
	for _, m := range c.vms {
		vms = append(vms, m.vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

const maxListings = 256

// record is called with the lock held, after each change.
func (c *Cloud) record() {
	c.past = append(c.past, listing{at: c.clock.Now(), vms: c.snapshot()})
	if extra := len(c.past) - maxListings; extra > 0 {
		c.past = append(c.past[:0], c.past[extra:]...)
	}
}

// ListActiveVMs implements qf.VMLister with the lag that the faults state.
func (c *Cloud) ListActiveVMs(_ context.Context) ([]qf.VM, time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refusal(""); err != nil {
		return nil, time.Time{}, err
	}
	asOf := c.clock.Now().Add(-c.faults.ListLag)
	for i := len(c.past) - 1; i >= 0; i-- {
		if !c.past[i].at.After(asOf) {
			return c.past[i].vms, asOf, nil
		}
	}
	return nil, asOf, nil
}

// ListNotices implements qf.Cloud.
func (c *Cloud) ListNotices(_ context.Context) ([]qf.Notice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refusal(""); err != nil {
		return nil, err
	}
	var notices []qf.Notice
	for _, vm := range c.snapshot() {
		if vm.State == qf.VMLeaving {
			notices = append(notices, qf.Notice{VM: vm.ID, Incarnation: vm.Incarnation, LeaveAt: vm.LeaveAt})
		}
	}
	return notices, nil
}

// Reclaim announces that the VMs leave after the delay, and takes them then.
func (c *Cloud) Reclaim(ids []qf.VMID, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leaveAt := c.clock.Now().Add(delay)
	for _, id := range ids {
		m, ok := c.vms[id]
		if !ok {
			continue
		}
		m.vm.State = qf.VMLeaving
		m.vm.LeaveAt = leaveAt
		if m.server != nil {
			m.server.Leave()
		}
		go c.takeAt(c.clock.After(delay), m)
	}
	c.record()
}

// ReclaimZone announces that all VMs of a zone leave after the delay.
func (c *Cloud) ReclaimZone(zone qf.AvailabilityZone, delay time.Duration) []qf.VMID {
	c.mu.Lock()
	var ids []qf.VMID
	for id, m := range c.vms {
		if m.vm.AvailabilityZone == zone {
			ids = append(ids, id)
		}
	}
	c.mu.Unlock()
	c.Reclaim(ids, delay)
	return ids
}

// takeDue takes the VMs whose time to leave has passed, so that an answer never
// shows them. It is called with the lock held.
func (c *Cloud) takeDue() {
	now := c.clock.Now()
	for _, m := range c.vms {
		if m.vm.State == qf.VMLeaving && !m.vm.LeaveAt.After(now) {
			c.remove(m)
		}
	}
}

func (c *Cloud) takeAt(due qf.Subscription, m *machine) {
	<-due.C()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms[m.vm.ID] == m {
		c.remove(m)
	}
}

// Crash ends a VM without notice.
func (c *Cloud) Crash(id qf.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.vms[id]; ok {
		c.remove(m)
	}
}
