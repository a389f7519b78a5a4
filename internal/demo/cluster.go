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

// cluster is one deployment that runs in this process: the stand-ins and the nodes.
type cluster struct {
	deployment *Deployment
	timer      qf.Clock
	world      *standworld.World
	nodes      []*node.Node
	// endpoints is the number of endpoints in the fleet.
	endpoints int
}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// newCluster starts the stand-ins and one node in each zone, applies the
// catalogue, and waits until every node is ready.
func newCluster(ctx context.Context, d *Deployment, timer qf.Clock) (*cluster, error) {
	c := &cluster{deployment: d, timer: timer, world: standworld.New(timer, qf.TCP())}
	table, cloud, err := c.world.Serve(anyPort, anyPort)
	if err != nil {
		return nil, err
	}
	if err := c.populate(ctx); err != nil {
		return nil, err
	}
	for i, zone := range d.Zones {
		if err := c.startNode(i, zone, table, cloud); err != nil {
			return nil, err
		}
	}
	if err := c.applyCatalogue(ctx); err != nil {
		return nil, err
	}
	return c, c.waitReady(ctx)
}

// populate starts the fleet's VMs, except its entry nodes, which run in this process.
func (c *cluster) populate(ctx context.Context) error {
	data, err := fixtures.Fixtures.ReadFile("_fixtures/" + c.deployment.Name + "-fleet.toml")
	if err != nil {
		return err
	}
	fleet := &standworld.Fleet{}
	if faults := qfdocument.Decode(data, fleet); len(faults) > 0 {
		return fmt.Errorf("fleet: %s", faults[0])
	}
	fleet.Nodes = nil
	for _, g := range fleet.Groups {
		c.endpoints += g.Count
	}
	return c.world.Populate(ctx, fleet)
}

const (
	// Shorter than the defaults, so that the demo takes seconds.
	keepAddressesFor = time.Second
	pollInterval     = 100 * time.Millisecond
)

// startNode starts the node of number i and lists its VM in the cloud.
func (c *cluster) startNode(i int, zone qf.AvailabilityZone, table, cloud netip.AddrPort) error {
	settings := qfsettings.Default()
	settings.Node = qfsettings.NodeSettings{
		ID:     fmt.Sprintf("%s-node-%d", c.deployment.Name, i+1),
		Region: string(standcloud.RegionOf(zone)), AvailabilityZone: string(zone),
		CallerAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort,
	}
	settings.Platform.Table, settings.Platform.Cloud, settings.Platform.VMList = table, cloud, cloud
	settings.Security.Insecure = true
	settings.Request.KeepAddressesFor = qfdocument.Duration(keepAddressesFor)
	settings.Feed.CatalogueEvery = qfdocument.Duration(pollInterval)
	settings.Feed.NoticesEvery = qfdocument.Duration(pollInterval)
	settings.Feed.VMListEvery = qfdocument.Duration(pollInterval)
	settings.Peer.ExchangeEvery = qfdocument.Duration(pollInterval)
	settings.Rollout.LeastWithin = qfdocument.Duration(time.Second)
	n := node.New(settings, node.Connect(settings, c.timer, qf.TCP(), zerolog.Nop(), uint64(i+1)))
	if err := n.Start(); err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	self := n.Self()
	c.world.Cloud.Register(standworld.NodeVM(qf.VMID(self.ID), zone, self.CallerAddress, self.PeerAddress), nil)
	return nil
}

// applyCatalogue sends the deployment's catalogue to the first node.
func (c *cluster) applyCatalogue(ctx context.Context) error {
	data, err := fixtures.Fixtures.ReadFile("_fixtures/" + c.deployment.Name + ".toml")
	if err != nil {
		return err
	}
	document, faults := qfcatalogue.Parse(data)
	if len(faults) > 0 {
		return fmt.Errorf("catalogue: %s", faults[0])
	}
	result := c.nodes[0].Apply(ctx, qfcatalogue.Edit{
		ID: qfcatalogue.NewEditID(), Operator: "demo", Document: *document,
	})
	return result.Err
}

// waitReady waits until every node has the catalogue, all endpoints and all peers.
func (c *cluster) waitReady(ctx context.Context) error {
	return c.waitFor(ctx, "all nodes to be ready", func() bool {
		for _, n := range c.nodes {
			if !n.IsReady() || len(n.Endpoints()) < c.endpoints || len(n.LiveNodes()) < len(c.nodes) {
				return false
			}
		}
		return true
	})
}

const (
	waitTimeout  = 20 * time.Second
	waitInterval = 10 * time.Millisecond
)

// waitFor polls a condition, and returns an error that names it after waitTimeout.
func (c *cluster) waitFor(ctx context.Context, what string, condition func() bool) error {
	limit := c.timer.After(waitTimeout)
	defer limit.Stop()
	ticks := c.timer.Every(waitInterval)
	defer ticks.Stop()
	for !condition() {
		select {
		case <-ticks.C():
		case <-limit.C():
			return fmt.Errorf("timed out after %s waiting for %s", waitTimeout, what)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// servingNodes returns the nodes in phase Serving.
func (c *cluster) servingNodes() []*node.Node {
	var nodes []*node.Node
	for _, n := range c.nodes {
		if n.Phase() == node.PhaseServing {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// seeds returns the callers' addresses of all nodes.
func (c *cluster) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, n := range c.nodes {
		seeds = append(seeds, n.Self().CallerAddress)
	}
	return seeds
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.Kill()
	}
	c.world.Close()
}

func printLine(out io.Writer, format string, values ...any) { fmt.Fprintf(out, format+"\n", values...) }
