// Package standcloud is a small stand-in for the platform's cloud API and for
// its eventually consistent VM list. A Launcher starts the servers of its VMs in the
// same process.
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

// Server is the server that runs on a VM.
type Server interface {
	// Address returns the address on which the server listens.
	Address() netip.AddrPort
	// Leave notifies the server that its VM will be reclaimed.
	Leave()
	// Kill stops the server at once and closes its connections.
	Kill()
}

// Launcher starts the server of a VM.
type Launcher func(vm qf.VM) (Server, error)

// Faults are the faults that are injected into the cloud.
type Faults struct {
	// Down refuses every call.
	Down bool
	// RefuseStarts lists the zones in which starts fail for lack of capacity.
	RefuseStarts []qf.AvailabilityZone
	// ListLag is the age of the VM list's responses.
	ListLag time.Duration
	// LoseAnswers is the number of starts and stops that take effect but return
	// Unknown.
	LoseAnswers int
}

// Cloud is the cloud API and the VM list. It implements qf.Cloud and qf.VMLister.
type Cloud struct {
	clock  qf.Clock
	launch Launcher
	prices []qf.Price

	mu      sync.Mutex
	faults  Faults
	vms     map[qf.VMID]*instance
	byToken map[string]qf.VMID
	// startCount is the number of started VMs, which numbers their identifiers.
	startCount int
	// snapshots holds the latest maxSnapshots states of the VM list, oldest first.
	snapshots []snapshot
}

// instance is a VM and its server, which is nil for a registered VM without one.
type instance struct {
	vm     qf.VM
	server Server
}

// snapshot is the state of the VM list at a time.
type snapshot struct {
	at  time.Time
	vms []qf.VM
}

// New returns a cloud without VMs.
func New(clock qf.Clock, prices []qf.Price, launch Launcher) *Cloud {
	return &Cloud{
		clock: clock, launch: launch, prices: prices,
		vms: map[qf.VMID]*instance{}, byToken: map[string]qf.VMID{},
	}
}

// SetFaults replaces the injected faults.
func (c *Cloud) SetFaults(faults Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// Register adds a VM that was not started through the API, such as an entry
// node. It replaces a VM with the same identifier and increments the incarnation.
func (c *Cloud) Register(vm qf.VM, server Server) qf.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.vms[vm.ID]; ok {
		vm.Incarnation = old.vm.Incarnation + 1
	}
	vm.Incarnation = max(vm.Incarnation, 1)
	vm.State = qf.VMLive
	c.vms[vm.ID] = &instance{vm: vm, server: server}
	c.recordSnapshot()
	return vm
}

// StartVM implements qf.Cloud. A repeated token returns the VM that was first
// started with it.
func (c *Cloud) StartVM(_ context.Context, start qf.StartVMRequest) qf.Result[qf.VM] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkCall(start.AvailabilityZone); err != nil {
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
	if c.losesResponse() {
		return qf.UnknownFor[qf.VM](qf.NewError(qf.CodeBroken, qf.StepCloud, "", "the answer was lost"))
	}
	return qf.DoneWith(c.vms[id].vm)
}

// checkCall removes the VMs that are due to leave. It returns an error if the
// injected faults refuse the call. The caller holds c.mu.
func (c *Cloud) checkCall(zone qf.AvailabilityZone) error {
	c.removeDueVMs()
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

// start starts a VM and its server. The caller holds c.mu.
func (c *Cloud) start(start qf.StartVMRequest) (qf.VM, error) {
	c.startCount++
	vm := qf.VM{
		ID:          qf.VMID(fmt.Sprintf("vm-%04d", c.startCount)),
		Incarnation: 1, Role: start.Role, Entry: start.Entry, Version: start.Version,
		AvailabilityZone: start.AvailabilityZone, Region: RegionOf(start.AvailabilityZone),
		Class: start.Class, State: qf.VMLive, Token: start.Token,
	}
	server, err := c.launch(vm)
	if err != nil {
		return qf.VM{}, qf.NewError(qf.CodeUnavailable, qf.StepCloud, string(vm.ID), err.Error())
	}
	vm.Address = server.Address()
	c.vms[vm.ID] = &instance{vm: vm, server: server}
	c.byToken[start.Token] = vm.ID
	c.recordSnapshot()
	return vm, nil
}

// RegionOf returns the region of a zone. Each region has one zone, whose name is that
// of the region with the letter a appended.
func RegionOf(zone qf.AvailabilityZone) qf.Region {
	if n := len(zone); n > 1 {
		return qf.Region(zone[:n-1])
	}
	return qf.Region(zone)
}

// losesResponse reports whether the response of this start or stop is lost. The caller
// holds c.mu.
func (c *Cloud) losesResponse() bool {
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
	if err := c.checkCall(""); err != nil {
		return qf.NotDoneFor[qf.VM](err)
	}
	m, ok := c.vms[id]
	if !ok {
		return qf.NotDoneFor[qf.VM](qf.NewError(qf.CodeNotFound, qf.StepCloud, string(id), "no such VM"))
	}
	c.remove(m)
	if c.losesResponse() {
		return qf.UnknownFor[qf.VM](qf.NewError(qf.CodeBroken, qf.StepCloud, "", "the answer was lost"))
	}
	return qf.DoneWith(m.vm)
}

// remove stops a VM's server and removes the VM. The caller holds c.mu.
func (c *Cloud) remove(m *instance) {
	m.vm.State = qf.VMGone
	delete(c.vms, m.vm.ID)
	if m.server != nil {
		m.server.Kill()
	}
	c.recordSnapshot()
}

// ListPrices implements qf.Cloud.
func (c *Cloud) ListPrices(_ context.Context) ([]qf.Price, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prices, c.checkCall("")
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
	if err := c.checkCall(""); err != nil {
		return nil, err
	}
	return c.sortedVMs(), nil
}

// sortedVMs returns the current VMs in order of their identifiers. The caller holds
// c.mu.
func (c *Cloud) sortedVMs() []qf.VM {
	vms := make([]qf.VM, 0, len(c.vms))
	for _, m := range c.vms {
		vms = append(vms, m.vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

// maxSnapshots is the maximum number of recorded snapshots.
const maxSnapshots = 256

// recordSnapshot records the current VM list. It is called after each change, with c.mu
// held.
func (c *Cloud) recordSnapshot() {
	c.snapshots = append(c.snapshots, snapshot{at: c.clock.Now(), vms: c.sortedVMs()})
	if extra := len(c.snapshots) - maxSnapshots; extra > 0 {
		c.snapshots = append(c.snapshots[:0], c.snapshots[extra:]...)
	}
}

// ListActiveVMs implements qf.VMLister. The list is older than now by Faults.ListLag.
func (c *Cloud) ListActiveVMs(_ context.Context) ([]qf.VM, time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkCall(""); err != nil {
		return nil, time.Time{}, err
	}
	asOf := c.clock.Now().Add(-c.faults.ListLag)
	for i := len(c.snapshots) - 1; i >= 0; i-- {
		if !c.snapshots[i].at.After(asOf) {
			return c.snapshots[i].vms, asOf, nil
		}
	}
	return nil, asOf, nil
}

// ListNotices implements qf.Cloud.
func (c *Cloud) ListNotices(_ context.Context) ([]qf.Notice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkCall(""); err != nil {
		return nil, err
	}
	var notices []qf.Notice
	for _, vm := range c.sortedVMs() {
		if vm.State == qf.VMLeaving {
			notices = append(notices, qf.Notice{VM: vm.ID, Incarnation: vm.Incarnation, LeaveAt: vm.LeaveAt})
		}
	}
	return notices, nil
}

// Reclaim issues a notice for the VMs and removes them after the delay.
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
		go c.removeWhenDue(c.clock.After(delay), m)
	}
	c.recordSnapshot()
}

// ReclaimZone reclaims all VMs of a zone after the delay and returns their identifiers.
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

// removeDueVMs removes the VMs whose time to leave has passed, so that no response
// contains them. The caller holds c.mu.
func (c *Cloud) removeDueVMs() {
	now := c.clock.Now()
	for _, m := range c.vms {
		if m.vm.State == qf.VMLeaving && !m.vm.LeaveAt.After(now) {
			c.remove(m)
		}
	}
}

// removeWhenDue removes a VM when its reclaim is due, unless it was removed before.
func (c *Cloud) removeWhenDue(due qf.Subscription, m *instance) {
	<-due.C()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms[m.vm.ID] == m {
		c.remove(m)
	}
}

// Crash removes a VM without notice.
func (c *Cloud) Crash(id qf.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.vms[id]; ok {
		c.remove(m)
	}
}
