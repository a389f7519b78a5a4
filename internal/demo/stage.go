package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	fixtures "quetzalfront"
	"quetzalfront/internal/node"
	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfcatalogue"
	"quetzalfront/internal/qf/state/qfdocument"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/internal/standin/standcloud"
	"quetzalfront/internal/standin/standworld"
)

// stage is one deployment that runs in this process.
type stage struct {
	deployment *Deployment
	timer      qf.Clock
	world      *standworld.World
	nodes      []*node.Node
	endpoints  int
}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// newStage starts the stand-ins and one node in each zone, applies the
// catalogue, and waits until every node is ready.
func newStage(ctx context.Context, d *Deployment, timer qf.Clock) (*stage, error) {
	s := &stage{deployment: d, timer: timer, world: standworld.New(timer, qf.TCP())}
	table, cloud, err := s.world.Serve(anyPort, anyPort)
	if err != nil {
		return nil, err
	}
	if err := s.populate(ctx); err != nil {
		return nil, err
	}
	for i, zone := range d.Zones {
		if err := s.startNode(i, zone, table, cloud); err != nil {
			return nil, err
		}
	}
	if err := s.applyCatalogue(ctx); err != nil {
		return nil, err
	}
	return s, s.waitReady(ctx)
}

func (s *stage) populate(ctx context.Context) error {
	data, err := fixtures.Fixtures.ReadFile("_fixtures/" + s.deployment.Name + "-fleet.toml")
	if err != nil {
		return err
	}
	fleet := &standworld.Fleet{}
	if faults := qfdocument.Decode(data, fleet); len(faults) > 0 {
		return fmt.Errorf("fleet: %s", faults[0])
	}
	fleet.Nodes = nil
	for _, g := range fleet.Groups {
		s.endpoints += g.Count
	}
	return s.world.Populate(ctx, fleet)
}

const (
	keepAddressesFor = time.Second
	feedEvery        = 100 * time.Millisecond
)

func (s *stage) startNode(i int, zone qf.AvailabilityZone, table, cloud netip.AddrPort) error {
	settings := qfsettings.Default()
	settings.Node = qfsettings.NodeSettings{
		ID:     fmt.Sprintf("%s-node-%d", s.deployment.Name, i+1),
		Region: string(standcloud.RegionOf(zone)), AvailabilityZone: string(zone),
		CallerAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort,
	}
	settings.Platform.Table, settings.Platform.Cloud, settings.Platform.VMList = table, cloud, cloud
	settings.Security.Insecure = true
	settings.Request.KeepAddressesFor = qfdocument.Duration(keepAddressesFor)
	settings.Feed.CatalogueEvery = qfdocument.Duration(feedEvery)
	settings.Feed.NoticesEvery = qfdocument.Duration(feedEvery)
	settings.Feed.VMListEvery = qfdocument.Duration(feedEvery)
	settings.Peer.ExchangeEvery = qfdocument.Duration(feedEvery)
	settings.Rollout.LeastWithin = qfdocument.Duration(time.Second)
	n := node.New(settings, node.Connect(settings, s.timer, qf.TCP(), zerolog.Nop(), uint64(i+1)))
	if err := n.Start(); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	self := n.Self()
	s.world.Cloud.Register(standworld.NodeVM(qf.VMID(self.ID), zone, self.CallerAddress, self.PeerAddress), nil)
	return nil
}

func (s *stage) applyCatalogue(ctx context.Context) error {
	data, err := fixtures.Fixtures.ReadFile("_fixtures/" + s.deployment.Name + ".toml")
	if err != nil {
		return err
	}
	document, faults := qfcatalogue.Parse(data)
	if len(faults) > 0 {
		return fmt.Errorf("catalogue: %s", faults[0])
	}
	verdict := s.nodes[0].Apply(ctx, qfcatalogue.Edit{
		ID: qfcatalogue.NewEditID(), Operator: "demo", Document: *document,
	})
	return verdict.Err
}

// waitReady waits until every node has the catalogue, the endpoints and its
// peers.
func (s *stage) waitReady(ctx context.Context) error {
	return s.waitFor(ctx, "all nodes to be ready", func() bool {
		for _, n := range s.nodes {
			if !n.IsReady() || len(n.Endpoints()) < s.endpoints || len(n.LiveNodes()) < len(s.nodes) {
				return false
			}
		}
		return true
	})
}

const (
	waitLimit = 20 * time.Second
	waitStep  = 10 * time.Millisecond
)

func (s *stage) waitFor(ctx context.Context, what string, holds func() bool) error {
	limit := s.timer.After(waitLimit)
	defer limit.Stop()
	ticks := s.timer.Every(waitStep)
	defer ticks.Stop()
	for !holds() {
		select {
		case <-ticks.C():
		case <-limit.C():
			return fmt.Errorf("waited in vain for %s", what)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// live returns the nodes that still serve.
func (s *stage) live() []*node.Node {
	var nodes []*node.Node
	for _, n := range s.nodes {
		if n.Phase() == node.PhaseServing {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (s *stage) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, n := range s.nodes {
		seeds = append(seeds, n.Self().CallerAddress)
	}
	return seeds
}

func (s *stage) close() {
	for _, n := range s.nodes {
		n.Kill()
	}
	s.world.Close()
}

func say(out io.Writer, format string, values ...any) { fmt.Fprintf(out, format+"\n", values...) }
