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

// fleet is a number of nodes without listeners, one in each zone, whose calls to
// each other can be cut or lose their answers. It runs in a synctest bubble.
type fleet struct {
	t      *testing.T
	timer  qf.Clock
	engine *fakeEngine
	nodes  []*Node

	mu sync.Mutex
	// cut holds the nodes that nobody reaches and that reach nobody.
	cut map[qf.NodeID]bool
	// loseAnswers holds nodes whose answers to HandOver are lost.
	loseAnswers map[qf.NodeID]bool
	// delay holds nodes to which hand-overs arrive late.
	delay map[qf.NodeID]time.Duration
	late  sync.WaitGroup
	// endpoints is what the VM list shows.
	endpoints []qf.VM
	notices   []qf.Notice
}

func newFleet(t *testing.T, nodes int) *fleet {
	t.Helper()
	timer := qftimer.NewWall() // It reads the bubble's clock.
	f := &fleet{
		t: t, timer: timer, engine: newFakeEngine(timer),
		cut: map[qf.NodeID]bool{}, loseAnswers: map[qf.NodeID]bool{}, delay: map[qf.NodeID]time.Duration{},
	}
	for i := range 2 * nodes {
		zone := fmt.Sprintf("zone-%d", i%nodes)
		f.endpoints = append(f.endpoints, qf.VM{
			ID: qf.VMID(fmt.Sprintf("engine-%d", i)), Incarnation: 1, Role: qf.RoleModelEngine, State: qf.VMLive,
			Entry: "assistant", Version: "v1", AvailabilityZone: qf.AvailabilityZone(zone),
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	table := standtable.New(timer)
	for i := range nodes {
		f.nodes = append(f.nodes, f.newNode(i, timer, table))
	}
	for _, n := range f.nodes {
		n.startFeeds()
	}
	t.Cleanup(func() {
		f.late.Wait()
		for _, n := range f.nodes {
			n.Kill()
		}
	})
	f.settle()
	return f
}

func (f *fleet) newNode(i int, timer qf.Clock, table *standtable.Table) *Node {
	settings := qfsettings.Default()
	settings.Node.ID = fmt.Sprintf("node-%d", i)
	settings.Node.AvailabilityZone = fmt.Sprintf("zone-%d", i)
	pace := &qfledger.CommitRate{PerSecond: settings.Request.LedgerCommitsPerSecond}
	n := New(settings, Platform{
		Clock: timer, Table: table, VMList: f, Cloud: f, Engine: f.engine, Prober: f.engine, Service: nil,
		Ledger: qfledger.New(timer, table, ledgerOptions(settings, pace)), LedgerCommitRate: pace, Peer: &memoryPeer{fleet: f, from: qf.NodeID(settings.Node.ID)},
		Logger: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, uint64(i))),
	})
	address := addressFor(i)
	n.join(address, address)
	f.endpoints = append(f.endpoints, qf.VM{
		ID: qf.VMID(settings.Node.ID), Incarnation: 1, Role: qf.RoleEntryNode, State: qf.VMLive,
		AvailabilityZone: settings.Node.Zone(), Address: address, PeerAddress: address,
	})
	return n
}

func addressFor(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// settle lets the nodes hear of each other.
func (f *fleet) settle() { f.pass(2 * time.Second) }

// pass lets time pass on the bubble's clock.
func (f *fleet) pass(d time.Duration) { <-f.timer.After(d).C() }

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// ListActiveVMs implements qf.VMLister.
func (f *fleet) ListActiveVMs(context.Context) ([]qf.VM, time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]qf.VM(nil), f.endpoints...), f.timer.Now(), nil
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

// reach returns the node at an address if the link to it works.
func (f *fleet) reach(from qf.NodeID, to netip.AddrPort) (*Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.Self().PeerAddress == to && !f.cut[from] && !f.cut[n.Self().ID] {
			return n, nil
		}
	}
	return nil, qf.NewError(qf.CodeUnavailable, qf.StepPeer, to.String(), "cut")
}

// memoryPeer implements qf.PeerClient by direct calls.
type memoryPeer struct {
	fleet *fleet
	from  qf.NodeID
}

func (p *memoryPeer) ExchangeDigests(_ context.Context, address netip.AddrPort, digest qf.Digest) (qf.Digest, error) {
	n, err := p.fleet.reach(p.from, address)
	if err != nil {
		return qf.Digest{}, err
	}
	return n.Exchange(digest), nil
}

func (p *memoryPeer) HandOverRequests(_ context.Context, address netip.AddrPort, records []qf.RequestRecord) qf.Result[[]qf.RequestID] {
	n, err := p.fleet.reach(p.from, address)
	if err != nil {
		return qf.NotDoneFor[[]qf.RequestID](err)
	}
	p.fleet.mu.Lock()
	lost, late := p.fleet.loseAnswers[n.Self().ID], p.fleet.delay[n.Self().ID]
	p.fleet.mu.Unlock()
	lostAnswer := qf.UnknownFor[[]qf.RequestID](qf.NewError(qf.CodeUnavailable, qf.StepPeer, "", "no answer in time"))
	if late > 0 {
		p.fleet.late.Go(func() {
			p.fleet.pass(late)
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

func (p *memoryPeer) ReplicateRecords(_ context.Context, address netip.AddrPort, records []qf.RequestRecord) ([]qf.RequestID, error) {
	n, err := p.fleet.reach(p.from, address)
	if err != nil {
		return nil, err
	}
	return n.KeepShadows(records), nil
}

func (p *memoryPeer) FetchRecord(_ context.Context, address netip.AddrPort, id qf.RequestID) (qf.RequestRecord, error) {
	n, err := p.fleet.reach(p.from, address)
	if err != nil {
		return qf.RequestRecord{}, err
	}
	return n.Lookup(id)
}

func (p *memoryPeer) FetchCatalogue(context.Context, netip.AddrPort, qf.Revision) ([]byte, qf.Revision, error) {
	return nil, 0, nil
}

// send has a node accept a request of so many tokens.
func (f *fleet) send(node int, id qf.RequestID, tokens int) {
	f.t.Helper()
	_, err := f.nodes[node].Accept(context.Background(), &qf.Request{
		ID: id, Organisation: "parks", Entry: "assistant", Kind: qf.KindModelEngine, Class: qf.ClassInteractive,
		Messages: []qf.Message{{Role: "user", Content: string(id)}}, MaxTokens: tokens, Stream: true,
		Deadline: f.timer.Now().Add(time.Minute),
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// fetch asks a node for the rest of an answer as a caller without the library
// does, and follows redirections. The nodes in gone don't answer it.
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
				return have, fmt.Errorf("%s: the answer at node %d differs", id, node)
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
				return have, fmt.Errorf("sent to %s, which is gone", g)
			}
		}
	}
	return have, fmt.Errorf("%s: sent round in circles", id)
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
