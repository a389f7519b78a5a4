package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfledger"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/internal/standin/standtable"
)

// fleet is a number of nodes without listeners, one in each zone. Tests can isolate a node
// from its peers, and delay calls or lose their answers. It runs in a synctest bubble.
type fleet struct {
	t      *testing.T
	clock  qf.Clock
	engine *fakeEngine
	nodes  []*Node

	mu sync.Mutex
	// isolated holds the nodes that can't reach any peer or be reached by one.
	isolated map[qf.NodeID]bool
	// losesAnswers holds the nodes whose answers to hand-overs are lost.
	losesAnswers map[qf.NodeID]bool
	// delay holds the nodes at which hand-overs arrive late, with the delay.
	delay         map[qf.NodeID]time.Duration
	lateHandOvers sync.WaitGroup
	// endpoints are the VMs of the VM list.
	endpoints []qf.VM
	notices   []qf.Notice
}

func newFleet(t *testing.T, nodes int) *fleet {
	t.Helper()
	clock := qftimer.NewWall() // In a synctest bubble it reads the virtual clock.
	f := &fleet{
		t: t, clock: clock, engine: newFakeEngine(clock),
		isolated: map[qf.NodeID]bool{}, losesAnswers: map[qf.NodeID]bool{}, delay: map[qf.NodeID]time.Duration{},
	}
	for i := range 2 * nodes {
		zone := fmt.Sprintf("zone-%d", i%nodes)
		f.endpoints = append(f.endpoints, qf.VM{
			ID: qf.VMID(fmt.Sprintf("engine-%d", i)), Incarnation: 1, Role: qf.RoleModelEngine, State: qf.VMLive,
			Entry: "assistant", Version: "v1", AvailabilityZone: qf.AvailabilityZone(zone),
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	table := standtable.New(clock)
	for i := range nodes {
		f.nodes = append(f.nodes, f.newNode(i, clock, table))
	}
	for _, n := range f.nodes {
		n.startLoops()
	}
	t.Cleanup(func() {
		f.lateHandOvers.Wait()
		for _, n := range f.nodes {
			n.Kill()
		}
	})
	f.waitForMembership()
	return f
}

func (f *fleet) newNode(i int, clock qf.Clock, table *standtable.Table) *Node {
	settings := qfsettings.Default()
	settings.Node.ID = fmt.Sprintf("node-%d", i)
	settings.Node.AvailabilityZone = fmt.Sprintf("zone-%d", i)
	commitRate := &qfledger.CommitRate{PerSecond: settings.Request.LedgerCommitsPerSecond}
	n := New(settings, Platform{
		Clock: clock, Table: table, VMList: f, Cloud: f, Engine: f.engine, Prober: f.engine, Service: nil,
		Ledger: qfledger.New(clock, table, ledgerOptions(settings, commitRate)), LedgerCommitRate: commitRate, Peer: &directPeer{fleet: f, from: qf.NodeID(settings.Node.ID)},
		Logger: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, uint64(i))),
	})
	address := addressFor(i)
	n.initMembership(address, address)
	f.endpoints = append(f.endpoints, qf.VM{
		ID: qf.VMID(settings.Node.ID), Incarnation: 1, Role: qf.RoleEntryNode, State: qf.VMLive,
		AvailabilityZone: settings.Node.Zone(), Address: address, PeerAddress: address,
	})
	return n
}

func addressFor(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// waitForMembership gives the nodes time to list each other.
func (f *fleet) waitForMembership() { f.sleep(2 * time.Second) }

// sleep blocks for a duration of the bubble's clock.
func (f *fleet) sleep(d time.Duration) { <-f.clock.After(d).C() }

// update changes the fleet with its lock held.
func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// ListActiveVMs implements qf.VMLister.
func (f *fleet) ListActiveVMs(context.Context) ([]qf.VM, time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]qf.VM(nil), f.endpoints...), f.clock.Now(), nil
}

// ListNotices implements qf.Cloud.
func (f *fleet) ListNotices(context.Context) ([]qf.Notice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]qf.Notice(nil), f.notices...), nil
}

// ListPrices implements qf.Cloud.
func (f *fleet) ListPrices(context.Context) ([]qf.Price, error) { return nil, nil }

// ListVMs implements qf.Cloud.
func (f *fleet) ListVMs(context.Context) ([]qf.VM, error) { return nil, nil }

// StartVM implements qf.Cloud.
func (f *fleet) StartVM(context.Context, qf.StartVMRequest) qf.Result[qf.VM] {
	return qf.Result[qf.VM]{}
}

// StopVM implements qf.Cloud.
func (f *fleet) StopVM(context.Context, qf.VMID) qf.Result[qf.VM] { return qf.Result[qf.VM]{} }

// reachableNode returns the node at an address, or an error if either node is isolated.
func (f *fleet) reachableNode(from qf.NodeID, to netip.AddrPort) (*Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.Self().PeerAddress == to && !f.isolated[from] && !f.isolated[n.Self().ID] {
			return n, nil
		}
	}
	return nil, qf.NewError(qf.CodeUnavailable, qf.StepPeer, to.String(), "the peer is unreachable")
}

// directPeer implements qf.PeerClient by direct calls of the nodes' methods.
type directPeer struct {
	fleet *fleet
	from  qf.NodeID
}

func (p *directPeer) ExchangeDigests(_ context.Context, address netip.AddrPort, digest qf.Digest) (qf.Digest, error) {
	n, err := p.fleet.reachableNode(p.from, address)
	if err != nil {
		return qf.Digest{}, err
	}
	return n.Exchange(digest), nil
}

func (p *directPeer) HandOverRequests(_ context.Context, address netip.AddrPort, records []qf.RequestRecord) qf.Result[[]qf.RequestID] {
	n, err := p.fleet.reachableNode(p.from, address)
	if err != nil {
		return qf.NotDoneFor[[]qf.RequestID](err)
	}
	p.fleet.mu.Lock()
	lost, late := p.fleet.losesAnswers[n.Self().ID], p.fleet.delay[n.Self().ID]
	p.fleet.mu.Unlock()
	lostAnswer := qf.UnknownFor[[]qf.RequestID](qf.NewError(qf.CodeUnavailable, qf.StepPeer, "", "no answer in time"))
	if late > 0 {
		p.fleet.lateHandOvers.Go(func() {
			p.fleet.sleep(late)
			n.TakeOver(records)
		})
		return lostAnswer
	}
	taken := n.TakeOver(records)
	if lost {
		return lostAnswer
	}
	return qf.DoneWith(taken)
}

func (p *directPeer) ReplicateRecords(_ context.Context, address netip.AddrPort, records []qf.RequestRecord) ([]qf.RequestID, error) {
	n, err := p.fleet.reachableNode(p.from, address)
	if err != nil {
		return nil, err
	}
	return n.KeepShadows(records), nil
}

func (p *directPeer) FetchRecord(_ context.Context, address netip.AddrPort, id qf.RequestID) (qf.RequestRecord, error) {
	n, err := p.fleet.reachableNode(p.from, address)
	if err != nil {
		return qf.RequestRecord{}, err
	}
	return n.Lookup(id)
}

func (p *directPeer) FetchCatalogue(context.Context, netip.AddrPort, qf.Revision) ([]byte, qf.Revision, error) {
	return nil, 0, nil
}

// send makes a node accept a request for an answer of a number of tokens.
func (f *fleet) send(node int, id qf.RequestID, tokens int) {
	f.t.Helper()
	_, err := f.nodes[node].Accept(context.Background(), &qf.Request{
		ID: id, Organisation: "parks", Entry: "assistant", Kind: qf.KindModelEngine, Class: qf.ClassInteractive,
		Messages: []qf.Message{{Role: "user", Content: string(id)}}, MaxTokens: tokens, Stream: true,
		Deadline: f.clock.Now().Add(time.Minute),
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// fetch reads the rest of an answer from a node, as a caller without the client library
// does, and follows redirects. It fails if a redirect leads to a node in gone.
func (f *fleet) fetch(node int, id qf.RequestID, have []string, gone ...qf.NodeID) ([]string, error) {
	for range 10 {
		record, err := f.nodes[node].Find(context.Background(), id)
		if err != nil {
			return have, err
		}
		reader := record.Attach()
		for {
			progress, err := reader.Wait(context.Background(), len(have))
			if err != nil {
				return have, err
			}
			if all := record.Progress(0).Text; len(progress.Text) > 0 && strings.Join(all[:len(have)], "") != strings.Join(have, "") {
				return have, fmt.Errorf("%s: the answer at node %d differs from the text received so far", id, node)
			}
			have = append(have, progress.Text...)
			if progress.Moved != nil {
				node = f.indexOf(progress.Moved.Node.ID)
				break
			}
			if progress.Ended() {
				reader.Detach()
				return have, errorOrNil(progress.Err)
			}
		}
		reader.Detach()
		for _, g := range gone {
			if f.nodes[node].Self().ID == g {
				return have, fmt.Errorf("redirected to %s, which is gone", g)
			}
		}
	}
	return have, fmt.Errorf("%s: too many redirects", id)
}

func errorOrNil(err *qf.Error) error {
	if err == nil {
		return nil
	}
	return err
}

func (f *fleet) indexOf(id qf.NodeID) int {
	for i, n := range f.nodes {
		if n.Self().ID == id {
			return i
		}
	}
	f.t.Fatalf("no node %s", id)
	return 0
}
