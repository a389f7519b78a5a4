package node_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"quetzalfront/internal/node"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qftelemetry"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/internal/standin/standnet"
	"quetzalfront/internal/standin/standworld"
	"quetzalfront/pkg/qfclient"
)

const testCatalogue = `
[[Entries]]
Name = "assistant"
Kind = "ModelEngine"
Owner = "tests"
Class = "Interactive"
Deadline = "60s"
Target = "v1"
[[Entries.Versions]]
Name = "v1"
`

var (
	platformAddress = netip.MustParseAddrPort("10.9.0.1:0")
	nodeAddress     = netip.MustParseAddrPort("10.1.0.1:0")
	callerAddress   = netip.MustParseAddr("10.8.0.1")
)

// system is a platform with two engines and some nodes on an in-memory network. It runs in
// a synctest bubble.
type system struct {
	t            *testing.T
	network      *standnet.Network
	world        *standworld.World
	table, cloud netip.AddrPort
	nodes        []*node.Node
	// operators are the addresses of the nodes' operator ports.
	operators []netip.AddrPort
	http      *http.Client
	// wrapEngine wraps the client of engines of the nodes that start; nil wraps nothing.
	wrapEngine func(qf.EngineClient) qf.EngineClient
}

func newSystem(t *testing.T) *system {
	s := &system{t: t, network: standnet.New()}
	s.world = standworld.New(qftimer.NewWall(), s.network.From(platformAddress.Addr()))
	s.world.AddressIn = func(qf.AvailabilityZone) netip.AddrPort { return platformAddress }
	var err error
	if s.table, s.cloud, err = s.world.Serve(platformAddress, platformAddress); err != nil {
		t.Fatal(err)
	}
	s.http = &http.Client{Transport: qftelemetry.NewTracingTransport(&http.Transport{
		DialContext: s.network.From(callerAddress).Dial, DisableKeepAlives: true,
	})}
	t.Cleanup(s.close)
	err = s.world.Populate(t.Context(), &standworld.Fleet{Groups: []standworld.Group{{
		Count: 2, Role: qf.RoleModelEngine, Entry: "assistant", Version: "v1", AvailabilityZone: "north-a",
		Class: qf.ClassOnDemand, TokenInterval: qfdocument.Duration(100 * time.Millisecond),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *system) close() {
	for _, n := range s.nodes {
		n.Kill()
	}
	s.world.Close()
	s.network.Close()
}

// start starts a node with changed settings, and waits until all nodes are ready and list
// each other. The first node applies the catalogue.
func (s *system) start(id string, spans sdktrace.SpanExporter, change func(settings *qfsettings.Settings)) *node.Node {
	s.t.Helper()
	settings := qfsettings.Default()
	settings.Node = qfsettings.NodeSettings{
		ID: id, Region: "north-", AvailabilityZone: "north-a",
		CallerAddress: nodeAddress, PeerAddress: nodeAddress, OperatorAddress: nodeAddress,
	}
	settings.Platform.Table, settings.Platform.Cloud, settings.Platform.VMList = s.table, s.cloud, s.cloud
	settings.Security.Insecure = true
	if change != nil {
		change(settings)
	}
	platform := node.Connect(settings, qftimer.NewWall(), s.network.From(nodeAddress.Addr()), zerolog.Nop(), 1)
	platform.SpanExporter = spans
	if s.wrapEngine != nil {
		platform.Engine = s.wrapEngine(platform.Engine)
	}
	n := node.New(settings, platform)
	s.nodes = append(s.nodes, n)
	if err := n.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.operators = append(s.operators, settings.Node.OperatorAddress)
	self := n.Self()
	s.world.Cloud.Register(standworld.NodeVM(qf.VMID(id), "north-a", self.CallerAddress, self.PeerAddress), nil)
	if len(s.nodes) == 1 {
		s.apply(n)
	}
	s.eventually("the nodes are ready", func() bool {
		for _, n := range s.nodes {
			if !n.IsReady() || len(n.Endpoints()) < 2 || len(n.LiveNodes()) < len(s.nodes) {
				return false
			}
		}
		return true
	})
	return n
}

func (s *system) apply(n *node.Node) {
	document, faults := qfcatalogue.Parse([]byte(testCatalogue))
	if len(faults) > 0 {
		s.t.Fatal(faults)
	}
	result := n.Apply(s.t.Context(), qfcatalogue.Edit{ID: qfcatalogue.NewEditID(), Operator: "tests", Document: *document})
	if result.Err != nil {
		s.t.Fatal(result.Err)
	}
}

func (s *system) client() *qfclient.Client {
	seeds := make([]netip.AddrPort, 0, len(s.nodes))
	for _, n := range s.nodes {
		seeds = append(seeds, n.Self().CallerAddress)
	}
	return qfclient.New(qfclient.Options{Seeds: seeds, Organisation: "parks", HTTP: s.http})
}

// testTimeout ends a test that has failed. It is virtual time.
const testTimeout = 10 * time.Minute

func (s *system) eventually(what string, holds func() bool) {
	s.t.Helper()
	clock := qftimer.NewWall()
	limit := clock.Now().Add(testTimeout)
	for !holds() {
		if clock.Now().After(limit) {
			s.t.Fatalf("timed out waiting until %s", what)
		}
		<-clock.After(10 * time.Millisecond).C()
	}
}

// get returns the status and the body of the page at a path.
func (s *system) get(ctx context.Context, address netip.AddrPort, path string) (int, string) {
	return fetchPage(ctx, s.t, s.http, "http://"+address.String()+path)
}
